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
struct World {
    explicit World(std::uint64_t seed, ClientOptions options = {})
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
    World world { 1 };
    world.tables.faults().lostAcknowledgement = 0.5;
    std::uint64_t version = absentVersion;
    for (int i = 0; i < 20; ++i) {
        world.write("nonce-" + std::to_string(i), version);
        world.scheduler.runFor(60s);
        ASSERT_TRUE(world.result && world.result->committed) << i << " " << world.error.detail;
        version = world.result->rows.front().version;
        EXPECT_EQ(version, world.tableMemory.row(rowKey).version);
    }
    EXPECT_GT(world.client.stats().resolvedCommitted, 0U);
}

// Shows that the re-read is needed: without it, a lost acknowledgement leaves the outcome unknown.
TEST(ClientTest, WithoutReReadOutcomeStaysUnknown)
{
    World world { 1, { .resolveAmbiguous = false } };
    world.tables.faults().lostAcknowledgement = 1;
    world.write("nonce");
    world.scheduler.runFor(60s);
    EXPECT_EQ(world.error.code, ErrorCode::Ambiguous);
}

TEST(ClientTest, LostRequestIsSentAgain)
{
    World world { 2 };
    world.tables.faults().lostRequest = 0.5;
    world.write("nonce");
    world.scheduler.runFor(60s);
    EXPECT_TRUE(world.result && world.result->committed) << world.error.detail;
}

// Guards against unbounded requests and retries during a store outage of an hour, and against a client that does not
// recover afterwards.
TEST(ClientTest, StoreDownForAnHourCostsBoundedRequestsAndRecovers)
{
    World world { 3 };
    world.tables.faults().down = true;
    int failures = 0;
    for (int second = 0; second < 3600; ++second) {
        world.client.tables().get({ rowKey }, [&](const auto& rows, const Error&) { failures += rows ? 0 : 1; });
        world.scheduler.runFor(1s);
    }
    world.scheduler.runFor(20s);
    EXPECT_EQ(failures, 3600);
    const ClientOptions options;
    EXPECT_LE(
        static_cast<double>(world.client.stats().reads), options.operationBurst + 3620 * options.operationsPerSecond);
    world.tables.faults().down = false;
    world.scheduler.runFor(20s);
    world.write("nonce");
    world.scheduler.runFor(20s);
    EXPECT_TRUE(world.result && world.result->committed);
}

// Guards against callers that wait for a slow store without limit. Every operation must end by its deadline.
TEST(ClientTest, FiveSecondLatencyEndsAtTheDeadline)
{
    World world { 4 };
    world.tables.faults().minDelay = 5s;
    world.tables.faults().maxDelay = 5s;
    world.write("nonce");
    bool readEnded = false;
    world.client.tables().get({ rowKey }, [&](const auto&, const Error& error) {
        readEnded = true;
        EXPECT_EQ(error.code, ErrorCode::TimedOut);
    });
    world.scheduler.runFor(12s);
    EXPECT_TRUE(readEnded);
    EXPECT_EQ(world.error.code, ErrorCode::Ambiguous);
    EXPECT_GT(world.client.stats().deadlines, 0U);
}

TEST(ClientTest, IdenticalReadsShareOneRequest)
{
    World world { 5 };
    world.tables.faults().minDelay = 10ms;
    world.tables.faults().maxDelay = 10ms;
    int answers = 0;
    for (int i = 0; i < 10; ++i)
        world.client.tables().get({ rowKey }, [&](const auto& rows, const Error&) { answers += rows ? 1 : 0; });
    world.scheduler.runFor(1s);
    EXPECT_EQ(answers, 10);
    EXPECT_EQ(world.client.stats().reads, 1U);
    EXPECT_EQ(world.client.stats().coalesced, 9U);
}

// Guards against a read that shares an older request and therefore misses an earlier write of its own process.
TEST(ClientTest, ReadAfterWriteDoesNotJoinEarlierRead)
{
    World world { 6 };
    world.tables.faults().minDelay = 10ms;
    world.tables.faults().maxDelay = 10ms;
    world.client.tables().get({ rowKey }, [](const auto&, const Error&) {});
    std::string seen;
    world.client.tables().transact(
        { .conditions = {}, .writes = { { .key = rowKey, .value = "nonce" } } }, [&](const auto&, const Error&) {
            world.client.tables().get({ rowKey }, [&](const auto& rows, const Error&) { seen = rows->front().value; });
        });
    world.scheduler.runFor(1s);
    EXPECT_EQ(seen, "nonce");
}

TEST(ClientTest, BudgetRefusesAtOnceAndRefills)
{
    World world { 7, { .operationsPerSecond = 1, .operationBurst = 2, .coalesceReads = false } };
    int refused = 0;
    const auto count = [&](const auto&, const Error& error) { refused += error.code == ErrorCode::BudgetExhausted; };
    for (int i = 0; i < 5; ++i)
        world.client.tables().get({ rowKey }, count);
    EXPECT_EQ(refused, 3);
    world.scheduler.runFor(3s);
    world.client.tables().get({ rowKey }, count);
    world.scheduler.runFor(1s);
    EXPECT_EQ(refused, 3);
}

// Guards against two writers of the same object name that both get Created.
TEST(ClientTest, AmbiguousPutIsComparedByBytes)
{
    World world { 8 };
    world.objects.faults().lostAcknowledgement = 0.7;
    std::optional<PutResult> first;
    std::optional<PutResult> second;
    world.client.objects().putIfAbsent("name", "mine", [&](auto result, const Error&) { first = result; });
    world.scheduler.runFor(60s);
    world.client.objects().putIfAbsent("name", "other", [&](auto result, const Error&) { second = result; });
    world.scheduler.runFor(60s);
    EXPECT_EQ(first, PutResult::Created);
    EXPECT_EQ(second, PutResult::Exists);
}

// Guards against a callback after the client was destroyed, when its caller may be destroyed too.
TEST(ClientTest, NoCallbackAfterDestruction)
{
    World world { 9 };
    world.tables.faults().minDelay = 100ms;
    world.tables.faults().maxDelay = 100ms;
    bool called = false;
    {
        Client client { world.tables, world.objects, world.scheduler, world.clock, world.random };
        client.tables().get({ rowKey }, [&](const auto&, const Error&) { called = true; });
    }
    world.scheduler.runFor(20s);
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
    Appender(World& world, int id)
        : world { world }
        , id { id }
        , client { world.tables, world.objects, world.scheduler, world.clock, world.random,
            { .limitOperations = false } }
    {
    }

    World& world;
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
                this->later();
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
                this->later();
            });
    }

    void later()
    {
        this->world.scheduler.after(
            std::chrono::milliseconds { this->world.random.below(500) }, [this] { this->round(); });
    }
};

std::size_t countOf(const std::string& text, const std::string& part)
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
        World world { seed };
        auto& faults = world.tables.faults();
        faults.lostRequest = world.random.unit() * 0.4;
        faults.lostAcknowledgement = world.random.unit() * 0.5;
        faults.maxDelay = std::chrono::milliseconds { 1 + world.random.below(3000) };
        Appender first { world, 1 };
        Appender second { world, 2 };
        first.round();
        second.round();
        for (int i = 0; i < 20; ++i) {
            faults.down = world.random.below(5) == 0;
            world.scheduler.runFor(3s);
        }
        faults = {};
        world.scheduler.runFor(120s);
        const auto history = world.tableMemory.row(rowKey).value;
        for (const auto* process : { &first, &second }) {
            for (const auto& nonce : process->committed)
                ASSERT_EQ(countOf(history, nonce), 1U) << "seed " << seed << " " << nonce << " in " << history;
            for (const auto& nonce : process->refused)
                ASSERT_EQ(countOf(history, nonce), 0U) << "seed " << seed << " " << nonce << " in " << history;
        }
    }
}

} // namespace chivewinch::store
