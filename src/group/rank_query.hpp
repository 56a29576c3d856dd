#pragma once

#include "expert/held_activation.hpp"
#include "group/group_port.hpp"
#include "group/map_update.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace chivewinch::group {

/** What one agent asks of the agents of some ranks. */
struct RankQuery {
    std::string group;
    /** Ranks that are asked. The first one is the receiver's; it asks the agents of the others. */
    std::vector<Member> members;
    bool wantsLoads = false;
    std::vector<expert::MapOrder> orders; ///< To the engines of the members, each rank's in their order.
    MapUpdate map; ///< For orders of kind Prepare.

    bool operator==(const RankQuery&) const = default;
};

/** Reply of an engine to an order. */
struct OrderAnswer {
    expert::MapOrder order;
    OrderReply reply = OrderReply::None;

    auto operator<=>(const OrderAnswer&) const = default;
};

struct RankAnswers {
    std::map<std::uint32_t, MemberReport> reports; ///< By rank, read after the orders; a silent rank has none.
    std::vector<OrderAnswer> replies;
    /** Tokens by layer and expert since the last query, over the ranks that answered; empty if not asked for. */
    std::vector<double> loads;

    /** Adds the answers of other ranks. Loads of another shape are left out. */
    void merge(RankAnswers other);

    bool operator==(const RankAnswers&) const = default;
};

/** True if one of the orders is to load a map; all others do without it. */
[[nodiscard]] bool needMap(const std::vector<expert::MapOrder>& orders);

/** Queries that together ask all members, each with at most one share of them and the orders for these. */
[[nodiscard]] std::vector<RankQuery> split(const RankQuery& query, std::size_t maxParts);

} // namespace chivewinch::group
