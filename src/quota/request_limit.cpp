#include "quota/request_limit.hpp"

#include <charconv>

namespace chivewinch::quota {

std::optional<double> parseRequestLimit(std::string_view value) noexcept
{
    double limit = 0;
    const auto* end = value.data() + value.size();
    const auto [rest, error] = std::from_chars(value.data(), end, limit);
    if (error != std::errc {} || rest != end || !isValidRequestLimit(limit))
        return std::nullopt;
    // Turns a negative zero into zero.
    return limit + 0.0;
}

} // namespace chivewinch::quota
