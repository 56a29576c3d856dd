#pragma once

#include "usage/ledger.hpp"
#include "usage/verifier.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace chivewinch::usage::test {

/** Mechanisms that are enabled in a schedule, and its crash limit. */
struct ScheduleOptions {
    internal::WriterOptions writer {};
    bool enforceBacklogBounds = true;
    VerifierOptions verifier {};
    int maxCrashes = 8;
};

/** Violations and event counts of one schedule. */
struct ScheduleResult {
    std::vector<std::string> violations;
    std::size_t acknowledged = 0;
    std::size_t lost = 0;
    std::size_t completedFromAgent = 0;
    std::size_t refusedForBacklog = 0;
    std::size_t crashes = 0;
    std::size_t possibleLosses = 0;
};

/** Runs entries and agents with random crashes, outages and lost messages, and compares the split with an oracle. */
[[nodiscard]] ScheduleResult runSchedule(std::uint64_t seed, const ScheduleOptions& options);

} // namespace chivewinch::usage::test
