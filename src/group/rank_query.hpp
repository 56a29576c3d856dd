#pragma once

#include "expert/held_activation.hpp"
#include "group/group_port.hpp"
#include "group/map_update.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace chivewinch::group {

/** Query from one agent to the agents of some ranks. */
struct RankQuery {
    std::string group;
    /** Ranks to query. The first one is the rank of the receiver, which queries the agents of the others. */
    std::vector<Member> members;
    bool wantsLoads = false;
    /** Orders to the engines of the members. The orders of one rank are sent in this sequence. */
    std::vector<expert::MapOrder> orders;
    MapUpdate map; ///< Map for orders of kind Prepare.

    bool operator==(const RankQuery&) const = default;
};

/** Reply of an engine to an order. */
struct OrderAnswer {
    expert::MapOrder order;
    OrderReply reply = OrderReply::None;

    auto operator<=>(const OrderAnswer&) const = default;
};

struct RankAnswers {
    /** By rank, read after the orders were sent. A rank that does not answer has no report. */
    std::map<std::uint32_t, MemberReport> reports;
    std::vector<OrderAnswer> replies;
    /** Tokens by layer and expert since the last query, summed over the ranks that answered; empty if not requested. */
    std::vector<double> loads;

    /** Adds the answers of other ranks. Loads of a different size are ignored. */
    void merge(RankAnswers other);

    bool operator==(const RankAnswers&) const = default;
};

/** True if an order loads a map (kind Prepare). Orders of other kinds need no map. */
[[nodiscard]] bool anyNeedsMap(const std::vector<expert::MapOrder>& orders);

/**
 * Splits a query into at most maxParts queries. Each contains an equal share of the members and the orders for them.
 */
[[nodiscard]] std::vector<RankQuery> split(const RankQuery& query, std::size_t maxParts);

} // namespace chivewinch::group
