#pragma once

#include "base/id.hpp"
#include "expert/even_split_plan.hpp"
#include "expert/held_activation.hpp"
#include "http/message.hpp"
#include "settings/value_type.hpp"
#include "watch/row_feed.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chivewinch::group {

/** Engine of one rank. */
struct Member {
    base::TargetId id;
    settings::Endpoint endpoint;
    std::uint64_t epoch = 0;
    std::uint32_t rank = 0;

    auto operator<=>(const Member&) const = default;
};

/** State that an engine reports. */
struct MemberReport {
    std::string group;
    std::uint32_t rank = 0;
    std::uint32_t size = 0; ///< Ranks of the group.
    double pace = 1; ///< Time that the engine takes for a unit of work, relative to a healthy engine.
    expert::RankMapState maps;

    bool operator==(const MemberReport&) const = default;
};

/** Tokens that the requests of one rank have routed to each expert since the rank's engine started. */
struct ExpertCounts {
    std::uint64_t epoch = 0;
    std::vector<std::uint64_t> tokens; ///< By layer, then by expert.

    bool operator==(const ExpertCounts&) const = default;
};

/** Experts that one rank holds in each layer of the map in use. */
struct RankExperts {
    std::uint64_t epoch = 0;
    std::uint64_t version = 0;
    std::vector<std::vector<std::uint16_t>> layers;

    bool operator==(const RankExperts&) const = default;
};

/** Limits of the engines of a pool. */
struct EngineLimits {
    std::uint32_t layers = 0;
    std::uint32_t experts = 0; ///< Per layer.
    std::uint32_t slotsPerRank = 0; ///< Experts that a rank can hold in each layer.
    std::uint32_t newPerChange = 0; ///< Experts that a rank may load in each layer in one change.
    std::chrono::microseconds copyTime { 0 }; ///< Time to copy the weights of one expert; 0 if unknown.

    bool operator==(const EngineLimits&) const = default;
};

/** Experts held, by layer and rank. */
using GroupMap = std::vector<expert::LayerPlacement>;

/** Answer of an engine to an order. */
enum class OrderReply : std::uint8_t {
    None, ///< No answer. The engine may have carried out the order or may still do so.
    Refused,
    Begun,
    Done, ///< The requested state is reached.
    MapUnknown, ///< The agent cannot determine the map of the order and has not sent the order to its engine.
};

[[nodiscard]] std::string_view toString(OrderReply reply) noexcept;

/** Time limits of calls through a port. */
struct PortTimeouts {
    /**
     * Engines answer reports and orders without queueing; an engine on the same machine answers within some
     * milliseconds. An order that gets no answer is repeated, and a held step waits for it.
     */
    std::chrono::milliseconds engine { 80 };
    /**
     * A held step waits for the orders. An order that gets no answer is repeated at once; engines allow repeated
     * orders.
     */
    std::chrono::milliseconds order { 40 };
    watch::FeedTimeouts store;

    bool operator==(const PortTimeouts&) const = default;
};

/**
 * Access to the engines of a group and to its member list. Functions return nullopt, or OrderReply::None, if there is
 * no answer.
 */
class GroupPort {
public:
    GroupPort() = default;
    GroupPort(const GroupPort&) = delete;
    GroupPort& operator=(const GroupPort&) = delete;
    virtual ~GroupPort() = default;

    [[nodiscard]] virtual http::Task<std::optional<MemberReport>> report(settings::Endpoint engine) = 0;
    /** Free of charge only for the engine on this machine. */
    [[nodiscard]] virtual http::Task<std::optional<ExpertCounts>> counts(settings::Endpoint engine) = 0;
    /** Free of charge only for the engine on this machine. */
    [[nodiscard]] virtual http::Task<std::optional<RankExperts>> experts(settings::Endpoint engine) = 0;
    /** Sends an order to an engine. Only orders of kind Prepare use the map. */
    [[nodiscard]] virtual http::Task<OrderReply> order(Member member, expert::MapOrder order, const GroupMap& map) = 0;

    [[nodiscard]] virtual http::Task<std::optional<std::vector<Member>>> members(std::string group) = 0;
    [[nodiscard]] virtual http::Task<std::optional<EngineLimits>> limits() = 0;
};

} // namespace chivewinch::group
