#include "gateway/options.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace chivewinch::gateway {
namespace {

using namespace std::chrono_literals;

// Guards against streams of slow routes that are broken off and begun elsewhere while their callers would still wait.
TEST(StreamPatience, FollowsTheObjectivesOfTheRoute)
{
    const StreamPatience patience;
    EXPECT_EQ(patience.silenceLimit({ .latencyObjective = 400ms, .pauseObjective = 120ms }), 1'800ms);
    EXPECT_EQ(patience.silenceLimit({ .latencyObjective = 1'000ms, .pauseObjective = 120ms }), 3'800ms);
    EXPECT_EQ(patience.silenceLimit({ .latencyObjective = 400ms, .pauseObjective = 500ms }), 3'800ms);
    EXPECT_EQ(patience.silenceLimit({ .latencyObjective = 0ms, .pauseObjective = 0ms }), 1'800ms);
}

// Guards against watches that learn of a leaving target or of a configuration later than the deployment allows.
TEST(ChangeBounds, LeaveTimeForTheAnswerOfTheStore)
{
    for (const auto bound : { 500ms, 2'000ms, 3'000ms, 10'000ms }) {
        const ChangeBounds bounds { .leaving = bound, .configuration = bound, .contact = 2 * bound };
        EXPECT_LE(targetsWatch(bounds).pause, bound / 2);
        EXPECT_LT(configurationWatch(bounds).wait, bound);
        EXPECT_EQ(configurationWatch(bounds).pause, 0ms);
        // A silent connection is noticed within the time for which the process is excused.
        EXPECT_LT(targetsWatch(bounds).wait, bounds.contact);
    }
}

// Guards against entries that together retry more than the slack allows: 98 of them with a 64th each had 686 of 448,
// and broke the budget by 19 (kilat-wax-large, trouble-2). A third more entries than were counted still fit.
TEST(RetryLimit, TheSlackIsDividedBetweenAllEntries)
{
    const RetryLimit limit { .share = 0.2, .slack = 448 };
    EXPECT_EQ(retryConstant(limit, {}), 0U);
    for (std::size_t counted = 1; counted <= 700; ++counted) {
        std::uint32_t sum = 0;
        const auto present = counted + counted / 3;
        for (std::size_t index = 0; index < present; ++index)
            sum += retryConstant(limit, { .index = std::min(index, counted - 1), .count = counted });
        EXPECT_LE(sum, limit.slack / 2) << counted;
        EXPECT_GE(sum, 112U) << counted;
    }
}

} // namespace
} // namespace chivewinch::gateway
