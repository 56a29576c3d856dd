#include "gateway/target_notices.hpp"

#include <gtest/gtest.h>

namespace chivewinch::gateway {
namespace {

using namespace std::chrono_literals;

TEST(TargetNotices, ReadsSeconds)
{
    EXPECT_EQ(parseRetryAfter("2"), 2'000ms);
    EXPECT_EQ(parseRetryAfter("0.25"), 250ms);
    // A time far beyond the lifetime of a target must not exclude it forever.
    EXPECT_EQ(parseRetryAfter("1e12"), 1h);
    for (const auto* value : { "", "0", "-1", "soon", "1s", "nan", "inf", "Fri, 04 Dec 2026 10:00:00 GMT" })
        EXPECT_EQ(parseRetryAfter(value), std::nullopt) << value;
}

// Guards against memory use that grows with every target that has ever left.
TEST(TargetNotices, ExpiresNoticesOfUnlistedTargets)
{
    TargetNotices notices;
    const membership::ListedTarget target { .id = "a" };
    const base::SteadyTime now { 1h };
    EXPECT_TRUE(notices.recordLeaving("a", {}, now));
    EXPECT_FALSE(notices.recordLeaving("a", {}, now));
    notices.update({ target }, now + 1h);
    EXPECT_TRUE(notices.isLeaving(target));
    notices.update({}, now + TargetNotices::retention);
    EXPECT_FALSE(notices.isLeaving(target));
}

} // namespace
} // namespace chivewinch::gateway
