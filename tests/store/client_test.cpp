#include "store/client.hpp"
#include "store/memory_store.hpp"
#include "support/fake_scheduler.hpp"
#include "support/faulty_store.hpp"
#include "support/schedules.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <iostream>
#include <set>

namespace chivewinch::store {

using namespace std::chrono_literals;

namespace {

const RowKey rowKey { .table = "t", .key = "k" };

/** A client that uses in-memory services with injected faults. */
struct TestEnvironment {
    explicit TestEnvironment(std::uint64_t seed, ClientOptions options = {})
        : random { seed }
        , client { this->tables, this->objects, this->scheduler, this->clock, this->random, options }
    {
    }

    base::ManualClock clock;
    support::FakeScheduler scheduler { this->clock };
    base::SeededRandom random;
    MemoryTableService tableMemory;
    MemoryObjectStore objectMemory;
    support::FaultyTableService tables { this->tableMemory, this->scheduler, this->random };
    support::FaultyObjectStore objects { this->objectMemory, this->scheduler, this->random };
    Client client;
    std::optional<TransactResult> result;
    Error error;

    void write(const std::string& value, std::uint64_t version = absentVersion)
    {
        this->client.tables().transact({ .conditions = { { .key = rowKey, .version = version } },
                                           .writes = { { .key = rowKey, .value = value } } },
            [this](const auto& answer, const Error& reason) {
                this->result = answer;
                this->error = reason;
            });
    }
};

} // namespace

// Guards against a write that took effect but is reported as failed, either directly or because its retry conflicts
// with the effect of the first attempt.
TEST(ClientTest, LostAcknowledgementIsResolvedByReRead)
{
    TestEnvironment environment { 1 };
    environment.tables.faults().lostAcknowledgement = 0.5;
    std::uint64_t version = absentVersion;
    for (int i = 0; i < 20; ++i) {
        environment.write("nonce-" + std::to_string(i), version);
        environment.scheduler.runFor(60s);
        ASSERT_TRUE(environment.result && environment.result->committed) << i << " " << environment.error.detail;
        version = environment.result->rows.front().version;
        EXPECT_EQ(version, environment.tableMemory.row(rowKey).version);
    }
    EXPECT_GT(environment.client.stats().resolvedCommitted, 0U);
}

// Shows that the re-read is needed: without it, a lost acknowledgement leaves the outcome unknown.
TEST(ClientTest, WithoutReReadOutcomeStaysUnknown)
{
    TestEnvironment environment { 1, { .resolveAmbiguous = false } };
    environment.tables.faults().lostAcknowledgement = 1;
    environment.write("nonce");
    environment.scheduler.runFor(60s);
    EXPECT_EQ(environment.error.code, ErrorCode::Ambiguous);
}

TEST(ClientTest, LostRequestIsSentAgain)
{
    TestEnvironment environment { 2 };
    environment.tables.faults().lostRequest = 0.5;
    environment.write("nonce");
    environment.scheduler.runFor(60s);
    EXPECT_TRUE(environment.result && environment.result->committed) << environment.error.detail;
}

// Guards against unbounded requests and retries during a store outage of an hour, and against a client that does not
// recover afterwards.
TEST(ClientTest, StoreDownForAnHourCostsBoundedRequestsAndRecovers)
{
    TestEnvironment environment { 3 };
    environment.tables.faults().down = true;
    int failures = 0;
    for (int second = 0; second < 3600; ++second) {
        environment.client.tables().get({ rowKey }, [&](const auto& rows, const Error&) { failures += rows ? 0 : 1; });
        environment.scheduler.runFor(1s);
    }
    environment.scheduler.runFor(20s);
    EXPECT_EQ(failures, 3600);
    const ClientOptions options;
    EXPECT_LE(static_cast<double>(environment.client.stats().reads),
        options.operationBurst + 3620 * options.operationsPerSecond);
    environment.tables.faults().down = false;
    environment.scheduler.runFor(20s);
    environment.write("nonce");
    environment.scheduler.runFor(20s);
    EXPECT_TRUE(environment.result && environment.result->committed);
}

// Guards against callers that wait for a slow store without limit. Every operation must end by its deadline.
TEST(ClientTest, FiveSecondLatencyEndsAtTheDeadline)
{
    TestEnvironment environment { 4 };
    environment.tables.faults().minDelay = 5s;
    environment.tables.faults().maxDelay = 5s;
    environment.write("nonce");
    bool readEnded = false;
    environment.client.tables().get({ rowKey }, [&](const auto&, const Error& error) {
        readEnded = true;
        EXPECT_EQ(error.code, ErrorCode::TimedOut);
    });
    environment.scheduler.runFor(12s);
    EXPECT_TRUE(readEnded);
    EXPECT_EQ(environment.error.code, ErrorCode::Ambiguous);
    EXPECT_GT(environment.client.stats().timeouts, 0U);
}

TEST(ClientTest, IdenticalReadsShareOneRequest)
{
    TestEnvironment environment { 5 };
    environment.tables.faults().minDelay = 10ms;
    environment.tables.faults().maxDelay = 10ms;
    int answers = 0;
    for (int i = 0; i < 10; ++i)
        environment.client.tables().get({ rowKey }, [&](const auto& rows, const Error&) { answers += rows ? 1 : 0; });
    environment.scheduler.runFor(1s);
    EXPECT_EQ(answers, 10);
    EXPECT_EQ(environment.client.stats().reads, 1U);
    EXPECT_EQ(environment.client.stats().coalesced, 9U);
}

// Guards against a read that shares an older request and therefore misses an earlier write of its own process.
TEST(ClientTest, ReadAfterWriteDoesNotJoinEarlierRead)
{
    TestEnvironment environment { 6 };
    environment.tables.faults().minDelay = 10ms;
    environment.tables.faults().maxDelay = 10ms;
    environment.client.tables().get({ rowKey }, [](const auto&, const Error&) {});
    std::string seen;
    environment.client.tables().transact(
        { .conditions = {}, .writes = { { .key = rowKey, .value = "nonce" } } }, [&](const auto&, const Error&) {
            environment.client.tables().get(
                { rowKey }, [&](const auto& rows, const Error&) { seen = rows->front().value; });
        });
    environment.scheduler.runFor(1s);
    EXPECT_EQ(seen, "nonce");
}

TEST(ClientTest, BudgetRefusesAtOnceAndRefills)
{
    TestEnvironment environment { 7, { .operationsPerSecond = 1, .operationBurst = 2, .coalesceReads = false } };
    int refused = 0;
    const auto count = [&](const auto&, const Error& error) { refused += error.code == ErrorCode::BudgetExhausted; };
    for (int i = 0; i < 5; ++i)
        environment.client.tables().get({ rowKey }, count);
    EXPECT_EQ(refused, 3);
    environment.scheduler.runFor(3s);
    environment.client.tables().get({ rowKey }, count);
    environment.scheduler.runFor(1s);
    EXPECT_EQ(refused, 3);
}

// Guards against two writers of the same object name that both get Created.
TEST(ClientTest, AmbiguousPutIsComparedByBytes)
{
    TestEnvironment environment { 8 };
    environment.objects.faults().lostAcknowledgement = 0.7;
    std::optional<PutResult> first;
    std::optional<PutResult> second;
    environment.client.objects().putIfAbsent("name", "mine", [&](auto result, const Error&) { first = result; });
    environment.scheduler.runFor(60s);
    environment.client.objects().putIfAbsent("name", "other", [&](auto result, const Error&) { second = result; });
    environment.scheduler.runFor(60s);
    EXPECT_EQ(first, PutResult::Created);
    EXPECT_EQ(second, PutResult::Exists);
}

// Guards against a callback after the client was destroyed, when its caller may be destroyed too.
TEST(ClientTest, NoCallbackAfterDestruction)
{
    TestEnvironment environment { 9 };
    environment.tables.faults().minDelay = 100ms;
    environment.tables.faults().maxDelay = 100ms;
    bool called = false;
    {
        Client client { environment.tables, environment.objects, environment.scheduler, environment.clock,
            environment.random };
        client.tables().get({ rowKey }, [&](const auto&, const Error&) { called = true; });
    }
    environment.scheduler.runFor(20s);
    EXPECT_FALSE(called);
}

TEST(ClientTest, BackoffStaysBelowItsBoundAndLimit)
{
    base::SeededRandom random { 10 };
    const ClientOptions options;
    for (std::uint32_t failures = 1; failures < 100; ++failures) {
        const auto bound = failures < 8 ? options.backoffBase * (1 << (failures - 1)) : options.backoffLimit;
        for (int i = 0; i < 100; ++i)
            ASSERT_LE(backoffDelay(options, failures, random), std::min<std::chrono::nanoseconds>(bound, 5s));
    }
}

/** A process that appends its nonces to a shared row by compare-and-set. */
struct Appender {
    Appender(TestEnvironment& environment, int id)
        : environment { environment }
        , id { id }
        , client { environment.tables, environment.objects, environment.scheduler, environment.clock,
            environment.random, { .limitOperations = false } }
    {
    }

    TestEnvironment& environment;
    int id;
    Client client;
    int rounds = 0;
    std::set<std::string> committed;
    std::set<std::string> refused;

    void round()
    {
        if (++this->rounds > 4)
            return;
        this->client.tables().get({ rowKey }, [this](const auto& rows, const Error&) {
            if (rows)
                this->append(rows->front());
            else
                this->scheduleNextRound();
        });
    }

    void append(const Row& row)
    {
        const auto nonce = std::to_string(this->id) + "." + std::to_string(this->rounds) + ";";
        this->client.tables().transact({ .conditions = { { .key = rowKey, .version = row.version } },
                                           .writes = { { .key = rowKey, .value = row.value + nonce } } },
            [this, nonce](const auto& result, const Error&) {
                if (result)
                    (result->committed ? this->committed : this->refused).insert(nonce);
                this->scheduleNextRound();
            });
    }

    void scheduleNextRound()
    {
        this->environment.scheduler.after(
            std::chrono::milliseconds { this->environment.random.below(500) }, [this] { this->round(); });
    }
};

std::size_t countOccurrences(const std::string& text, const std::string& part)
{
    std::size_t count = 0;
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + part.size()))
        ++count;
    return count;
}

// Guards against writes that are reported incorrectly or take effect twice, under random loss, delays and outages.
TEST(ClientPropertyTest, ReportedOutcomesMatchTheStore)
{
    constexpr std::uint64_t firstSeed = 1000;
    constexpr std::uint64_t schedules = support::schedulesToRun(12'000);
    std::cout << "seeds " << firstSeed << " to " << firstSeed + schedules - 1 << std::endl;
    for (auto seed = firstSeed; seed < firstSeed + schedules; ++seed) {
        TestEnvironment environment { seed };
        auto& faults = environment.tables.faults();
        faults.lostRequest = environment.random.unit() * 0.4;
        faults.lostAcknowledgement = environment.random.unit() * 0.5;
        faults.maxDelay = std::chrono::milliseconds { 1 + environment.random.below(3000) };
        Appender first { environment, 1 };
        Appender second { environment, 2 };
        first.round();
        second.round();
        for (int i = 0; i < 20; ++i) {
            faults.down = environment.random.below(5) == 0;
            environment.scheduler.runFor(3s);
        }
        faults = {};
        environment.scheduler.runFor(120s);
        const auto history = environment.tableMemory.row(rowKey).value;
        for (const auto* process : { &first, &second }) {
            for (const auto& nonce : process->committed)
                ASSERT_EQ(countOccurrences(history, nonce), 1U) << "seed " << seed << " " << nonce << " in " << history;
            for (const auto& nonce : process->refused)
                ASSERT_EQ(countOccurrences(history, nonce), 0U) << "seed " << seed << " " << nonce << " in " << history;
        }
    }
}

} // namespace chivewinch::store
