#include "gateway/run_times.hpp"

#include <gtest/gtest.h>

namespace chivewinch::gateway {

using namespace std::chrono_literals;

// Guards against an estimate from a few runs, and against one that a slow run of long ago determines for good.
TEST(RunTimesTest, EstimatesFromRecentRuns)
{
    base::ManualClock clock;
    RunTimes times;
    for (std::size_t i = 0; i < RunTimes::minRuns; ++i) {
        EXPECT_EQ(times.estimate("r", clock.now()), std::nullopt) << i;
        times.record("r", i == 0 ? 4s : 1s, clock.now());
    }
    EXPECT_EQ(times.estimate("r", clock.now()), RunTimes::margin * 4s);
    EXPECT_EQ(times.estimate("other", clock.now()), std::nullopt);
    clock.advance(RunTimes::window);
    for (std::size_t i = 0; i < RunTimes::minRuns; ++i)
        times.record("r", 2s, clock.now());
    EXPECT_EQ(times.estimate("r", clock.now()), RunTimes::margin * 4s);
    clock.advance(RunTimes::window);
    EXPECT_EQ(times.estimate("r", clock.now()), RunTimes::margin * 2s);
    clock.advance(2 * RunTimes::window);
    EXPECT_EQ(times.estimate("r", clock.now()), std::nullopt);
}

} // namespace chivewinch::gateway
