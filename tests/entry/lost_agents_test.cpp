#include "base/clock.hpp"
#include "entry/lost_agents.hpp"

#include <gtest/gtest.h>

namespace chivewinch::entry {

using namespace std::chrono_literals;

class LostAgentsTest : public testing::Test {
protected:
    static constexpr std::uint64_t fingerprint = 7;
    static constexpr base::Incarnation agent { 1 };
    static constexpr base::Incarnation engine { 10 };

    base::ManualClock clock;
    suspect::StrikeTable strikes { this->clock };
    LostAgents agents { this->clock };

    void SetUp() override
    {
        this->agents.recordTargetIncarnation(this->strikes, "t", engine);
        this->agents.recordLoss("t", agent, fingerprint);
    }
};

// Guards against strikes for a request whose agents were killed while their engines kept running.
TEST_F(LostAgentsTest, NoStrikeWhenTheTargetKeptRunning)
{
    EXPECT_EQ(this->agents.unresolvedLosses(fingerprint), 1U);
    this->agents.recordTargetIncarnation(this->strikes, "t", base::Incarnation {});
    EXPECT_EQ(this->agents.unresolvedLosses(fingerprint), 1U);
    this->agents.recordTargetIncarnation(this->strikes, "t", engine);
    EXPECT_EQ(this->agents.unresolvedLosses(fingerprint), 0U);
    this->clock.advance(10s);
    this->agents.advance(this->strikes);
    EXPECT_EQ(this->strikes.strikeCount(fingerprint), 0U);
}

// Guards against a request that crashes whole instances, agent and target, and never gets a strike.
TEST_F(LostAgentsTest, StrikeWhenTheTargetRestarted)
{
    this->agents.recordTargetIncarnation(this->strikes, "t", base::Incarnation { 11 });
    EXPECT_EQ(this->strikes.strikeCount(fingerprint), 1U);
    EXPECT_EQ(this->agents.unresolvedLosses(fingerprint), 0U);
}

TEST_F(LostAgentsTest, StrikeWhenTheAgentDoesNotReturn)
{
    this->clock.advance(2s);
    this->agents.advance(this->strikes);
    EXPECT_EQ(this->strikes.strikeCount(fingerprint), 0U);
    this->clock.advance(2s);
    this->agents.advance(this->strikes);
    EXPECT_EQ(this->strikes.strikeCount(fingerprint), 1U);
    EXPECT_EQ(this->agents.unresolvedLosses(fingerprint), 0U);
    EXPECT_EQ(this->agents.unresolvedLosses(fingerprint + 1), 0U);
}

} // namespace chivewinch::entry
