#pragma once

#include "base/id.hpp"

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>

namespace chivewinch::limit {

constexpr std::size_t priorityCount = 8; ///< Priorities 0 to 7; a larger number is more important.

/** Limits of one team for the whole installation, over all entries. */
struct TeamLimit {
    base::TeamId team;
    double requestsPerSecond = 0;
    double concurrency = 0;

    auto operator<=>(const TeamLimit&) const = default;
};

/** Settings of a TeamLimiter. The switches disable individual mechanisms, for tests and comparisons. */
struct LimiterOptions {
    std::chrono::nanoseconds burst { std::chrono::seconds {
        1 } }; ///< Token bucket size, as the time to fill it; at least one token.
    std::chrono::nanoseconds maxCooldown { std::chrono::seconds { 30 } };
    std::chrono::nanoseconds maxRetryAfter { std::chrono::seconds { 30 } };

    bool limitRate = true;
    bool limitConcurrency = true;
    /** Off: the share is limit / live entries, so the total of all entries is unbounded under a partition. */
    bool useMinimumDivisor = true;
    bool spreadRetries = true; ///< Off: all refused callers get the same Retry-After.
};

/** Settings of a LoadShedder. */
struct ShedderOptions {
    std::map<base::OwnerId, double> ownerWeights; ///< The weight of an unlisted owner is 1.
    std::chrono::nanoseconds interval { std::chrono::milliseconds {
        100 } }; ///< Time between two updates of the shares.
    std::chrono::nanoseconds targetDelay { std::chrono::milliseconds {
        100 } }; ///< Target queueing delay while shedding.
    /** Time over which the admission rate corrects a difference between the queue and its target length. */
    std::chrono::nanoseconds correctionTime { std::chrono::milliseconds { 500 } };
    std::size_t minQueue = 16; ///< A queue of up to this length never starts shedding.
    std::chrono::nanoseconds minRetryAfter { std::chrono::seconds { 1 } };
    std::chrono::nanoseconds maxRetryAfter { std::chrono::seconds { 30 } };

    bool enabled = true;
    bool fairOwners = true; ///< Off: owners get capacity in proportion to their demand.
    bool usePriorities = true;
    bool spreadRetries = true;
};

} // namespace chivewinch::limit
