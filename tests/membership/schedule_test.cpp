#include "membership/schedule.hpp"
#include "support/schedules.hpp"

#include <gtest/gtest.h>

namespace chivewinch::membership {

namespace {

/** Runs schedules with seeds from 1; returns the number of failed schedules and prints the first failure. */
int countFailures(int schedules, const Options& options, const ScheduleFaults& faults)
{
    int failures = 0;
    for (int seed = 1; seed <= schedules; ++seed) {
        const auto violation = Schedule { static_cast<std::uint64_t>(seed), options, faults }.run();
        if (!violation.empty() && failures++ == 0)
            std::cout << "first failure: seed " << seed << ": " << violation << std::endl;
    }
    return failures;
}

constexpr int fullCount = support::schedulesToRun(20'000);
constexpr int localFaultCount = support::schedulesToRun(5'000);
constexpr int switchedOffCount = 500;

} // namespace

// Guards against work for leaving or crashed targets, targets that an old message makes live, and healthy targets
// without work, under loss, delay, duplication, reordering, crashes, restarts, pauses and partitions.
TEST(MembershipScheduleTest, RulesHoldUnderAllFaults)
{
    std::cout << "seeds 1 to " << fullCount << std::endl;
    EXPECT_EQ(countFailures(fullCount, {}, {}), 0);
}

// Guards against targets that are marked as gone because this process was paused or partitioned from them.
TEST(MembershipScheduleTest, LocalFaultRemovesNoTarget)
{
    std::cout << "seeds 1 to " << localFaultCount << std::endl;
    EXPECT_EQ(countFailures(localFaultCount, {}, { .lossyNetwork = false, .targetsFail = false }), 0);
}

// Guards against schedules that do not exercise a mechanism: a rule must fail while its mechanism is off.
TEST(MembershipScheduleTest, RulesFailWithoutTheirMechanism)
{
    EXPECT_GT(countFailures(switchedOffCount, { .checkIncarnation = false }, {}), 0);
    EXPECT_GT(countFailures(switchedOffCount, { .checkSequence = false }, {}), 0);
    EXPECT_GT(countFailures(switchedOffCount, { .leaveIsFinal = false }, {}), 0);
    EXPECT_GT(countFailures(switchedOffCount, { .detectSilence = false }, {}), 0);
    const ScheduleFaults localFaults { .lossyNetwork = false, .targetsFail = false };
    EXPECT_GT(countFailures(switchedOffCount, { .suppressMassSuspicion = false }, localFaults), 0);
}

} // namespace chivewinch::membership
