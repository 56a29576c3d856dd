#pragma once

#include <optional>
#include <string_view>

namespace chivewinch::quota {

/** Largest request limit that is taken seriously, in requests per second. */
constexpr double maxRequestLimit = 1e6;

/** True for numbers from 0 to maxRequestLimit. */
[[nodiscard]] constexpr bool isValidRequestLimit(double limit) noexcept
{
    // The comparison is also false for a NaN.
    return limit >= 0 && limit <= maxRequestLimit;
}

/**
 * Parses the request limit that a target states, in requests per second; nullopt unless it is a decimal number from 0
 * to maxRequestLimit.
 */
[[nodiscard]] std::optional<double> parseRequestLimit(std::string_view value) noexcept;

} // namespace chivewinch::quota
