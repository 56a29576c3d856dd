#include "store/error.hpp"

#include <array>
#include <cstddef>

namespace chivewinch::store {

std::string_view toString(ErrorCode code) noexcept
{
    constexpr std::array<std::string_view, 6> names { "none", "unavailable", "ambiguous", "timed_out",
        "budget_exhausted", "invalid" };
    return names[static_cast<std::size_t>(code)];
}

} // namespace chivewinch::store
