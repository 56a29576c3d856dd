#include "claim/claim_schedule.hpp"
#include "support/schedules.hpp"

#include <gtest/gtest.h>

#include <iostream>

namespace chivewinch::claim {

namespace internal {

constexpr std::uint64_t firstSeed = 4'120'000;
constexpr std::uint64_t schedules = support::schedulesToRun(12'000);
constexpr std::uint64_t schedulesWithoutMechanism = 1'500;

struct Sum {
    Violations violations;
    Coverage coverage;
    std::uint64_t firstBadSeed = 0;
};

Sum runSchedules(ScheduleOptions options, std::uint64_t count)
{
    Sum sum;
    for (std::uint64_t i = 0; i < count; ++i) {
        options.seed = firstSeed + i;
        ClaimSchedule schedule { options };
        schedule.run();
        if (sum.violations.total() == 0 && schedule.violations.total() > 0)
            sum.firstBadSeed = options.seed;
        sum.violations += schedule.violations;
        sum.coverage += schedule.coverage;
    }
    return sum;
}

} // namespace internal

/** All tests check the same schedules: store outages, lost acknowledgements, delayed writes, crashes and pauses. */
class ClaimInvariantTest : public testing::Test {
protected:
    static void SetUpTestSuite()
    {
        std::cout << "seeds " << internal::firstSeed << " to " << internal::firstSeed + internal::schedules - 1 << "\n";
        sum = internal::runSchedules({}, internal::schedules);
        std::cout << "granted " << sum.coverage.granted << ", repeats " << sum.coverage.repeats << ", in progress "
                  << sum.coverage.inProgress << ", conflicts " << sum.coverage.conflicts << ", unavailable "
                  << sum.coverage.unavailable << ", released " << sum.coverage.released << ", ambiguous "
                  << sum.coverage.ambiguous << "; first violating seed " << sum.firstBadSeed << "\n";
    }

    static inline internal::Sum sum;
};

// Guards against two runs of one key under lost acknowledgements, delayed writes, pauses, crashes and store outages.
TEST_F(ClaimInvariantTest, NonRepeatableRequestRunsAtMostOnce)
{
    EXPECT_EQ(sum.violations.repeatedRuns, 0U);
    EXPECT_GT(sum.coverage.granted, internal::schedules);
    EXPECT_GT(sum.coverage.ambiguous, 0U);
}

// Guards against dispatching a request that was answered "not run".
TEST_F(ClaimInvariantTest, NotRunTrulyDidNotRun)
{
    EXPECT_EQ(sum.violations.runAfterRefusal, 0U);
    EXPECT_GT(sum.coverage.unavailable, 0U);
    EXPECT_GT(sum.coverage.released, 0U);
}

// Guards against a repeat that gets a different answer, or the answer to a different body.
TEST_F(ClaimInvariantTest, RepeatReceivesFirstOutcome)
{
    EXPECT_EQ(sum.violations.wrongRepeats, 0U);
    EXPECT_EQ(sum.violations.lostOutcomes, 0U);
    EXPECT_EQ(sum.violations.conflictsMissed, 0U);
    EXPECT_EQ(sum.violations.falseConflicts, 0U);
    EXPECT_GT(sum.coverage.repeats, 0U);
    EXPECT_GT(sum.coverage.conflicts, 0U);
}

// Guards against a caller that waits beyond its deadline, and against keys or memory that are never released.
TEST_F(ClaimInvariantTest, EveryRequestIsAnsweredAndAllStateIsReleased)
{
    EXPECT_EQ(sum.violations.answerErrors, 0U);
    EXPECT_EQ(sum.violations.stuckKeys, 0U);
    EXPECT_EQ(sum.violations.leaks, 0U);
    EXPECT_GT(sum.coverage.inProgress, 0U);
}

// Each test below turns one mechanism off and expects violations. It guards against an invariant test that cannot fail.
TEST(ClaimMechanismTest, WithoutConditionsRepeatedRunsAreFound)
{
    ScheduleOptions options;
    options.claim.commit.useConditions = false;
    EXPECT_GT(internal::runSchedules(options, internal::schedulesWithoutMechanism).violations.repeatedRuns, 0U);
}

TEST(ClaimMechanismTest, WithoutResolvedWritesStuckKeysAreFound)
{
    ScheduleOptions options;
    options.claim.commit.resolveAmbiguous = false;
    EXPECT_GT(internal::runSchedules(options, internal::schedulesWithoutMechanism).violations.stuckKeys, 0U);
}

TEST(ClaimMechanismTest, WithoutBodyComparisonMissedConflictsAreFound)
{
    ScheduleOptions options;
    options.claim.compareBody = false;
    EXPECT_GT(internal::runSchedules(options, internal::schedulesWithoutMechanism).violations.conflictsMissed, 0U);
}

} // namespace chivewinch::claim
