#include "routing/request.hpp"

#include <array>
#include <cstddef>

namespace chivewinch::routing {

namespace internal {

constexpr std::array<std::string_view, static_cast<std::size_t>(ChoiceKind::Count)> kindNames { "affinity",
    "least_loaded", "spilled", "last_resort" };

constexpr std::array<std::string_view, static_cast<std::size_t>(Result::Count)> resultNames { "success", "failure",
    "refused", "cancelled" };

template <std::size_t Size, typename Enum>
std::string_view nameOf(const std::array<std::string_view, Size>& names, Enum value) noexcept
{
    const auto index = static_cast<std::size_t>(value);
    return index < Size ? names[index] : std::string_view { "invalid" };
}

} // namespace internal

std::string_view toString(ChoiceKind kind) noexcept { return internal::nameOf(internal::kindNames, kind); }

std::string_view toString(Result result) noexcept { return internal::nameOf(internal::resultNames, result); }

} // namespace chivewinch::routing
