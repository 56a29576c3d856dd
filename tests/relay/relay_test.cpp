#include "base/random.hpp"
#include "relay/relay.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>
#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <future>
#include <map>
#include <memory>

namespace chivewinch::relay {
namespace {

namespace asio = boost::asio;
using namespace std::chrono_literals;

/** In-memory store. Each process accesses it through its own feeds, which count the calls. */
struct FakeStore {
    std::map<std::string, std::map<std::string, std::pair<std::optional<std::string>, std::uint64_t>>> tables;
    std::uint64_t version = 1;
    bool isUnavailable = false;

    void put(const std::string& table, const std::string& key, std::optional<std::string> value)
    {
        this->tables[table][key] = { std::move(value), ++this->version };
    }
};

class FakeFeed final : public watch::RowFeed, public watch::RowSink {
public:
    FakeFeed(asio::io_context& context, FakeStore& store, std::string table, const bool& isDisconnected)
        : context { context }
        , store { store }
        , table { std::move(table) }
        , isDisconnected { isDisconnected }
    {
    }

    int calls = 0;
    bool isSilent = false; ///< Calls get no answer.

    [[nodiscard]] RowFeed::Task<std::optional<watch::Page>> readAll(watch::FeedError& reason) override
    {
        co_return co_await this->read(0, reason);
    }

    [[nodiscard]] RowFeed::Task<std::optional<watch::Page>> changes(
        std::uint64_t since, std::chrono::milliseconds /*wait*/, watch::FeedError& reason) override
    {
        co_return co_await this->read(since, reason);
    }

    [[nodiscard]] RowSink::Task<watch::PutResult> put(std::string key, std::string value) override
    {
        if (this->isDisconnected || this->store.isUnavailable)
            co_return watch::PutResult::Failed;
        const auto row = this->store.tables[this->table].find(key);
        if (row != this->store.tables[this->table].end() && row->second.first == value)
            co_return watch::PutResult::Unchanged;
        this->store.put(this->table, key, std::move(value));
        co_return watch::PutResult::Written;
    }

    [[nodiscard]] RowSink::Task<watch::PutResult> remove(std::string /*key*/) override
    {
        co_return watch::PutResult::Failed;
    }

private:
    asio::io_context& context;
    FakeStore& store;
    std::string table;
    const bool& isDisconnected;

    RowFeed::Task<std::optional<watch::Page>> read(std::uint64_t since, watch::FeedError& reason)
    {
        ++this->calls;
        asio::steady_timer timer { this->context, 2ms };
        co_await timer.async_wait(asio::use_awaitable);
        while (this->isSilent) {
            timer.expires_after(5ms);
            co_await timer.async_wait(asio::use_awaitable);
        }
        if (this->isDisconnected || this->store.isUnavailable) {
            reason.code = watch::FeedErrorCode::Unavailable;
            co_return std::nullopt;
        }
        watch::Page page { .version = this->store.version };
        for (const auto& [key, row] : this->store.tables[this->table]) {
            if (row.second > since && (since > 0 || row.first))
                page.rows.push_back({ .key = key, .value = row.first });
        }
        co_return page;
    }
};

/** Processes of one zone on loopback addresses that read two tables. */
class RelayTest : public testing::Test {
protected:
    struct Process {
        bool isDisconnected = false; ///< No access to the store.
        std::unique_ptr<FakeFeed> feed;
        std::unique_ptr<FakeFeed> secondFeed;
        std::unique_ptr<FakeFeed> peers;
        std::map<std::string, std::string> rows;
        std::map<std::string, std::string> secondRows;
        std::unique_ptr<watch::RowWatcher> watcher;
        std::unique_ptr<watch::RowWatcher> secondWatcher;
        std::unique_ptr<Relay> relay;
    };

    ~RelayTest() override
    {
        for (auto& process : this->processes)
            this->stop(*process);
        this->context.run_for(50ms);
    }

    static constexpr std::chrono::milliseconds maxRowAge { 120 };

    static RelayOptions options(std::size_t index, std::uint16_t port)
    {
        return { .instance = "e" + std::to_string(index),
            .zone = "z",
            .listen = { .address = "127.0.88." + std::to_string(index + 1), .port = port },
            .wait = 60ms,
            .slack = 60ms,
            .maxAge = 120ms,
            .backoff = { .afterRefusal = 50ms, .afterTimeout = 100ms, .maxAfterTimeout = 200ms },
            .settleTime = 20ms,
            .retryTime = 10ms,
            .peersWatch = { .table = "peers", .wait = 0ms, .pause = 50ms } };
    }

    /** Watcher that keeps the rows of a process up to date and passes them on to its relay. */
    std::unique_ptr<watch::RowWatcher> makeWatcher(
        Process& own, FakeFeed& feed, const std::string& table, std::map<std::string, std::string>& kept)
    {
        const auto relayRows = [&own, &kept, table](const auto& rows, bool isSnapshot) {
            if (isSnapshot)
                kept.clear();
            for (const auto& row : rows) {
                if (row.value)
                    kept[row.key] = *row.value;
                else
                    kept.erase(row.key);
            }
            own.relay->relayRows(table, rows, isSnapshot);
        };
        return std::make_unique<watch::RowWatcher>(this->context.get_executor(), feed,
            watch::WatchOptions { .table = table,
                .maxAge = this->processes.empty() ? this->sourceMaxAge : maxRowAge,
                .pause = 20ms,
                .maxRetry = 50ms },
            watch::WatchEvents { .onSnapshot = [relayRows](const auto& rows) { relayRows(rows, true); },
                .onChanges = [relayRows](const auto& rows) { relayRows(rows, false); },
                .onContact = [](bool) {} });
    }

    void start(std::size_t count)
    {
        asio::ip::tcp::acceptor free { this->context, { asio::ip::make_address("127.0.88.1"), 0 } };
        const auto port = free.local_endpoint().port();
        free.close();
        for (std::size_t index = 0; index < count; ++index) {
            auto process = std::make_unique<Process>();
            auto& own = *process;
            own.feed = std::make_unique<FakeFeed>(this->context, this->store, "t", own.isDisconnected);
            own.secondFeed = std::make_unique<FakeFeed>(this->context, this->store, "u", own.isDisconnected);
            own.peers = std::make_unique<FakeFeed>(this->context, this->store, "peers", own.isDisconnected);
            own.watcher = this->makeWatcher(own, *own.feed, "t", own.rows);
            own.secondWatcher = this->makeWatcher(own, *own.secondFeed, "u", own.secondRows);
            own.relay = std::make_unique<Relay>(
                this->context.get_executor(), options(index, port), this->clock, this->random, *own.peers, *own.peers);
            own.relay->add("t", *own.watcher);
            own.relay->add("u", *own.secondWatcher);
            ASSERT_TRUE(own.relay->start()) << own.relay->lastReason();
            asio::co_spawn(this->context, own.watcher->run(), asio::detached);
            asio::co_spawn(this->context, own.secondWatcher->run(), asio::detached);
            this->processes.push_back(std::move(process));
        }
        this->context.run_for(300ms);
    }

    void stop(Process& process)
    {
        process.relay->stop();
        process.watcher->stop();
        process.secondWatcher->stop();
    }

    /** Time until all processes, except the one left out, have the value. */
    std::chrono::milliseconds timeUntilSeen(const std::string& value, std::size_t leftOut = 1'000)
    {
        const auto begun = std::chrono::steady_clock::now();
        const auto isSeen = [&] {
            for (std::size_t index = 0; index < this->processes.size(); ++index) {
                if (index != leftOut && this->processes[index]->rows["k"] != value)
                    return false;
            }
            return true;
        };
        while (!isSeen() && std::chrono::steady_clock::now() - begun < 3s)
            this->context.run_for(5ms);
        return std::chrono::floor<std::chrono::milliseconds>(std::chrono::steady_clock::now() - begun);
    }

    /** Time until all processes from this one on have the value of the second table. */
    std::chrono::milliseconds timeUntilSecondSeen(const std::string& value, std::size_t first)
    {
        const auto begun = std::chrono::steady_clock::now();
        const auto isSeen = [&] {
            return std::all_of(this->processes.begin() + static_cast<std::ptrdiff_t>(first), this->processes.end(),
                [&value](const auto& process) { return process->secondRows["k"] == value; });
        };
        while (!isSeen() && std::chrono::steady_clock::now() - begun < 3s)
            this->context.run_for(5ms);
        return std::chrono::floor<std::chrono::milliseconds>(std::chrono::steady_clock::now() - begun);
    }

    /** The source is cut off while the readers take the first value, and they can learn of the second one only from it.
     */
    void changeWhileSourceIsCutOff(const std::optional<std::string>& first, const std::optional<std::string>& second)
    {
        this->processes[0]->isDisconnected = true;
        this->store.put("t", "k", first);
        EXPECT_LT(this->timeUntilSeen(first.value_or(""), 0), 600ms);
        for (auto& process : this->processes)
            process->isDisconnected = true;
        this->store.put("t", "k", second);
        this->processes[0]->isDisconnected = false;
        EXPECT_LT(this->timeUntilSeen(second.value_or("")), 600ms);
    }

    int callsOf(std::size_t index) const { return this->processes[index]->feed->calls; }

    asio::io_context context;
    std::optional<std::chrono::milliseconds> sourceMaxAge { maxRowAge }; ///< Of the first process.
    base::SystemClock clock;
    base::SeededRandom random { 20'261'207 };
    FakeStore store;
    std::vector<std::unique_ptr<Process>> processes;
};

// Guards against a number of store calls that grows with the number of processes.
TEST_F(RelayTest, OneProcessReadsForItsZone)
{
    this->start(6);
    EXPECT_TRUE(this->processes[0]->relay->canServe());
    std::vector<int> before;
    for (std::size_t index = 0; index < 6; ++index) {
        EXPECT_EQ(this->processes[index]->relay->isRelayed(), index > 0) << index;
        before.push_back(this->callsOf(index));
    }
    this->store.put("t", "k", "1");
    EXPECT_LT(this->timeUntilSeen("1"), 150ms);
    this->store.put("t", "k", std::nullopt);
    EXPECT_LT(this->timeUntilSeen(""), 150ms);
    EXPECT_GT(this->callsOf(0), before[0]);
    for (std::size_t index = 1; index < 6; ++index)
        EXPECT_EQ(this->callsOf(index), before[index]) << index;
}

// Guards against a zone that misses changes because the process that reads for it has lost access to the store.
TEST_F(RelayTest, ReadsTheStoreItselfWhenItsSourceIsCutOff)
{
    this->start(4);
    this->processes[0]->isDisconnected = true;
    this->store.put("t", "k", "1");
    // Bound: the maximum age of the source, one wait, and one read.
    EXPECT_LT(this->timeUntilSeen("1", 0), 400ms);
    this->processes[0]->isDisconnected = false;
    this->store.put("t", "k", "2");
    EXPECT_LT(this->timeUntilSeen("2"), 400ms);
}

// Guards against readers that miss changes of one table because calls for this table alone get no answer at their
// source, which has recent answers for the other table.
TEST_F(RelayTest, ReadsTheStoreItselfWhenItsSourceIsSilentForOneTable)
{
    this->start(4);
    this->processes[0]->secondFeed->isSilent = true;
    this->context.run_for(10ms);
    this->store.put("u", "k", "1");
    // Bound: the maximum age of the rows and one read.
    EXPECT_LT(this->timeUntilSecondSeen("1", 1), 400ms);
    this->processes[0]->secondFeed->isSilent = false;
    this->store.put("u", "k", "2");
    EXPECT_LT(this->timeUntilSecondSeen("2", 0), 400ms);
}

// Guards against a reader that takes each answer of its source for a confirmation by the store. This source serves rows
// of any age.
TEST_F(RelayTest, ReadsTheStoreItselfWhenTheRowsOfItsSourceAreOld)
{
    this->sourceMaxAge = std::nullopt;
    this->start(4);
    this->processes[0]->secondFeed->isSilent = true;
    this->context.run_for(10ms);
    this->store.put("u", "k", "1");
    EXPECT_LT(this->timeUntilSecondSeen("1", 1), 400ms);
    EXPECT_TRUE(this->processes[3]->relay->isRelayed());
}

// Guards against a chain of processes in which each takes the answer of the one before for a confirmation by the store.
TEST_F(RelayTest, LearnsOfChangesInTimeWhateverTheProcessesBeforeItSuffer)
{
    constexpr std::uint64_t seed = 20'261'208;
    constexpr std::size_t disturbed = 3;
    base::SeededRandom random { seed };
    this->start(6);
    for (int round = 1; round <= 120; ++round) {
        auto& process = *this->processes[random.below(disturbed)];
        switch (random.below(4)) {
        case 0:
            process.isDisconnected = !process.isDisconnected;
            break;
        case 1:
            process.feed->isSilent = !process.feed->isSilent;
            break;
        case 2:
            process.secondFeed->isSilent = !process.secondFeed->isSilent;
            break;
        default:
            process.relay->abandonSource();
            break;
        }
        this->context.run_for(std::chrono::milliseconds { random.below(100) });
        this->store.put("u", "k", std::to_string(round));
        ASSERT_LT(this->timeUntilSecondSeen(std::to_string(round), disturbed), 400ms)
            << "seed " << seed << ", round " << round;
    }
}

// Guards against a zone that misses changes because the process that reads for it has ended or does not answer.
TEST_F(RelayTest, ReadsTheStoreItselfWhenItsSourceIsGone)
{
    this->start(4);
    this->stop(*this->processes[0]);
    this->store.put("t", "k", "1");
    EXPECT_LT(this->timeUntilSeen("1", 0), 400ms);
    this->context.run_for(500ms);
    EXPECT_FALSE(this->processes[1]->relay->isRelayed());
    EXPECT_TRUE(this->processes[3]->relay->isRelayed());
}

// Guards against processes that keep reading from a process that is draining.
TEST_F(RelayTest, LeavesASourceThatDrains)
{
    this->start(3);
    this->processes[0]->relay->drain();
    this->store.put("t", "k", "1");
    EXPECT_LT(this->timeUntilSeen("1", 0), 400ms);
}

// Guards against a process that resumes after a suspension and acts on stale rows of a peer, which may have been
// suspended too.
TEST_F(RelayTest, ReadsTheStoreAfterAbandoningItsSource)
{
    this->start(2);
    const auto calls = this->callsOf(1);
    this->processes[1]->relay->abandonSource();
    EXPECT_FALSE(this->processes[1]->relay->isRelayed());
    this->context.run_for(50ms);
    EXPECT_GT(this->callsOf(1), calls);
}

// Guards against readers that keep a row for good because it was written and removed while their source was cut off.
TEST_F(RelayTest, PassesOnTheRemovalOfARowThatItNeverHad)
{
    this->start(4);
    this->changeWhileSourceIsCutOff("1", std::nullopt);
}

// Guards against readers that lose a row for good because it was removed and written again while their source was cut
// off.
TEST_F(RelayTest, PassesOnARowThatCameBackWithAnEqualValue)
{
    this->start(4);
    this->store.put("t", "k", "1");
    EXPECT_LT(this->timeUntilSeen("1"), 150ms);
    this->changeWhileSourceIsCutOff(std::nullopt, "1");
}

// Guards against readers that keep an old value for good because it changed twice while their source was cut off.
TEST_F(RelayTest, PassesOnAValueThatWasRestored)
{
    this->start(4);
    this->store.put("t", "k", "1");
    EXPECT_LT(this->timeUntilSeen("1"), 150ms);
    this->changeWhileSourceIsCutOff("2", "1");
}

// Guards against an own cut that is taken for an outage of the store although others were served, and against an outage
// of the store that is taken for an own cut.
TEST_F(RelayTest, OnlyProcessesWithoutInterruptionVouchForTheStore)
{
    this->start(4);
    const auto hadContact = [this](const std::string& zone, base::SteadyTime since) {
        auto result
            = asio::co_spawn(this->context, this->processes[3]->relay->hadContact(zone, since), asio::use_future);
        while (result.wait_for(0s) != std::future_status::ready)
            this->context.run_one();
        return result.get();
    };
    const auto cutAt = this->clock.now();
    this->processes[3]->isDisconnected = true;
    this->context.run_for(200ms);
    // The answer is no while the last answer of the store is too old, as on a busy machine.
    bool isVouchedFor = false;
    for (int attempt = 0; attempt < 50 && !isVouchedFor; ++attempt)
        isVouchedFor = hadContact("z", cutAt);
    EXPECT_TRUE(isVouchedFor);
    EXPECT_FALSE(hadContact("another", cutAt));
    const auto outageAt = this->clock.now();
    this->store.isUnavailable = true;
    this->context.run_for(300ms);
    EXPECT_FALSE(hadContact("z", outageAt));
    this->store.isUnavailable = false;
    this->processes[3]->isDisconnected = false;
    this->context.run_for(60ms);
    EXPECT_FALSE(hadContact("z", outageAt));
    for (std::size_t index = 0; index < 3; ++index)
        this->stop(*this->processes[index]);
    EXPECT_FALSE(hadContact("z", this->clock.now()));
}

// Guards against stale rows when processes lose access to the store, the store is unavailable, or processes abandon
// their source. A value that a process has seen must never be replaced by an older one, and every change must arrive in
// bounded time.
TEST_F(RelayTest, NeverRevertsToOlderRowsAndConverges)
{
    constexpr std::uint64_t seed = 20'261'207;
    base::SeededRandom random { seed };
    this->start(4);
    std::vector<int> newest(4, 0);
    int written = 0;
    for (int round = 0; round < 120; ++round) {
        auto& process = *this->processes[random.below(4)];
        if (random.below(3) == 0)
            process.isDisconnected = !process.isDisconnected;
        if (random.below(12) == 0)
            this->store.isUnavailable = !this->store.isUnavailable;
        if (random.below(20) == 0)
            process.relay->abandonSource();
        if (!this->store.isUnavailable)
            this->store.put("t", "k", std::to_string(++written));
        this->context.run_for(15ms);
        for (std::size_t index = 0; index < 4; ++index) {
            const auto& value = this->processes[index]->rows["k"];
            const int seen = value.empty() ? 0 : std::stoi(value);
            ASSERT_GE(seen, newest[index]) << "seed " << seed << ", round " << round;
            newest[index] = seen;
        }
    }
    this->store.isUnavailable = false;
    for (auto& process : this->processes)
        process->isDisconnected = false;
    this->store.put("t", "k", "1000");
    EXPECT_LT(this->timeUntilSeen("1000"), 600ms);
}

} // namespace
} // namespace chivewinch::relay
