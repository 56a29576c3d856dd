#include "suspect/strike.hpp"

#include "base/hash.hpp"

namespace chivewinch::suspect {

std::uint64_t fingerprint(std::string_view team, std::string_view model, std::string_view body) noexcept
{
    const auto source = base::combineHash(base::hash64(team), base::hash64(model));
    return base::combineHash(source, base::hash64(body));
}

} // namespace chivewinch::suspect
