#include "membership/event.hpp"

#include <array>
#include <cstddef>

namespace chivewinch::membership {

namespace internal {

constexpr std::array<std::string_view, static_cast<std::size_t>(TargetState::Count)> stateNames { "joining", "live",
    "suspect", "leaving", "gone" };

constexpr std::array<std::string_view, static_cast<std::size_t>(EventKind::Count)> kindNames { "hello", "heartbeat",
    "answer", "goodbye", "peer_leaving", "listed_live", "listed_leaving" };

constexpr std::array<std::string_view, static_cast<std::size_t>(ApplyResult::Count)> resultNames { "accepted",
    "stale_incarnation", "stale_sequence", "already_left", "unknown" };

template <std::size_t Size, typename Enum>
std::string_view nameOf(const std::array<std::string_view, Size>& names, Enum value) noexcept
{
    const auto index = static_cast<std::size_t>(value);
    return index < Size ? names[index] : std::string_view { "invalid" };
}

} // namespace internal

std::string_view toString(TargetState state) noexcept { return internal::nameOf(internal::stateNames, state); }

std::string_view toString(EventKind kind) noexcept { return internal::nameOf(internal::kindNames, kind); }

std::string_view toString(ApplyResult result) noexcept { return internal::nameOf(internal::resultNames, result); }

} // namespace chivewinch::membership
