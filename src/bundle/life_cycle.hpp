#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace chivewinch::bundle {

/** State of one version. */
enum class State : std::uint8_t { Draft, Proposed, Signed, Rolling, InForce, Superseded, Withdrawn };

enum class Event : std::uint8_t {
    Propose, ///< The content is stored as a new version.
    SignPartly, ///< An owner signs, but another signature is still missing.
    SignCompletely, ///< An owner adds the last missing signature.
    Roll, ///< From now on, every process may put the version into force.
    Confirm, ///< All live processes have reported the version.
    Supersede, ///< A newer version rolls.
    Withdraw, ///< Abandoned before the roll, or replaced by a newer version with older content.
};

/** State after the event, or nullopt where the life cycle does not allow it. */
[[nodiscard]] std::optional<State> next(State state, Event event);

[[nodiscard]] std::string_view toString(State state) noexcept;
[[nodiscard]] std::optional<State> parseState(std::string_view name) noexcept;

} // namespace chivewinch::bundle
