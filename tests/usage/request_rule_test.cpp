#include "usage/request_rule.hpp"

#include <gtest/gtest.h>

namespace chivewinch::usage::internal {

class RequestRuleTest : public testing::Test {
protected:
    JoinItem entryItem { .number = 1, .side = Side::Entry };
    JoinItem agentItem { .number = 1, .side = Side::Agent };

    AttemptPair pair(Result entry, const Counts& entryCounts, Result agent, const Counts& agentCounts)
    {
        this->entryItem.result = entry;
        this->agentItem.result = agent;
        return { .entry = { .item = &this->entryItem, .counts = entryCounts },
            .agent = { .item = &this->agentItem, .counts = agentCounts } };
    }
};

// Guards against a cancelled request that is billed without its prompt tokens, which only the agent counts.
TEST_F(RequestRuleTest, CancelledTakesPromptFromAgentAndTokensFromEntry)
{
    const std::vector attempts { this->pair(Result::Cancelled, { .generatedTokens = 20 }, Result::Cancelled,
        { .promptTokens = 100, .cachedTokens = 40, .generatedTokens = 30 }) };
    const auto totals = totalsOf(attempts, resolveOutcome(attempts, true));
    EXPECT_EQ(totals,
        (Totals { .cancelled = 1,
            .promptTokens = 100,
            .cachedTokens = 40,
            .generatedTokens = 20,
            .unbilledGeneratedTokens = 10 }));
    EXPECT_EQ(difference(attempts[0]), nullptr);
}

// Guards against a reported mismatch for an attempt whose refusal did not reach the entry.
TEST_F(RequestRuleTest, LostRefusalIsNoMismatch)
{
    const auto attempt = this->pair(Result::Broken, { .resumedTokens = 7, .spillOvers = 1 }, Result::Refused, {});
    EXPECT_EQ(difference(attempt), nullptr);
}

// Guards against records that are treated as consistent although only the entry recorded a complete answer, or although
// one side recorded a refusal and the other one a complete answer.
TEST_F(RequestRuleTest, ContradictingResultsAreMismatches)
{
    EXPECT_NE(difference(this->pair(Result::Done, {}, Result::Refused, {})), nullptr);
    EXPECT_NE(difference(this->pair(Result::Done, {}, Result::Broken, {})), nullptr);
    EXPECT_NE(difference(this->pair(Result::Refused, {}, Result::Done, {})), nullptr);
}

// Guards against a request that counts as executed although all attempts were refused, and against a request that
// counts as refused although an attempt was executed.
TEST_F(RequestRuleTest, RefusedOnlyWhenNothingRan)
{
    const std::vector refused { this->pair(Result::Refused, {}, Result::Refused, {}) };
    EXPECT_EQ(resolveOutcome(refused, true).result, Result::Refused);
    std::vector broken { this->pair(Result::Broken, {}, Result::Broken, { .promptTokens = 5 }) };
    EXPECT_EQ(resolveOutcome(broken, true).result, Result::Unknown);
    EXPECT_EQ(totalsOf(broken, resolveOutcome(broken, true)).unbilledPromptTokens, 5U);
    broken[0].entry = {};
    this->agentItem.result = Result::Done;
    EXPECT_TRUE(resolveOutcome(broken, true).fromAgent);
    EXPECT_EQ(resolveOutcome(broken, false).result, Result::Unknown);
}

} // namespace chivewinch::usage::internal
