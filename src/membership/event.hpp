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
    PeerLeaving, ///< Another entry reports that the target is leaving.
    ListedLive, ///< The platform's list shows the instance as live.
    ListedLeaving,
    Count
};

/** Something heard about one target. */
struct Event {
    EventKind kind = EventKind::Heartbeat;
    base::TargetId target;
    base::ZoneId zone; ///< Empty leaves the known value; ignored in answers and leave notices.
    std::string address; ///< Like zone.
    base::Incarnation incarnation {}; ///< 0 when the source does not know it (list).
    std::uint64_t sequence = 0; ///< Heartbeat only; grows by at least one per heartbeat of an incarnation.
    TargetState state = TargetState::Live; ///< Heartbeat only: what the target says about itself.
    base::SteadyTime started {}; ///< Answer only: when this process started the attempt.
};

/** What an event did to the table. */
enum class ApplyResult : std::uint8_t {
    Accepted,
    StaleIncarnation, ///< From an older incarnation than the known one.
    StaleSequence, ///< Heartbeat that is a duplicate or was overtaken.
    AlreadyLeft, ///< The incarnation is leaving or has left; only a larger one counts.
    Unknown, ///< About a target that was never announced.
    Count
};

[[nodiscard]] std::string_view toString(EventKind kind) noexcept;
[[nodiscard]] std::string_view toString(ApplyResult result) noexcept;

} // namespace chivewinch::membership
