#include "group/map_planner.hpp"

#include <gtest/gtest.h>

namespace chivewinch::group {
namespace {

constexpr EngineLimits limits { .layers = 2, .experts = 4, .slotsPerRank = 3, .newPerChange = 1 };

GroupMap roundRobinMap() { return { 2, expert::LayerPlacement { { 0, 2 }, { 1, 3 } } }; }

TEST(MapPlanner, WaitsForEnoughTokens)
{
    const GroupLoads loads { .tokens = { 90, 1, 90, 1, 90, 1, 90, 1 }, .paces = { 1, 1 } };
    EXPECT_FALSE(planMap(roundRobinMap(), loads, limits, { .minTokens = 1'000 }));
    const auto planned = planMap(roundRobinMap(), loads, limits, { .minTokens = 10 });
    ASSERT_TRUE(planned);
    EXPECT_GT(planned->skewBefore, 1.9);
    EXPECT_LT(planned->skewAfter, 1.1);
}

TEST(MapPlanner, KeepsAMapThatIsGoodEnough)
{
    const GroupLoads loads { .tokens = { 50, 48, 50, 50, 50, 50, 50, 50 }, .paces = { 1, 1 } };
    EXPECT_FALSE(planMap(roundRobinMap(), loads, limits, { .minTokens = 10 }));
}

// Guards against a faulty engine that reports a pace of 0, which would move all work from the other ranks to it.
TEST(MapPlanner, BoundsThePaces)
{
    const GroupLoads loads { .tokens = { 50, 50, 50, 50, 50, 50, 50, 50 }, .paces = { 0, 1 } };
    EXPECT_FALSE(planMap(roundRobinMap(), loads, limits, { .minTokens = 10 }));
}

// Guards against counts of a different size, for instance from engines that restarted with other limits.
TEST(MapPlanner, RefusesLoadsOfAnotherShape)
{
    const GroupLoads loads { .tokens = { 90, 1, 90, 1 }, .paces = { 1, 1 } };
    EXPECT_FALSE(planMap(roundRobinMap(), loads, limits, { .minTokens = 10 }));
}

} // namespace
} // namespace chivewinch::group
