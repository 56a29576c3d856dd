#pragma once

namespace chivewinch::support {

#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr bool isSanitized = true;
#else
constexpr bool isSanitized = false;
#endif

/**
 * Returns how many of the random schedules of a test run in this build. Sanitizer builds run the first tenth, which is
 * enough to cover the code paths that they check for memory and threading errors. The release build runs all schedules.
 */
template <typename Count> [[nodiscard]] constexpr Count schedulesToRun(Count full) noexcept
{
    constexpr Count sanitizedDivisor = 10;
    return isSanitized ? full / sanitizedDivisor : full;
}

} // namespace chivewinch::support
