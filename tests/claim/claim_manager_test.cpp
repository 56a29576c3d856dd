#include "claim/claim_manager.hpp"
#include "store/memory_store.hpp"
#include "support/fake_scheduler.hpp"
#include "support/faulty_store.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <memory>

namespace chivewinch::claim {

using namespace std::chrono_literals;

class ClaimManagerTest : public testing::Test {
protected:
    base::ManualClock clock;
    support::FakeScheduler scheduler { this->clock };
    base::SeededRandom random { 5 };
    store::MemoryTableService tables;
    store::MemoryObjectStore objects;
    support::FaultyTableService faultyTables { this->tables, this->scheduler, this->random };
    support::FaultyObjectStore faultyObjects { this->objects, this->scheduler, this->random };
    ClaimOptions options { .entry = "entry-1", .maxRowAnswerBytes = 64, .maxUnsettledBytes = 1'000 };
    ClaimManager first { this->clock, this->scheduler, this->random, this->faultyTables, this->faultyObjects,
        this->options };
    ClaimManager second { this->clock, this->scheduler, this->random, this->faultyTables, this->faultyObjects,
        this->options };
    ClaimKey key { .team = "wax", .key = "order-1" };

    std::shared_ptr<std::optional<ClaimResult>> start(
        ClaimManager& manager, const ClaimKey& of, std::string body = "body")
    {
        auto result = std::make_shared<std::optional<ClaimResult>>();
        manager.claim({ .key = of, .bodyHash = std::move(body), .deadline = this->clock.now() + 10s },
            [result](const ClaimResult& answer) { *result = answer; });
        return result;
    }

    std::optional<ClaimResult> claim(ClaimManager& manager, std::string body = "body")
    {
        const auto result = this->start(manager, this->key, std::move(body));
        this->scheduler.runFor(100ms);
        return *result;
    }

    std::uint64_t granted(ClaimManager& manager)
    {
        const auto result = this->claim(manager);
        return result && std::holds_alternative<Granted>(*result) ? std::get<Granted>(*result).nonce : 0;
    }

    std::shared_ptr<bool> settle(ClaimManager& manager, std::uint64_t nonce, Settlement settlement)
    {
        auto durable = std::make_shared<bool>(false);
        manager.settle(this->key, nonce, std::move(settlement), [durable](bool stored) { *durable = stored; });
        this->scheduler.runFor(100ms);
        return durable;
    }

    static ClaimResult done(std::optional<std::string> answer)
    {
        return Repeat { .outcome = base::Outcome::Done, .answer = std::move(answer) };
    }
};

// Guards against a repeat at another entry that runs the request again or gets a different answer.
TEST_F(ClaimManagerTest, RepeatReceivesFirstAnswer)
{
    const auto nonce = this->granted(this->first);
    EXPECT_TRUE(*this->settle(this->first, nonce, { .outcome = base::Outcome::Done, .answer = "booked" }));
    EXPECT_EQ(this->claim(this->second), done("booked"));
    EXPECT_EQ(this->claim(this->second, "other"), ClaimResult { Conflict {} });
}

// Guards against granting a claim, or waiting, while the store cannot record the claim.
TEST_F(ClaimManagerTest, ClaimIsRefusedAtOnceWhileStoreIsDown)
{
    this->faultyTables.faults().down = true;
    EXPECT_EQ(this->claim(this->first), ClaimResult { Unavailable {} });
}

// Guards against another entry that gets the claim while its holder is paused.
TEST_F(ClaimManagerTest, PausedClaimerKeepsItsClaim)
{
    const auto nonce = this->granted(this->first);
    this->scheduler.runFor(24h);
    EXPECT_EQ(this->claim(this->second), std::nullopt);
    this->scheduler.runFor(10s);
    EXPECT_EQ(this->second.counters().inProgress, 1U);
    EXPECT_TRUE(*this->settle(this->first, nonce, { .outcome = base::Outcome::Done, .answer = "late" }));
    EXPECT_EQ(this->claim(this->second), done("late"));
}

// Guards against two grants when two entries claim the same key at the same time.
TEST_F(ClaimManagerTest, OneOfTwoSimultaneousClaimsIsGranted)
{
    const auto one = this->start(this->first, this->key);
    const auto two = this->start(this->second, this->key);
    this->scheduler.runFor(100ms);
    EXPECT_NE(one->has_value(), two->has_value());
    auto& winner = one->has_value() ? this->first : this->second;
    const auto nonce = std::get<Granted>(one->has_value() ? **one : **two).nonce;
    (void)this->settle(winner, nonce, { .outcome = base::Outcome::Done, .answer = "once" });
    this->scheduler.runFor(1s);
    EXPECT_EQ(one->has_value() ? **two : **one, done("once"));
}

// Guards against a committed claim that, after a lost acknowledgement, is treated as failed or as another entry's.
TEST_F(ClaimManagerTest, LostAcknowledgementIsResolvedByNonce)
{
    this->faultyTables.faults().lostAcknowledgement = 1;
    const auto result = this->start(this->first, this->key);
    this->scheduler.runFor(500ms);
    EXPECT_FALSE(result->has_value());
    this->faultyTables.faults().lostAcknowledgement = 0;
    this->scheduler.runFor(3s);
    ASSERT_TRUE(result->has_value());
    EXPECT_TRUE(std::holds_alternative<Granted>(**result));
}

// Guards against losing a settlement in a store outage, and against unbounded memory use during the outage.
TEST_F(ClaimManagerTest, SettlementOutlastsOutageWithinMemoryBound)
{
    const auto nonce = this->granted(this->first);
    this->faultyTables.faults().down = true;
    const auto durable
        = this->settle(this->first, nonce, { .outcome = base::Outcome::Done, .answer = std::string(1'000, 'x') });
    this->scheduler.runFor(30min);
    EXPECT_FALSE(*durable);
    EXPECT_EQ(this->first.unsettledBytes(), 1'000U);
    EXPECT_EQ(this->claim(this->first), done(std::string(1'000, 'x')));
    this->faultyTables.faults().down = false;
    EXPECT_EQ(**this->start(this->first, { .team = "wax", .key = "order-2" }), ClaimResult { Unavailable {} });
    this->scheduler.runFor(6s);
    EXPECT_TRUE(*durable);
    EXPECT_EQ(this->first.unsettledBytes(), 0U);
    EXPECT_EQ(this->claim(this->second), done(std::string(1'000, 'x')));
}

// Guards against returning an empty answer to repeats when the answer exceeded the memory bound.
TEST_F(ClaimManagerTest, AnswerOverMemoryBoundIsMarkedAsNotRetained)
{
    const auto nonce = this->granted(this->first);
    this->faultyTables.faults().minDelay = this->faultyTables.faults().maxDelay = 50ms;
    (void)this->settle(this->first, nonce, { .outcome = base::Outcome::Done, .answer = std::string(1'001, 'x') });
    this->scheduler.runFor(1s);
    EXPECT_EQ(this->first.counters().droppedAnswers, 1U);
    const auto repeat = this->start(this->second, this->key);
    this->scheduler.runFor(1s);
    EXPECT_EQ(**repeat, done(std::nullopt));
}

// Guards against returning a damaged or lost object as the answer.
TEST_F(ClaimManagerTest, DamagedStoredAnswerIsNotReturned)
{
    const auto nonce = this->granted(this->first);
    (void)this->settle(this->first, nonce, { .outcome = base::Outcome::Done, .answer = std::string(100, 'x') });
    ASSERT_EQ(this->objects.all().size(), 1U);
    EXPECT_EQ(this->claim(this->second), done(std::string(100, 'x')));
    const auto name = this->objects.all().begin()->first;
    this->objects.overwrite(name, std::string(100, 'y'));
    EXPECT_EQ(this->claim(this->second), done(std::nullopt));
    this->objects.remove(name);
    EXPECT_EQ(this->claim(this->second), done(std::nullopt));
}

// Guards against a key that stays unusable although its first request did not run.
TEST_F(ClaimManagerTest, KeyIsClaimedAgainAfterNotRun)
{
    const auto nonce = this->granted(this->first);
    EXPECT_TRUE(*this->settle(this->first, nonce, { .outcome = base::Outcome::NotRun, .answer = {} }));
    EXPECT_NE(this->granted(this->second), 0U);
    EXPECT_FALSE(*this->settle(this->first, nonce, { .outcome = base::Outcome::Done, .answer = "stale" }));
}

// Guards against one transaction per claim, and against a conflicting key that blocks the others in its batch.
TEST_F(ClaimManagerTest, ClaimsOfOneIntervalShareATransaction)
{
    (void)this->granted(this->second);
    std::vector<std::shared_ptr<std::optional<ClaimResult>>> results;
    for (int i = 2; i <= 50; ++i)
        results.push_back(this->start(this->first, { .team = "wax", .key = "order-" + std::to_string(i) }));
    this->scheduler.runFor(100ms);
    EXPECT_EQ(this->first.commitCounters().transactions, 1U);
    results.push_back(this->start(this->first, { .team = "wax", .key = "order-51" }));
    (void)this->start(this->first, this->key);
    this->scheduler.runFor(100ms);
    EXPECT_EQ(this->first.commitCounters().transactions, 3U);
    for (const auto& result : results)
        EXPECT_TRUE(result->has_value() && std::holds_alternative<Granted>(**result));
}

// Guards against more transactions than the configured rate, and against claims that wait without a chance to be sent.
TEST_F(ClaimManagerTest, TransactionsStayWithinTheirRate)
{
    constexpr std::size_t seconds = 20;
    constexpr std::size_t claimsPerSecond = 2'000;
    const CommitOptions limits;
    std::vector<std::optional<ClaimResult>> results(seconds * claimsPerSecond);
    for (std::size_t i = 0; i < results.size(); ++i) {
        const ClaimKey one { .team = "wax", .key = std::to_string(i) };
        this->first.claim({ .key = one, .bodyHash = "body", .deadline = this->clock.now() + 10s },
            [this, one, &result = results[i]](const ClaimResult& answer) {
                result = answer;
                if (const auto* granted = std::get_if<Granted>(&answer))
                    this->first.settle(one, granted->nonce, { .outcome = base::Outcome::Unknown }, [](bool) {});
            });
        this->scheduler.runFor(std::chrono::nanoseconds { 1s } / claimsPerSecond);
    }
    EXPECT_LE(static_cast<double>(this->first.commitCounters().transactions),
        limits.transactionBurst + seconds * limits.transactionsPerSecond);
    // Each claim takes two row writes: the claim and its settlement.
    const auto capacity = seconds * limits.transactionsPerSecond * static_cast<double>(limits.maxBatch) / 2;
    EXPECT_GE(static_cast<double>(this->first.counters().granted), capacity * 0.95);
    EXPECT_EQ(results.back(), ClaimResult { Unavailable {} });
    this->scheduler.runFor(11s);
    for (const auto& result : results)
        ASSERT_TRUE(result.has_value());
}

// Guards against refusing a repeat because the first request reached its deadline while its claim was queued.
TEST_F(ClaimManagerTest, RepeatClaimsAfterTheFirstRequestGaveUpInTheQueue)
{
    auto slow = this->options;
    slow.commit.interval = 500ms;
    ClaimManager manager { this->clock, this->scheduler, this->random, this->faultyTables, this->faultyObjects, slow };
    std::vector<ClaimResult> results;
    for (const auto timeout : { 100ms, 5'000ms })
        manager.claim({ .key = this->key, .bodyHash = "body", .deadline = this->clock.now() + timeout },
            [&results](const ClaimResult& answer) { results.push_back(answer); });
    this->scheduler.runFor(2s);
    ASSERT_EQ(results.size(), 2U);
    EXPECT_EQ(results[0], ClaimResult { Unavailable {} });
    EXPECT_TRUE(std::holds_alternative<Granted>(results[1]));
}

// Guards against callbacks that use a destroyed object.
TEST_F(ClaimManagerTest, MayBeDestroyedWithPendingOperations)
{
    auto manager = std::make_unique<ClaimManager>(
        this->clock, this->scheduler, this->random, this->faultyTables, this->faultyObjects, this->options);
    this->faultyTables.faults().maxDelay = 100ms;
    const auto result = this->start(*manager, this->key);
    this->scheduler.runFor(25ms);
    manager.reset();
    this->scheduler.runFor(1min);
    EXPECT_FALSE(result->has_value());
}

// Guards against results that differ from a plain map. The requests run one after the other, without faults.
RC_GTEST_PROP(ClaimDifferentialTest, AgreesWithNaiveMapWithoutFaults, (const std::vector<std::uint8_t>& commands))
{
    struct ReferenceEntry {
        std::string body;
        ClaimResult repeat;
    };
    base::ManualClock clock;
    support::FakeScheduler scheduler { clock };
    base::SeededRandom random { 1 };
    store::MemoryTableService tables;
    store::MemoryObjectStore objects;
    ClaimManager managers[] { { clock, scheduler, random, tables, objects },
        { clock, scheduler, random, tables, objects } };
    std::map<ClaimKey, ReferenceEntry> reference;
    for (const auto command : commands) {
        auto& manager = managers[command % 2];
        const ClaimKey key { .team = "t", .key = std::to_string(command / 2 % 3) };
        const std::string body = command / 6 % 4 == 0 ? "a" : "b";
        const auto outcome = static_cast<base::Outcome>(command / 24 % 3);
        std::optional<ClaimResult> result;
        manager.claim({ .key = key, .bodyHash = body, .deadline = clock.now() + 1s },
            [&](const ClaimResult& answer) { result = answer; });
        scheduler.runFor(2s);
        RC_ASSERT(result.has_value());
        const auto known = reference.find(key);
        if (known != reference.end() && known->second.body != body) {
            RC_ASSERT(*result == ClaimResult { Conflict {} });
            continue;
        }
        if (known != reference.end() && !std::holds_alternative<Granted>(known->second.repeat)) {
            RC_ASSERT(*result == known->second.repeat);
            continue;
        }
        RC_ASSERT(std::holds_alternative<Granted>(*result));
        manager.settle(
            key, std::get<Granted>(*result).nonce, { .outcome = outcome, .answer = body + "!" }, [](bool) {});
        scheduler.runFor(1s);
        ReferenceEntry entry { .body = body, .repeat = Granted {} };
        if (outcome == base::Outcome::Done)
            entry.repeat = Repeat { .outcome = outcome, .answer = body + "!" };
        else if (outcome == base::Outcome::Unknown)
            entry.repeat = Repeat { .outcome = outcome, .answer = std::nullopt };
        reference.insert_or_assign(key, entry);
    }
}

// Guards against rows that change when they are encoded and decoded, and against a crash on damaged rows.
RC_GTEST_PROP(
    ClaimRowTest, RoundTripsAndRejectsDamage, (std::uint64_t nonce, const std::string& body, const std::string& answer))
{
    const ClaimRow row { .nonce = nonce,
        .bodyHash = body,
        .state = ClaimState::Done,
        .entry = answer,
        .at = base::WallTime { 1'000'000s },
        .answer = { .bytes = answer, .object = body } };
    auto value = encode(row);
    RC_ASSERT(decode(value) == row);
    value.resize(*rc::gen::inRange<std::size_t>(0, value.size()));
    RC_ASSERT(decode(value) == std::nullopt);
    RC_ASSERT(decode(answer) == std::nullopt);
}

// Guards against two keys that share a row.
TEST(ClaimRowTest, RowKeySeparatesTeamAndKey)
{
    EXPECT_NE(rowKey({ .team = "a:b", .key = "c" }), rowKey({ .team = "a", .key = "b:c" }));
}

} // namespace chivewinch::claim
