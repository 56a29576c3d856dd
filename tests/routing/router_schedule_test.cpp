#include "routing/router_schedule.hpp"
#include "support/schedules.hpp"

#include <gtest/gtest.h>

namespace chivewinch::routing {

namespace {

/** Runs schedules with seeds from 1; returns the number of failed schedules and prints the first failure. */
int countRouterFailures(int schedules, const RouterOptions& options)
{
    int failures = 0;
    for (int seed = 1; seed <= schedules; ++seed) {
        const auto violation = RouterSchedule { static_cast<std::uint64_t>(seed), options }.run();
        if (!violation.empty() && failures++ == 0)
            std::cout << "first failure: seed " << seed << ": " << violation << std::endl;
    }
    return failures;
}

constexpr int fullCount = support::schedulesToRun(20'000);
constexpr int switchedOffCount = 500;

} // namespace

// Guards against: choosing a target that is ejected, full, excluded or not live; refusing while capacity is free;
// ejecting more than a third of the targets; spill-over without need or above its share; retries beyond the budget.
TEST(RouterScheduleTest, RulesHoldUnderRandomSchedules)
{
    std::cout << "seeds 1 to " << fullCount << std::endl;
    EXPECT_EQ(countRouterFailures(fullCount, {}), 0);
}

// Checks that the schedules exercise each mechanism: a rule must fail when its mechanism is disabled.
TEST(RouterScheduleTest, RulesFailWithoutTheirMechanism)
{
    EXPECT_GT(countRouterFailures(switchedOffCount, { .useSubset = false }), 0);
    EXPECT_GT(countRouterFailures(switchedOffCount, { .useOwnInFlight = false }), 0);
    EXPECT_GT(countRouterFailures(switchedOffCount, { .useCapacity = false }), 0);
    EXPECT_GT(countRouterFailures(switchedOffCount, { .ejection = { .limitShare = false } }), 0);
    EXPECT_GT(countRouterFailures(switchedOffCount, { .retryBudget = { .enabled = false } }), 0);
    EXPECT_GT(countRouterFailures(switchedOffCount, { .spill = { .limitShare = false } }), 0);
    EXPECT_GT(countRouterFailures(switchedOffCount, { .spill = { .onlyWithoutLocalCapacity = false } }), 0);
}

} // namespace chivewinch::routing
