#include "usage/crash_schedule.hpp"

#include <gtest/gtest.h>

#include <cstdlib>
#include <iostream>

namespace chivewinch::usage::test {

namespace {

constexpr std::uint64_t firstSeed = 1;
constexpr std::uint64_t scheduleCount = 20000;
constexpr std::uint64_t switchedOffCount = 400;

/** Number of schedules with a violation; stops at the first one that is not expected. */
std::uint64_t failingSchedules(const ScheduleOptions& options, std::uint64_t count, const std::string& text)
{
    std::uint64_t failing = 0;
    for (auto seed = firstSeed; seed < firstSeed + count; ++seed) {
        const auto result = runSchedule(seed, options);
        const auto matches = [&](const std::string& violation) { return violation.find(text) != std::string::npos; };
        failing += std::any_of(result.violations.begin(), result.violations.end(), matches) ? 1 : 0;
    }
    std::cout << failing << " of " << count << " schedules show \"" << text << "\"\n";
    return failing;
}

} // namespace

// Guards against an acknowledged answer that is lost or counted twice after crashes, outages and lost messages, and
// against a loss by a double failure that no finding shows. CHIVEWINCH_SEED runs a single schedule.
TEST(CrashScheduleTest, AcknowledgedAnswersAreCountedExactlyOnce)
{
    const auto* chosen = std::getenv("CHIVEWINCH_SEED");
    const auto first = chosen != nullptr ? std::strtoull(chosen, nullptr, 10) : firstSeed;
    const auto count = chosen != nullptr ? 1 : scheduleCount;
    ScheduleResult sum;
    for (auto seed = first; seed < first + count; ++seed) {
        const auto result = runSchedule(seed, {});
        for (const auto& violation : result.violations)
            ADD_FAILURE() << "seed " << seed << ": " << violation;
        ASSERT_TRUE(result.violations.empty()) << "repeat with CHIVEWINCH_SEED=" << seed;
        sum.acknowledged += result.acknowledged;
        sum.lost += result.lost;
        sum.completedFromAgent += result.completedFromAgent;
        sum.refusedForBacklog += result.refusedForBacklog;
        sum.crashes += result.crashes;
        sum.possibleLosses += result.possibleLosses;
    }
    std::cout << "seeds " << first << " to " << first + count - 1 << ": " << sum.acknowledged << " acknowledged, "
              << sum.completedFromAgent << " completed from the agent, " << sum.lost << " lost by double failures, "
              << sum.possibleLosses << " possible losses reported, " << sum.crashes << " crashes, "
              << sum.refusedForBacklog << " refusals at the bound\n";
    if (chosen == nullptr) {
        EXPECT_GT(sum.completedFromAgent, 0U);
        EXPECT_GT(sum.lost, 0U);
        EXPECT_GT(sum.refusedForBacklog, 0U);
    }
}

// Guards against a false alarm: one crash must never be reported as a possible loss.
TEST(CrashScheduleTest, SingleCrashReportsNoLoss)
{
    for (auto seed = firstSeed; seed < firstSeed + switchedOffCount; ++seed) {
        const auto result = runSchedule(seed, { .maxCrashes = 1 });
        ASSERT_TRUE(result.violations.empty()) << "seed " << seed << ": " << result.violations.front();
    }
}

// The tests below show that the oracle notices when a mechanism is missing.

TEST(CrashScheduleTest, FailsWithoutRewriteAfterLoss)
{
    EXPECT_GT(failingSchedules({ .writer = { .rewriteAfterLoss = false } }, switchedOffCount, "missing_segment"), 0U);
}

TEST(CrashScheduleTest, FailsWithoutRefusalBeyondBound)
{
    EXPECT_GT(failingSchedules({ .refuseBeyondBound = false }, switchedOffCount, "memory bound"), 0U);
}

TEST(CrashScheduleTest, FailsWithoutCompletionFromAgent)
{
    EXPECT_GT(
        failingSchedules({ .verifier = { .completeFromAgent = false } }, switchedOffCount, "not counted exactly once"),
        0U);
}

TEST(CrashScheduleTest, FailsWithoutReportOfPossibleLoss)
{
    EXPECT_GT(
        failingSchedules({ .verifier = { .reportPossibleLoss = false } }, switchedOffCount, "without a reported"), 0U);
}

} // namespace chivewinch::usage::test
