#include "group/count_window.hpp"

#include <gtest/gtest.h>

namespace chivewinch::group {
namespace {

using namespace std::chrono_literals;
using base::SteadyTime;

constexpr SteadyTime start { 1h };

ExpertCounts counts(std::uint64_t epoch, std::vector<std::uint64_t> tokens)
{
    return { .epoch = epoch, .tokens = std::move(tokens) };
}

TEST(CountWindow, TakesTheGrowthOfTheCounts)
{
    CountWindow window { 1s };
    window.add(counts(1, { 100, 0, 0, 0 }), start);
    EXPECT_EQ(window.loads(), (std::vector<double> { 0, 0, 0, 0 }));
    window.add(counts(1, { 110, 5, 0, 7 }), start);
    EXPECT_EQ(window.loads(), (std::vector<double> { 10, 5, 0, 7 }));
}

// Guards against a popularity of long ago that outweighs the present one.
TEST(CountWindow, ForgetsByHalves)
{
    CountWindow window { 1s };
    window.add(counts(1, { 0, 0 }), start);
    window.add(counts(1, { 8, 0 }), start);
    window.add(counts(1, { 8, 0 }), start + 3s);
    EXPECT_DOUBLE_EQ(window.loads().front(), 1);
}

// Guards against counts that began anew, or have another shape, and look like a sudden popularity.
TEST(CountWindow, IgnoresCountsThatCannotBeCompared)
{
    CountWindow window { 1s };
    window.add(counts(1, { 1, 1 }), start);
    window.add(counts(2, { 50, 1 }), start);
    EXPECT_EQ(window.loads(), (std::vector<double> { 0, 0 }));
    window.add(counts(2, { 99 }), start);
    EXPECT_EQ(window.loads(), (std::vector<double> { 0 }));
    window.add(counts(2, { 20, 1 }), start);
    EXPECT_EQ(window.loads(), (std::vector<double> { 0, 0 }));
    window.add(counts(2, { 19, 2 }), start);
    EXPECT_EQ(window.loads(), (std::vector<double> { 0, 1 }));
}

} // namespace
} // namespace chivewinch::group
