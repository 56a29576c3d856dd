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

/** What an engine says about itself. */
struct MemberReport {
    std::string group;
    std::uint32_t rank = 0;
    std::uint32_t size = 0; ///< Ranks of the group.
    double pace = 1; ///< Time of the engine for its work, relative to a sound one.
    expert::RankMapState maps;

    bool operator==(const MemberReport&) const = default;
};

/** Tokens that the requests of one rank have sent to each expert since its engine started. */
struct ExpertCounts {
    std::uint64_t epoch = 0;
    std::vector<std::uint64_t> tokens; ///< By layer, then by expert.

    bool operator==(const ExpertCounts&) const = default;
};

/** Experts of one rank by layer, in the map that it uses. */
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
    std::uint32_t slotsPerRank = 0; ///< Experts that a rank holds in each layer.
    std::uint32_t newPerChange = 0; ///< Experts that a rank may load in each layer in one change.
    std::chrono::microseconds copyTime { 0 }; ///< For the weights of one expert; 0 if unknown.

    bool operator==(const EngineLimits&) const = default;
};

/** Experts by layer and rank. */
using GroupMap = std::vector<expert::LayerPlacement>;

/** Answer of an engine to an order. */
enum class OrderReply : std::uint8_t {
    None, ///< No answer: the order may be carried out, also later.
    Refused,
    Begun,
    Done, ///< The state that the order asks for holds.
    MapUnknown, ///< The agent cannot tell which map is meant, and has not given the order to its engine.
};

[[nodiscard]] std::string_view toString(OrderReply reply) noexcept;

/** Time limits of calls through a port. */
struct PortTimeouts {
    /**
     * Engines answer reports and orders without a queue, those of the own machine within some milliseconds. An order
     * without an answer is repeated; a held step waits for it.
     */
    std::chrono::milliseconds engine { 80 };
    /** A held step waits for the orders; one without an answer is repeated at once, which engines allow. */
    std::chrono::milliseconds order { 40 };
    watch::FeedTimeouts store;

    bool operator==(const PortTimeouts&) const = default;
};

/** Access to the engines of a group and to the list of its members; nullopt or false when there is no answer. */
class GroupPort {
public:
    GroupPort() = default;
    GroupPort(const GroupPort&) = delete;
    GroupPort& operator=(const GroupPort&) = delete;
    virtual ~GroupPort() = default;

    [[nodiscard]] virtual http::Task<std::optional<MemberReport>> report(settings::Endpoint engine) = 0;
    /** Free for the engine of this machine only. */
    [[nodiscard]] virtual http::Task<std::optional<ExpertCounts>> counts(settings::Endpoint engine) = 0;
    /** Free for the engine of this machine only. */
    [[nodiscard]] virtual http::Task<std::optional<RankExperts>> experts(settings::Endpoint engine) = 0;
    /** Gives an order to an engine. The map is used by Prepare only. */
    [[nodiscard]] virtual http::Task<OrderReply> order(Member member, expert::MapOrder order, const GroupMap& map) = 0;

    [[nodiscard]] virtual http::Task<std::optional<std::vector<Member>>> members(std::string group) = 0;
    [[nodiscard]] virtual http::Task<std::optional<EngineLimits>> limits() = 0;
};

} // namespace chivewinch::group
