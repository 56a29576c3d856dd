#include "gateway/stream_timing.hpp"

#include <gtest/gtest.h>

namespace chivewinch::gateway {
namespace {

using namespace std::chrono_literals;

// Guards against logging a pause in the middle of a stream as a late first event, or vice versa.
TEST(StreamTiming, SeparatesTheFirstEventFromThePauses)
{
    const base::SteadyTime arrived { 1h };
    StreamTiming timing { arrived };
    EXPECT_EQ(timing.firstEvent(), std::nullopt);
    timing.recordWrite(arrived + 300ms);
    EXPECT_EQ(timing.firstEvent(), 300ms);
    EXPECT_EQ(timing.longestPause(), 0ms);
    timing.recordWrite(arrived + 350ms);
    timing.recordWrite(arrived + 500ms);
    timing.recordWrite(arrived + 560ms);
    EXPECT_EQ(timing.firstEvent(), 300ms);
    EXPECT_EQ(timing.longestPause(), 150ms);
}

} // namespace
} // namespace chivewinch::gateway
