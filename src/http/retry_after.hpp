#pragma once

#include <array>
#include <chrono>
#include <cstdio>
#include <string>

namespace chivewinch::http {

/** Value of a Retry-After field, in seconds with three decimals. */
[[nodiscard]] inline std::string retryAfterValue(std::chrono::milliseconds time)
{
    std::array<char, 32> text {};
    std::snprintf(text.data(), text.size(), "%.3f", static_cast<double>(time.count()) / 1'000);
    return text.data();
}

} // namespace chivewinch::http
