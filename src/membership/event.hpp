#pragma once

#include "base/clock.hpp"
#include "base/id.hpp"
#include "membership/target_state.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace chivewinch::membership {

enum class EventKind : std::uint8_t {
    Hello, ///< First message of a control stream.
    Heartbeat,
    Answer, ///< First frame of an answer to an attempt of this process.
    Goodbye,
    PeerLeaving, ///< A peer entry reports that the target is leaving.
    ListedLive, ///< The platform's list shows the instance as live.
    ListedLeaving,
    Count
};

/** A message, list entry or observation about one target. */
struct Event {
    EventKind kind = EventKind::Heartbeat;
    base::TargetId target;
    base::ZoneId zone; ///< Empty keeps the known value; ignored for answers and leave notices.
    std::string address; ///< Empty keeps the known value; ignored for answers and leave notices.
    base::Incarnation incarnation {}; ///< 0 if unknown to the source; the platform's list may not state it.
    std::uint64_t sequence = 0; ///< Heartbeat only; increases by at least one with each heartbeat of an incarnation.
    TargetState state = TargetState::Live; ///< Heartbeat only: the state that the target reports.
    base::SteadyTime started {}; ///< Answer only: time at which this process started the attempt.
};

/** Result of applying an event to a table. */
enum class ApplyResult : std::uint8_t {
    Accepted,
    StaleIncarnation, ///< The event is from an older incarnation than the known one.
    StaleSequence, ///< The heartbeat is a duplicate or arrived after a newer one.
    AlreadyLeft, ///< The incarnation is leaving or has left; only a larger incarnation is accepted.
    Unknown, ///< Answer of a target that is not in the table.
    Count
};

[[nodiscard]] std::string_view toString(EventKind kind) noexcept;
[[nodiscard]] std::string_view toString(ApplyResult result) noexcept;

} // namespace chivewinch::membership
