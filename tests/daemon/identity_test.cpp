#include "daemon/identity.hpp"

#include <gtest/gtest.h>

namespace chivewinch::daemon {

// Guards against a restarted process that cannot be told apart from its previous incarnation.
TEST(IdentityTest, IncarnationGrowsWithTime)
{
    base::ManualClock clock;
    const auto first = makeIncarnation(clock);
    clock.advance(std::chrono::nanoseconds { 1 });
    EXPECT_GT(makeIncarnation(clock), first);
}

TEST(IdentityTest, ReadsOrGeneratesTheUsageKey)
{
    std::string reason;
    const std::string seed(64, '1');
    const auto key = usageKey(seed, reason);
    ASSERT_TRUE(key);
    EXPECT_EQ(key->seedHex(), seed);
    EXPECT_NE(usageKey("", reason)->seedHex(), usageKey("", reason)->seedHex());
    EXPECT_FALSE(usageKey("12", reason));
    EXPECT_NE(reason.find("setting usage-key: "), std::string::npos);
}

} // namespace chivewinch::daemon
