#include "group/count_window.hpp"
#include "group/map_planner.hpp"

#include <gtest/gtest.h>

namespace chivewinch::group {
namespace {

using namespace std::chrono_literals;
using base::SteadyTime;

constexpr SteadyTime start { 1h };
constexpr EngineLimits limits { .layers = 2, .experts = 4, .slotsPerRank = 3, .newPerChange = 1 };

ExpertCounts counts(std::uint64_t epoch, std::vector<std::uint64_t> tokens)
{
    return { .epoch = epoch, .tokens = std::move(tokens) };
}

TEST(CountWindow, TakesTheGrowthOfTheCounts)
{
    CountWindow window { 2, limits, 1s };
    window.add(0, counts(1, { 100, 0, 0, 0, 0, 0, 0, 0 }), start);
    EXPECT_EQ(window.total(), 0);
    window.add(0, counts(1, { 110, 5, 0, 0, 0, 0, 0, 7 }), start);
    window.add(1, counts(1, { 9, 9, 9, 9, 9, 9, 9, 9 }), start);
    EXPECT_EQ(window.loads(0), (std::vector<double> { 10, 5, 0, 0 }));
    EXPECT_EQ(window.loads(1), (std::vector<double> { 0, 0, 0, 7 }));
}

// Guards against a popularity of long ago that outweighs the present one.
TEST(CountWindow, ForgetsByHalves)
{
    CountWindow window { 1, limits, 1s };
    window.add(0, counts(1, { 0, 0, 0, 0, 0, 0, 0, 0 }), start);
    window.add(0, counts(1, { 8, 0, 0, 0, 0, 0, 0, 0 }), start);
    window.add(0, counts(1, { 8, 0, 0, 0, 0, 0, 0, 0 }), start + 3s);
    EXPECT_DOUBLE_EQ(window.loads(0).front(), 1);
}

// Guards against counts that began anew, or have another shape, and look like a sudden popularity.
TEST(CountWindow, IgnoresCountsThatCannotBeCompared)
{
    CountWindow window { 1, limits, 1s };
    window.add(0, counts(1, { 1, 1, 1, 1, 1, 1, 1, 1 }), start);
    window.add(0, counts(2, { 50, 1, 1, 1, 1, 1, 1, 1 }), start);
    window.add(0, counts(2, { 99 }), start);
    window.add(7, counts(2, { 99, 1, 1, 1, 1, 1, 1, 1 }), start);
    window.add(0, counts(2, { 20, 1, 1, 1, 1, 1, 1, 1 }), start);
    EXPECT_EQ(window.total(), 0);
}

GroupMap inTurn() { return { 2, expert::LayerHolding { { 0, 2 }, { 1, 3 } } }; }

TEST(MapPlanner, WaitsForEnoughTokens)
{
    CountWindow window { 1, limits, 1s };
    window.add(0, counts(1, { 0, 0, 0, 0, 0, 0, 0, 0 }), start);
    window.add(0, counts(1, { 90, 1, 90, 1, 90, 1, 90, 1 }), start);
    EXPECT_FALSE(planMap(inTurn(), window, limits, { .minTokens = 1'000 }));
    const auto planned = planMap(inTurn(), window, limits, { .minTokens = 10 });
    ASSERT_TRUE(planned);
    EXPECT_GT(planned->skewBefore, 1.9);
    EXPECT_LT(planned->skewAfter, 1.1);
}

TEST(MapPlanner, KeepsAMapThatIsGoodEnough)
{
    CountWindow window { 1, limits, 1s };
    window.add(0, counts(1, { 0, 0, 0, 0, 0, 0, 0, 0 }), start);
    window.add(0, counts(1, { 50, 48, 50, 50, 50, 50, 50, 50 }), start);
    EXPECT_FALSE(planMap(inTurn(), window, limits, { .minTokens = 10 }));
}

} // namespace
} // namespace chivewinch::group
