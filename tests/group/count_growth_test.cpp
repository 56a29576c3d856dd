#include "group/count_growth.hpp"

#include <gtest/gtest.h>

namespace chivewinch::group {
namespace {

using namespace std::chrono_literals;
using base::SteadyTime;
using Growth = std::vector<double>;

constexpr SteadyTime start { 1h };

ExpertCounts counts(std::uint64_t epoch, std::vector<std::uint64_t> tokens)
{
    return { .epoch = epoch, .tokens = std::move(tokens) };
}

TEST(CountGrowth, ReturnsTokensCountedSinceTheLastReading)
{
    CountGrowth growth { 1s };
    EXPECT_EQ(growth.update(counts(1, { 100, 0, 0 }), start), (Growth { 0, 0, 0 }));
    EXPECT_EQ(growth.update(counts(1, { 110, 5, 0 }), start + 1s), (Growth { 10, 5, 0 }));
    EXPECT_EQ(growth.update(counts(1, { 110, 6, 7 }), start + 2s), (Growth { 0, 1, 7 }));
}

// Guards against counts that were reset or have another size being reported as a sudden rise in popularity.
TEST(CountGrowth, IgnoresCountsThatCannotBeCompared)
{
    CountGrowth growth { 1s };
    (void)growth.update(counts(1, { 1, 1 }), start);
    EXPECT_EQ(growth.update(counts(2, { 50, 1 }), start), (Growth { 0, 0 }));
    EXPECT_EQ(growth.update(counts(2, { 99 }), start), (Growth { 0 }));
    EXPECT_EQ(growth.update(counts(2, { 20, 1 }), start), (Growth { 0, 0 }));
    EXPECT_EQ(growth.update(counts(2, { 19, 2 }), start), (Growth { 0, 1 }));
}

// Guards against a difference over a long pause being reported as the present popularity, for instance after another
// agent was first rank in between.
TEST(CountGrowth, IgnoresALongPause)
{
    CountGrowth growth { 1s };
    (void)growth.update(counts(1, { 1, 1 }), start);
    EXPECT_EQ(growth.update(counts(1, { 500, 1 }), start + 1'001ms), (Growth { 0, 0 }));
    EXPECT_EQ(growth.update(counts(1, { 501, 1 }), start + 1'100ms), (Growth { 1, 0 }));
}

} // namespace
} // namespace chivewinch::group
