#include "base/clock.hpp"
#include "entry/lost_agents.hpp"

#include <gtest/gtest.h>

namespace chivewinch::entry {

class LostAgentsTest : public testing::Test {
protected:
    static constexpr std::uint64_t fingerprint = 7;
    static constexpr base::Incarnation agent { 1 };
    static constexpr base::Incarnation engine { 10 };

    base::ManualClock clock;
    suspect::StrikeTable strikes { this->clock };
    LostAgents agents;

    void SetUp() override
    {
        this->agents.heard(this->strikes, "t", engine);
        this->agents.lost(this->strikes, "t", agent, fingerprint);
    }
};

// Guards against a request that loses many instances before the first of them is known to have crashed.
TEST_F(LostAgentsTest, StrikeCountsAtOnce) { EXPECT_EQ(this->strikes.strikes(fingerprint), 1U); }

// Guards against an innocent request that is blocked because agents were killed while their engines ran on.
TEST_F(LostAgentsTest, StrikeIsClearedWhenTheTargetRanOn)
{
    this->agents.heard(this->strikes, "t", base::Incarnation {});
    EXPECT_EQ(this->strikes.strikes(fingerprint), 1U);
    this->agents.heard(this->strikes, "t", engine);
    EXPECT_EQ(this->strikes.strikes(fingerprint), 0U);
}

TEST_F(LostAgentsTest, StrikeStaysWhenTheTargetRestarted)
{
    this->agents.heard(this->strikes, "t", base::Incarnation { 11 });
    this->agents.heard(this->strikes, "t", base::Incarnation { 11 });
    EXPECT_EQ(this->strikes.strikes(fingerprint), 1U);
}

} // namespace chivewinch::entry
