#pragma once

#include "base/id.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace chivewinch::routing {

/** Ejection of targets that fail. */
struct EjectionOptions {
    bool enabled = true;
    bool limitShare = true; ///< Off: any number of targets may be ejected at once.
    std::uint32_t consecutiveFailures = 3;
    double errorRate = 0.5; ///< Moving average that ejects a target after minResults.
    std::uint32_t minResults = 20;
    double maxShare = 1.0 / 3; ///< Of the subset, at once.
    /** If the last result of more than this share of the subset was a failure, the cause is not in single targets. */
    double maxFailingShare = 0.5;
    std::chrono::nanoseconds baseTime { std::chrono::seconds { 5 } }; ///< Doubles with each ejection in a row.
    std::chrono::nanoseconds maxTime { std::chrono::minutes { 2 } };
    std::uint32_t successesToForget = 50; ///< Successes in a row that reset the doubling.
};

/** Retries as a share of the requests in a sliding window. */
struct RetryBudgetOptions {
    bool enabled = true;
    double share = 0.1;
    std::uint32_t constant = 3; ///< Allowed per window on top of the share.
    std::chrono::nanoseconds window { std::chrono::seconds { 10 } };
    /**
     * Retries at one moment may draw on the requests of this time only; 0 for those of the whole window. Without it,
     * retries that draw on a busy window exceed the share of the calmer window that begins with them.
     */
    std::chrono::nanoseconds burst { 0 };
};

/** Use of targets in other availability zones. */
struct SpillOptions {
    bool enabled = true;
    bool limitShare = true;
    bool onlyWithoutLocalCapacity = true; ///< Off: targets of all zones are treated alike.
    double share = 0.5; ///< Of the pool's attempts in the window.
    std::uint32_t constant = 3;
    double maxUtilization = 0.9; ///< A remote target with more load than this share of its capacity is left alone.
    std::chrono::nanoseconds window { std::chrono::seconds { 10 } };
};

/** Settings of a Router. The switches turn single mechanisms off, for tests and comparisons. */
struct RouterOptions {
    std::string entry; ///< Identity of this entry; decides its subset.
    base::ZoneId zone;
    std::size_t subsetSize = 16;
    /** Entries per target relative to the mean. Less slack moves more assignments when a target comes or goes. */
    double subsetSlack = 1.1;
    std::size_t affinityTargets = 3; ///< Targets that a prefix may use, in the order of their rendezvous hashes.
    double affinityBound = 1.25; ///< Load of the prefix's target relative to the mean.
    double affinityFloor = 0.5; ///< Below this share of its capacity, a target is never too loaded for affinity.
    double affinityCeiling = 0.9; ///< Above this share of its capacity, a target needs at most the mean load.
    std::uint32_t assumedCapacity = 8; ///< For comparisons, until a target states its capacity.
    /** Age at which a report counts half, and the usual load of the target the other half. */
    std::chrono::nanoseconds reportMemory { std::chrono::milliseconds { 300 } };
    double fullAt = 1.0; ///< Load as a share of the capacity from which on a target gets nothing more.
    std::chrono::nanoseconds failureMemory { std::chrono::seconds { 10 } };

    bool useSubset = true;
    bool useEvenSubsets = true; ///< Off: the subset does not depend on the other entries.
    bool useAffinity = true;
    bool useAffinityBound = true;
    bool useTwoChoices = true; ///< Off: a random target.
    /**
     * Compares all targets instead of two. Loads that are exact or fresh allow it; with loads that every entry learns
     * late, all entries would pick the same target.
     */
    bool compareAll = false;
    bool useOwnInFlight = true;
    bool useReportAge = true; ///< Off: an old report counts like a new one.
    bool useCapacity = true; ///< Off: full targets still get work.
    bool useFailurePenalty = true;
    EjectionOptions ejection;
    RetryBudgetOptions retryBudget;
    SpillOptions spill;
};

/** Settings of an AdmissionQueue. */
struct QueueOptions {
    bool checkDeadlines = true; ///< Off: a request waits even if it cannot start in time.
    bool usePriorities = true;
    bool fairOwners = true; ///< Off: one queue for all owners.
    std::size_t maxSize = 4096;
    std::map<base::OwnerId, double> ownerWeights; ///< 1 for an owner that is not listed.
    std::chrono::nanoseconds rateWindow { std::chrono::seconds { 2 } };
};

} // namespace chivewinch::routing
