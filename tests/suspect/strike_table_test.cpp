#include "suspect/strike_table.hpp"

#include <gtest/gtest.h>

namespace chivewinch::suspect {

class StrikeTableTest : public testing::Test {
protected:
    base::ManualClock clock;
};

// Guards against one crash that is reported twice and blocks a fingerprint.
TEST_F(StrikeTableTest, ReportsOfOneCrashCountOnce)
{
    StrikeTable table { this->clock };
    const std::uint64_t fingerprints[] = { 5 };
    table.recordCrash("a", base::Incarnation { 1 }, fingerprints);
    table.recordCrash("a", base::Incarnation { 1 }, fingerprints);
    EXPECT_EQ(table.verdict(5), Verdict::Isolated);
    table.recordCrash("a", base::Incarnation { 2 }, fingerprints);
    EXPECT_EQ(table.verdict(5), Verdict::Blocked);
}

} // namespace chivewinch::suspect
