#include "bundle/error.hpp"

#include <array>
#include <cstddef>

namespace chivewinch::bundle {

std::string_view toString(ErrorCode code) noexcept
{
    constexpr std::array<std::string_view, 11> names { "none", "invalid", "missing_signature", "bad_signature",
        "altered", "older", "missing_part", "lost_race", "wrong_state", "not_found", "store_unavailable" };
    return names[static_cast<std::size_t>(code)];
}

} // namespace chivewinch::bundle
