#include "quota/request_limit.hpp"
#include "quota/stated_limits.hpp"

#include <gtest/gtest.h>

namespace chivewinch::quota {
namespace {

using namespace std::chrono_literals;

// Guards against treating an unreadable value as a limit, which would keep requests from the target.
TEST(RequestLimit, AcceptsOnlyPlausibleNumbers)
{
    EXPECT_EQ(parseRequestLimit("2"), 2.0);
    EXPECT_EQ(parseRequestLimit("0.25"), 0.25);
    EXPECT_EQ(parseRequestLimit("0"), 0.0);
    for (const auto* value : { "", " ", "-1", "-0.5", "nan", "inf", "-inf", "many", "1/s", "1,5", "1e400", "1e7" })
        EXPECT_EQ(parseRequestLimit(value), std::nullopt) << value;
}

class StatedLimitsTest : public testing::Test {
protected:
    static constexpr base::Incarnation first { 1 };
    static constexpr base::Incarnation second { 2 };

    base::SteadyTime now { 1h };
    StatedLimits limits;
};

TEST_F(StatedLimitsTest, ReportsEachChangeOnce)
{
    EXPECT_EQ(this->limits.observe("t", first, std::nullopt, this->now, this->now), LimitChange::None);
    EXPECT_EQ(this->limits.observe("t", first, 2, this->now, this->now), LimitChange::Named);
    EXPECT_EQ(this->limits.observe("t", first, 2, this->now, this->now), LimitChange::None);
    EXPECT_EQ(this->limits.observe("t", first, 1, this->now, this->now), LimitChange::Changed);
    EXPECT_EQ(this->limits.observe("t", first, std::nullopt, this->now + 1s, this->now + 2s), LimitChange::Ended);
    EXPECT_EQ(this->limits.observe("t", first, std::nullopt, this->now + 3s, this->now + 3s), LimitChange::None);
    ASSERT_NE(this->limits.find("t"), nullptr);
    EXPECT_FALSE(this->limits.find("t")->limit);
}

// Guards against ending a limit by an answer that the target sent before it named the limit.
TEST_F(StatedLimitsTest, IgnoresAnOvertakenAnswerWithoutLimit)
{
    EXPECT_EQ(this->limits.observe("t", first, 1, this->now, this->now + 1s), LimitChange::Named);
    EXPECT_EQ(this->limits.observe("t", first, std::nullopt, this->now + 1s, this->now + 2s), LimitChange::None);
    EXPECT_EQ(this->limits.find("t")->limit, 1.0);
}

// Guards against an answer that is read late, after a freeze, and then overrides newer statements of other processes.
TEST_F(StatedLimitsTest, OrdersStatementsByTheTimeOfTheirRequests)
{
    EXPECT_EQ(this->limits.merge("t", { first, 1, this->now + 5s, this->now + 6s }), LimitChange::Named);
    EXPECT_EQ(this->limits.observe("t", first, 40, this->now, this->now + 10s), LimitChange::None);
    EXPECT_EQ(this->limits.merge("t", { first, 40, this->now + 4s, this->now + 20s }), LimitChange::None);
    EXPECT_EQ(this->limits.find("t")->limit, 1.0);
    EXPECT_EQ(this->limits.merge("t", { first, std::nullopt, this->now + 7s, this->now + 8s }), LimitChange::Ended);
}

// Guards against applying the limit of an incarnation to the next one, or a late answer of the previous one.
TEST_F(StatedLimitsTest, AppliesToOneIncarnation)
{
    EXPECT_EQ(this->limits.observe("t", first, 1, this->now, this->now), LimitChange::Named);
    EXPECT_EQ(this->limits.observe("t", second, 1, this->now, this->now), LimitChange::Named);
    EXPECT_EQ(this->limits.observe("t", first, 5, this->now, this->now), LimitChange::None);
    EXPECT_EQ(this->limits.find("t")->limit, 1.0);
    this->limits.update({ { "t", base::Incarnation { 3 } } }, this->now);
    EXPECT_EQ(this->limits.find("t"), nullptr);
}

// Guards against forgetting a limit when the target is missing from the list for a moment.
TEST_F(StatedLimitsTest, KeepsLimitsOfUnlistedTargetsForAWhile)
{
    EXPECT_EQ(this->limits.observe("t", first, 1, this->now, this->now), LimitChange::Named);
    this->limits.update({}, this->now + 10s);
    EXPECT_NE(this->limits.find("t"), nullptr);
    this->limits.update({}, this->now + StatedLimits::retention);
    EXPECT_EQ(this->limits.find("t"), nullptr);
}

TEST_F(StatedLimitsTest, ReportsAnInvalidValueOnce)
{
    EXPECT_TRUE(this->limits.recordInvalid("t", "x"));
    EXPECT_FALSE(this->limits.recordInvalid("t", "x"));
    EXPECT_TRUE(this->limits.recordInvalid("t", ""));
    EXPECT_TRUE(this->limits.recordInvalid("u", ""));
}

} // namespace
} // namespace chivewinch::quota
