#pragma once

#include <cstdint>
#include <string_view>

namespace chivewinch::membership {

/** Life cycle of one incarnation of a target or peer. The values are sent in heartbeats. */
enum class TargetState : std::uint8_t {
    Joining, ///< Known, but not yet ready for work.
    Live,
    Suspect, ///< Silent for a while; gets new work only if no target is live.
    Leaving, ///< Finishes its running work; gets no new work.
    Gone,
    Count
};

[[nodiscard]] std::string_view toString(TargetState state) noexcept;

} // namespace chivewinch::membership
