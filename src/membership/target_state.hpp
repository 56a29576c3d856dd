#pragma once

#include <cstdint>
#include <string_view>

namespace chivewinch::membership {

/** Life cycle of one incarnation of a target or peer. The values are sent in heartbeats. */
enum class TargetState : std::uint8_t {
    Joining, ///< Known, but not yet ready for work.
    Live,
    Suspect, ///< Silent for a while: last resort for new work.
    Leaving, ///< Finishes its work; gets nothing new.
    Gone,
    Count
};

[[nodiscard]] std::string_view toString(TargetState state) noexcept;

} // namespace chivewinch::membership
