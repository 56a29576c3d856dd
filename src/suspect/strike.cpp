#include "suspect/strike.hpp"

#include "base/hash.hpp"

#include <array>
#include <charconv>

namespace chivewinch::suspect {

std::uint64_t fingerprint(std::string_view team, std::string_view model, std::string_view body) noexcept
{
    const auto source = base::combineHash(base::hash64(team), base::hash64(model));
    return base::combineHash(source, base::hash64(body));
}

std::string fingerprintText(std::uint64_t fingerprint)
{
    std::array<char, 16> digits {};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), fingerprint, 16).ptr;
    return { digits.data(), end };
}

} // namespace chivewinch::suspect
