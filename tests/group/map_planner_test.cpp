#include "group/map_planner.hpp"

#include <gtest/gtest.h>

namespace chivewinch::group {
namespace {

constexpr EngineLimits limits { .layers = 2, .experts = 4, .slotsPerRank = 3, .newPerChange = 1 };

GroupMap inTurn() { return { 2, expert::LayerPlacement { { 0, 2 }, { 1, 3 } } }; }

TEST(MapPlanner, WaitsForEnoughTokens)
{
    const GroupLoads loads { .tokens = { 90, 1, 90, 1, 90, 1, 90, 1 }, .paces = { 1, 1 } };
    EXPECT_FALSE(planMap(inTurn(), loads, limits, { .minTokens = 1'000 }));
    const auto planned = planMap(inTurn(), loads, limits, { .minTokens = 10 });
    ASSERT_TRUE(planned);
    EXPECT_GT(planned->skewBefore, 1.9);
    EXPECT_LT(planned->skewAfter, 1.1);
}

TEST(MapPlanner, KeepsAMapThatIsGoodEnough)
{
    const GroupLoads loads { .tokens = { 50, 48, 50, 50, 50, 50, 50, 50 }, .paces = { 1, 1 } };
    EXPECT_FALSE(planMap(inTurn(), loads, limits, { .minTokens = 10 }));
}

// Guards against a pace that a faulty engine reports as 0, which would take all work from the other ranks.
TEST(MapPlanner, BoundsThePaces)
{
    const GroupLoads loads { .tokens = { 50, 50, 50, 50, 50, 50, 50, 50 }, .paces = { 0, 1 } };
    EXPECT_FALSE(planMap(inTurn(), loads, limits, { .minTokens = 10 }));
}

// Guards against counts of another shape, for instance of engines that have restarted with other limits.
TEST(MapPlanner, RefusesLoadsOfAnotherShape)
{
    const GroupLoads loads { .tokens = { 90, 1, 90, 1 }, .paces = { 1, 1 } };
    EXPECT_FALSE(planMap(inTurn(), loads, limits, { .minTokens = 10 }));
}

} // namespace
} // namespace chivewinch::group
