#include "group/count_delta.hpp"

#include <gtest/gtest.h>

namespace chivewinch::group {
namespace {

using namespace std::chrono_literals;
using base::SteadyTime;
using Deltas = std::vector<double>;

constexpr SteadyTime start { 1h };

ExpertCounts counts(std::uint64_t epoch, std::vector<std::uint64_t> tokens)
{
    return { .epoch = epoch, .tokens = std::move(tokens) };
}

TEST(CountDelta, ReturnsTokensCountedSinceTheLastReading)
{
    CountDelta delta { 1s };
    EXPECT_EQ(delta.update(counts(1, { 100, 0, 0 }), start), (Deltas { 0, 0, 0 }));
    EXPECT_EQ(delta.update(counts(1, { 110, 5, 0 }), start + 1s), (Deltas { 10, 5, 0 }));
    EXPECT_EQ(delta.update(counts(1, { 110, 6, 7 }), start + 2s), (Deltas { 0, 1, 7 }));
}

// Guards against counts that were reset or have another size being reported as a sudden rise in popularity.
TEST(CountDelta, IgnoresCountsThatCannotBeCompared)
{
    CountDelta delta { 1s };
    (void)delta.update(counts(1, { 1, 1 }), start);
    EXPECT_EQ(delta.update(counts(2, { 50, 1 }), start), (Deltas { 0, 0 }));
    EXPECT_EQ(delta.update(counts(2, { 99 }), start), (Deltas { 0 }));
    EXPECT_EQ(delta.update(counts(2, { 20, 1 }), start), (Deltas { 0, 0 }));
    EXPECT_EQ(delta.update(counts(2, { 19, 2 }), start), (Deltas { 0, 1 }));
}

// Guards against a difference over a long pause being reported as the present popularity, for instance after another
// agent was first rank in between.
TEST(CountDelta, IgnoresALongPause)
{
    CountDelta delta { 1s };
    (void)delta.update(counts(1, { 1, 1 }), start);
    EXPECT_EQ(delta.update(counts(1, { 500, 1 }), start + 1'001ms), (Deltas { 0, 0 }));
    EXPECT_EQ(delta.update(counts(1, { 501, 1 }), start + 1'100ms), (Deltas { 1, 0 }));
}

} // namespace
} // namespace chivewinch::group
