#pragma once

#include "base/id.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace chivewinch::routing {

/** Ejection of failing targets from load balancing. */
struct EjectionOptions {
    bool enabled = true;
    bool limitShare = true; ///< Off: maxShare and maxFailingShare do not apply; all targets may be ejected at once.
    std::uint32_t consecutiveFailures = 3;
    double errorRate = 0.5; ///< Moving average of failures at which a target is ejected, after minResults results.
    std::uint32_t minResults = 20;
    double maxShare = 1.0 / 3; ///< Maximum share of the subset that is ejected at the same time.
    /**
     * No target is ejected while more than this share of the subset has a recent failure as its last result, because
     * individual targets are then not the cause.
     */
    double maxFailingShare = 0.5;
    std::chrono::nanoseconds baseTime { std::chrono::seconds { 5 } }; ///< Doubles with each consecutive ejection.
    std::chrono::nanoseconds maxTime { std::chrono::minutes { 2 } };
    std::uint32_t successesToResetEjections = 50; ///< Consecutive successes that reset the doubling.
};

/** Limit on retries, as a share of the requests in a sliding window. */
struct RetryBudgetOptions {
    bool enabled = true;
    double share = 0.1;
    std::uint32_t constant = 3; ///< Retries allowed per window in addition to the share.
    std::chrono::nanoseconds window { std::chrono::seconds { 10 } };
    /**
     * Limits a burst of retries to the share of the requests of the last `burst`; 0 to count the requests of the whole
     * window. Without this limit, a burst of retries after a busy period can exceed the share in the window that starts
     * with the burst, if fewer requests arrive in that window.
     */
    std::chrono::nanoseconds burst { 0 };
};

/** Spill-over to targets in other availability zones. */
struct SpillOptions {
    bool enabled = true;
    bool limitShare = true;
    bool onlyWithoutLocalCapacity = true; ///< Off: targets of all zones are treated as local.
    double share = 0.5; ///< Maximum share of the pool's attempts in the window.
    std::uint32_t constant = 3;
    double maxUtilization = 0.9; ///< A remote target counts as full from this share of its capacity on.
    std::chrono::nanoseconds window { std::chrono::seconds { 10 } };
};

/** Settings of a Router. The switches disable individual mechanisms, for tests and comparisons. */
struct RouterOptions {
    std::string entry; ///< Identity of this entry; determines its subset.
    base::ZoneId zone;
    std::size_t subsetSize = 16;
    /**
     * Maximum number of entries per target, relative to the mean. A smaller value moves more assignments when a target
     * is added or removed.
     */
    double subsetSlack = 1.1;
    std::size_t affinityTargets = 3; ///< Targets that a prefix may use, in descending order of rendezvous hash.
    double affinityBound = 1.25; ///< Maximum load of the prefix's target, relative to the mean load.
    double affinityFloor = 0.5; ///< Up to this share of its capacity, a target is always eligible for affinity.
    double affinityCeiling = 0.9; ///< Above this share of its capacity, affinity allows at most the mean load.
    std::uint32_t assumedCapacity = 8; ///< Used to compare loads until a target reports its capacity.
    /** Age at which a load report and the average load of the target are weighted equally (one half each). */
    std::chrono::nanoseconds reportHalfWeightAge { std::chrono::milliseconds { 300 } };
    double maxLocalUtilization = 1.0; ///< A local target counts as full from this share of its capacity on.
    /** Failures in a row are ignored when the last one is at least this old. */
    std::chrono::nanoseconds recentFailureWindow { std::chrono::seconds { 10 } };

    bool useSubset = true;
    bool useEvenSubsets = true; ///< Off: the subset does not depend on the other entries.
    bool useAffinity = true;
    bool useAffinityBound = true;
    bool useTwoChoices = true; ///< Off: one target is chosen at random, without comparing loads.
    /**
     * Compares all targets instead of two random ones. Enable this only if the loads are exact or fresh: with stale
     * loads, all entries would choose the same target.
     */
    bool compareAll = false;
    bool useOwnInFlight = true;
    bool useReportAge = true; ///< Off: the age of a report does not affect its weight.
    bool useCapacity = true; ///< Off: full targets still get attempts.
    bool useFailurePenalty = true;
    EjectionOptions ejection;
    RetryBudgetOptions retryBudget;
    SpillOptions spill;
};

/** Settings of an AdmissionQueue. */
struct QueueOptions {
    bool checkDeadlines = true; ///< Off: requests that cannot start in time are queued until their deadline.
    bool usePriorities = true;
    bool fairOwners = true; ///< Off: one queue for all owners.
    std::size_t maxSize = 4096;
    std::map<base::OwnerId, double> ownerWeights; ///< The weight of an unlisted owner is 1.
    std::chrono::nanoseconds rateWindow { std::chrono::seconds { 2 } };
};

} // namespace chivewinch::routing
