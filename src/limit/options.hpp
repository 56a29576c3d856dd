#pragma once

#include "base/id.hpp"

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>

namespace chivewinch::limit {

constexpr std::size_t priorityCount = 8; ///< Priorities 0 to 7; a larger number is more important.

/** Limits of one team over the whole installation. */
struct TeamLimit {
    base::TeamId team;
    double requestsPerSecond = 0;
    double concurrency = 0;

    auto operator<=>(const TeamLimit&) const = default;
};

/** Settings of a TeamLimiter. The switches turn single mechanisms off, for tests and comparisons. */
struct LimiterOptions {
    std::chrono::nanoseconds burst { std::chrono::seconds { 1 } }; ///< Time whose share may be used at once.
    std::chrono::nanoseconds maxCooldown { std::chrono::seconds { 30 } };
    std::chrono::nanoseconds maxRetryAfter { std::chrono::seconds { 30 } };

    bool limitRate = true;
    bool limitConcurrency = true;
    bool useMinimumDivisor = true; ///< Off: the share is limit / live entries, without bound under a partition.
    bool spreadRetries = true; ///< Off: all refused callers are told the same time.
};

/** Settings of a LoadShedder. */
struct ShedderOptions {
    std::map<base::OwnerId, double> ownerWeights; ///< 1 for an owner that is not listed.
    std::chrono::nanoseconds interval { std::chrono::milliseconds { 100 } }; ///< Between two updates of the shares.
    std::chrono::nanoseconds targetDelay { std::chrono::milliseconds { 100 } }; ///< Queueing delay aimed at.
    std::chrono::nanoseconds correctionTime { std::chrono::milliseconds { 500 } };
    std::size_t minQueue = 16; ///< A queue of up to this length is never overload.
    std::chrono::nanoseconds minRetryAfter { std::chrono::seconds { 1 } };
    std::chrono::nanoseconds maxRetryAfter { std::chrono::seconds { 30 } };

    bool enabled = true;
    bool fairOwners = true; ///< Off: the owners share the capacity in proportion to what they send.
    bool usePriorities = true;
    bool spreadRetries = true;
};

} // namespace chivewinch::limit
