#include "usage/error.hpp"

#include <array>
#include <cstddef>

namespace chivewinch::usage {

std::string_view toString(ErrorCode code) noexcept
{
    constexpr std::array<std::string_view, 6> names { "none", "store_unavailable", "chain_conflict", "malformed",
        "bad_key", "bad_signature" };
    return names[static_cast<std::size_t>(code)];
}

} // namespace chivewinch::usage
