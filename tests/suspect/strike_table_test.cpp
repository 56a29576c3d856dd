#include "base/random.hpp"
#include "suspect/strike_table.hpp"
#include "suspect/target_guard.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <fstream>
#include <map>
#include <sstream>

namespace chivewinch::suspect {

using namespace std::chrono_literals;

namespace internal {

/** Reference model that keeps every strike forever with its earliest known time. */
class ReferenceTable {
public:
    void add(const Strike& strike, base::SteadyTime at, bool cleared)
    {
        auto& known = this->strikes.try_emplace(strike, Known { .at = at }).first->second;
        known.at = std::min(known.at, at);
        known.cleared = known.cleared || cleared;
    }

    void complete(std::uint64_t fingerprint)
    {
        for (auto& [strike, known] : this->strikes)
            known.cleared = known.cleared || strike.fingerprint == fingerprint;
    }

    [[nodiscard]] std::size_t count(
        std::uint64_t fingerprint, base::SteadyTime now, std::chrono::nanoseconds expiry) const
    {
        return static_cast<std::size_t>(
            std::count_if(this->strikes.begin(), this->strikes.end(), [&](const auto& item) {
                return item.first.fingerprint == fingerprint && !item.second.cleared && now - item.second.at < expiry;
            }));
    }

private:
    struct Known {
        base::SteadyTime at;
        bool cleared = false;
    };
    std::map<Strike, Known> strikes;
};

Strike randomStrike(base::RandomSource& random)
{
    return { .fingerprint = 1 + random.below(4),
        .target = std::string(1, static_cast<char>('a' + random.below(3))),
        .incarnation = base::Incarnation { 1 + random.below(3) } };
}

} // namespace internal

class StrikeTableTest : public testing::Test {
protected:
    base::ManualClock clock;
};

// Guards against a fingerprint that is blocked because one crash is reported twice.
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

// Guards against wrong strike counts after purges, merges of old lists and completions.
TEST_F(StrikeTableTest, AgreesWithUnboundedTable)
{
    constexpr std::uint64_t firstSeed = 81'000;
    constexpr std::uint64_t schedules = 3'000;
    constexpr int steps = 60;
    RecordProperty("seeds", std::to_string(firstSeed) + " to " + std::to_string(firstSeed + schedules - 1));
    const StrikeOptions options;
    for (auto seed = firstSeed; seed < firstSeed + schedules; ++seed) {
        base::SeededRandom random { seed };
        StrikeTable table { this->clock };
        internal::ReferenceTable reference;
        std::map<Strike, base::SteadyTime> crashes;
        for (int step = 0; step < steps; ++step) {
            this->clock.advance(std::chrono::milliseconds { random.below(60'000) });
            const auto strike = internal::randomStrike(random);
            const auto crash = crashes.try_emplace(strike, this->clock.now());
            // The age in a list is smaller than the time since the crash by at most the time in transit.
            const auto transit = std::min<std::chrono::nanoseconds>(
                std::chrono::milliseconds { random.below(2'000) }, this->clock.now() - crash.first->second);
            const auto age = this->clock.now() - crash.first->second - transit;
            const bool cleared = random.below(5) == 0;
            if (age < options.expiry - options.sendMargin) {
                const auto sent = std::chrono::duration_cast<std::chrono::milliseconds>(age);
                table.merge({ { .strike = strike, .age = sent, .cleared = cleared } });
                reference.add(strike, this->clock.now() - sent, cleared);
            }
            if (random.below(10) == 0) {
                table.recordCompletion(strike.fingerprint);
                reference.complete(strike.fingerprint);
            }
            for (std::uint64_t fingerprint = 1; fingerprint <= 4; ++fingerprint)
                ASSERT_EQ(
                    table.strikeCount(fingerprint), reference.count(fingerprint, this->clock.now(), options.expiry))
                    << "seed " << seed << " step " << step;
        }
    }
}

// Guards against processes that disagree because lists arrived in another order or twice.
RC_GTEST_PROP(StrikeMergeTest, OrderAndRepetitionDoNotMatter, (std::uint64_t seed))
{
    base::ManualClock clock;
    base::SeededRandom random { seed };
    StrikeList list;
    for (std::uint64_t i = 0; i < 12; ++i)
        list.push_back({ .strike = internal::randomStrike(random),
            .age = std::chrono::milliseconds { random.below(700'000) },
            .cleared = random.below(3) == 0 });
    StrikeTable inOrder { clock };
    inOrder.merge(list);
    StrikeTable mixed { clock };
    for (std::size_t i = 0; i < 2 * list.size(); ++i)
        mixed.merge({ list[random.below(list.size())] });
    std::reverse(list.begin(), list.end());
    mixed.merge(list);
    for (std::uint64_t fingerprint = 1; fingerprint <= 4; ++fingerprint)
        RC_ASSERT(inOrder.strikeCount(fingerprint) == mixed.strikeCount(fingerprint));
}

// Guards against a strike that never expires because two peers renew it for each other by delayed lists.
TEST_F(StrikeTableTest, PeersDoNotRenewStrikes)
{
    const auto strikesAfterEchoes = [this](StrikeOptions options) {
        StrikeTable first { this->clock, options };
        StrikeTable second { this->clock, options };
        const std::uint64_t fingerprints[] = { 5 };
        first.recordCrash("a", base::Incarnation { 1 }, fingerprints);
        for (int round = 0; round < 400; ++round) {
            const auto toSecond = first.report();
            this->clock.advance(1min);
            second.merge(toSecond);
            const auto toFirst = second.report();
            this->clock.advance(1min);
            first.merge(toFirst);
        }
        return first.strikeCount(5);
    };
    EXPECT_EQ(strikesAfterEchoes({}), 0U);
    EXPECT_EQ(strikesAfterEchoes({ .sendMargin = 0s }), 0U);
    EXPECT_EQ(strikesAfterEchoes({ .sendMargin = 0s, .rememberExpired = false }), 1U);
}

// Guards against lists that are too long for a heartbeat, and against strikes that are never sent.
TEST_F(StrikeTableTest, BoundedReportsReachPeersInTurn)
{
    constexpr std::uint64_t fingerprints = 300;
    StrikeTable sender { this->clock };
    StrikeTable receiver { this->clock };
    for (std::uint64_t i = 1; i <= fingerprints; ++i) {
        const std::uint64_t inFlight[] = { i };
        sender.recordCrash("a", base::Incarnation { 1 }, inFlight);
    }
    const auto reports = (fingerprints + StrikeOptions {}.maxReported - 1) / StrikeOptions {}.maxReported;
    for (std::uint64_t i = 0; i < reports; ++i) {
        const auto list = sender.report();
        EXPECT_LE(list.size(), StrikeOptions {}.maxReported);
        receiver.merge(list);
    }
    EXPECT_EQ(receiver.size(), fingerprints);
}

// Guards against memory that grows with crashes, and against eviction of the strikes that block a fingerprint.
TEST_F(StrikeTableTest, FullTableDropsSingleStrikesFirst)
{
    StrikeTable table { this->clock, { .maxStrikes = 100 } };
    const std::uint64_t blocked[] = { 1 };
    table.recordCrash("a", base::Incarnation { 1 }, blocked);
    table.recordCrash("b", base::Incarnation { 1 }, blocked);
    for (std::uint64_t i = 2; i < 1'000; ++i) {
        this->clock.advance(1ms);
        const std::uint64_t inFlight[] = { i };
        table.recordCrash("c", base::Incarnation { i }, inFlight);
    }
    EXPECT_EQ(table.size(), 100U);
    EXPECT_EQ(table.verdict(1), Verdict::Blocked);
    EXPECT_GT(table.evictions(), 0U);
}

// Guards against a completed run that clears a strike unknown to the process that recorded the completion.
TEST_F(StrikeTableTest, ClearConcernsKnownStrikesOnly)
{
    StrikeTable first { this->clock };
    StrikeTable second { this->clock };
    const std::uint64_t fingerprints[] = { 5 };
    first.recordCrash("a", base::Incarnation { 1 }, fingerprints);
    first.recordCompletion(5);
    second.recordCrash("b", base::Incarnation { 1 }, fingerprints);
    second.merge(first.report());
    EXPECT_EQ(second.verdict(5), Verdict::Isolated);
    EXPECT_EQ(first.verdict(5), Verdict::Normal);
}

// Guards against changed decisions in the recorded situations.
TEST(SuspectTraceTest, RecordedTracesHaveStatedOutcomes)
{
    for (const auto* name : { "resent_request", "innocent_neighbour" }) {
        std::ifstream input { std::string { TRACE_DIRECTORY } + "/" + name + ".trace" };
        ASSERT_TRUE(input) << name;
        base::ManualClock clock;
        StrikeTable table { clock };
        std::map<std::string, TargetGuard> guards;
        std::string text;
        while (std::getline(input, text)) {
            if (text.empty() || text.starts_with('#'))
                continue;
            std::istringstream line { text };
            std::string command;
            std::string target;
            std::string expected;
            std::uint64_t number = 0;
            line >> command;
            if (command == "wait" && line >> number) {
                clock.advance(std::chrono::seconds { number });
                continue;
            }
            line >> target >> number >> expected;
            auto& guard = guards.try_emplace(target, table, target).first->second;
            if (command == "start") {
                const auto reason = guard.check(number);
                EXPECT_EQ(base::toString(reason), expected) << name << ": " << text;
                if (reason == base::RefusalReason::None)
                    guard.started(number);
            } else if (command == "complete") {
                guard.finished(number, true);
            } else {
                guard.crashed(base::Incarnation { number });
            }
        }
    }
}

} // namespace chivewinch::suspect
