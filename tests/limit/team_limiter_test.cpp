#include "limit/team_limiter.hpp"

#include <gtest/gtest.h>

namespace chivewinch::limit {

using namespace std::chrono_literals;
using base::RefusalReason;

class TeamLimiterTest : public testing::Test {
protected:
    base::ManualClock clock;
    TeamLimiter limiter;

    void configure(double rate, double concurrency)
    {
        const TeamLimit limit { .team = "t", .requestsPerSecond = rate, .concurrency = concurrency };
        this->limiter.setTeams({ &limit, 1 });
    }

    Decision start() { return this->limiter.tryStart("t", this->clock.now()); }
};

TEST_F(TeamLimiterTest, RefusesUnknownTeam) { EXPECT_EQ(this->start().reason, RefusalReason::UnknownTeam); }

// Guards against a team that exceeds its burst, and against a Retry-After that is too short for the retry to succeed.
TEST_F(TeamLimiterTest, RefusesAboveBurstWithRetryAfter)
{
    this->configure(10, 1000);
    for (int i = 0; i < 10; ++i)
        EXPECT_TRUE(this->start().admitted());
    const auto refusal = this->start();
    EXPECT_EQ(refusal.reason, RefusalReason::TeamRateLimit);
    EXPECT_GE(refusal.retryAfter, 100ms);
    this->clock.advance(refusal.retryAfter);
    EXPECT_TRUE(this->start().admitted());
}

// Guards against a team that is never admitted because its share per entry is below one request.
TEST_F(TeamLimiterTest, SmallTeamIsAdmittedAtReducedRate)
{
    this->limiter.setEntries(20, 20);
    this->configure(2, 2);
    EXPECT_TRUE(this->start().admitted());
    this->clock.advance(1s);
    this->limiter.finished("t", this->clock.now());
    this->clock.advance(8s);
    EXPECT_FALSE(this->start().admitted());
    this->clock.advance(2s);
    EXPECT_TRUE(this->start().admitted());
}

// Guards against requests refused elsewhere that still count against the limits of their team.
TEST_F(TeamLimiterTest, CancelledStartRestoresTokenAndSlot)
{
    this->limiter.setEntries(4, 4);
    this->configure(2, 2);
    for (int i = 0; i < 10; ++i) {
        EXPECT_TRUE(this->start().admitted());
        this->limiter.cancelStart("t");
    }
    EXPECT_TRUE(this->start().admitted());
    EXPECT_FALSE(this->start().admitted());
}

// Guards against slots that are never released after a bundle changed the limits.
TEST_F(TeamLimiterTest, KeepsCountsAcrossBundles)
{
    this->configure(100, 2);
    EXPECT_TRUE(this->start().admitted());
    EXPECT_TRUE(this->start().admitted());
    this->configure(100, 3);
    EXPECT_TRUE(this->start().admitted());
    EXPECT_EQ(this->start().reason, RefusalReason::TeamConcurrencyLimit);
    this->limiter.setTeams({});
    EXPECT_EQ(this->start().reason, RefusalReason::UnknownTeam);
    for (int i = 0; i < 3; ++i)
        this->limiter.finished("t", this->clock.now());
    EXPECT_EQ(this->limiter.size(), 0U);
}

} // namespace chivewinch::limit
