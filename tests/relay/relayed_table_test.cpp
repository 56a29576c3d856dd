#include "base/random.hpp"
#include "relay/relayed_table.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace chivewinch::relay {
namespace {

using Table = std::map<std::string, std::string>;

/** Values with the same first character are equivalent. */
bool isEquivalent(const std::string& left, const std::string& right) { return left.front() == right.front(); }

bool isEquivalent(const Table& left, const Table& right)
{
    return std::ranges::equal(left, right, [](const auto& one, const auto& other) {
        return one.first == other.first && isEquivalent(one.second, other.second);
    });
}

class ModelStore {
public:
    void put(const std::string& key, std::optional<std::string> value)
    {
        this->rows[key] = { std::move(value), ++this->version };
    }

    /** Other tables use the same counter. */
    void skipVersion() { ++this->version; }

    /** Comes back from a copy; the versions after it are issued again. */
    void restore(const ModelStore& copy) { *this = copy; }

    [[nodiscard]] watch::Page changes(std::uint64_t since) const
    {
        watch::Page page { .version = this->version };
        for (const auto& [key, row] : this->rows) {
            if (row.second > since && (since > 0 || row.first))
                page.rows.push_back({ .key = key, .value = row.first });
        }
        return page;
    }

    [[nodiscard]] Table content() const
    {
        Table table;
        for (const auto& [key, row] : this->rows) {
            if (row.first)
                table[key] = *row.first;
        }
        return table;
    }

private:
    std::map<std::string, std::pair<std::optional<std::string>, std::uint64_t>> rows;
    std::uint64_t version = 1;
};

/** Feed of a watcher that gets all of its rows by applyRelayed. */
class UnusedFeed final : public watch::RowFeed {
public:
    [[nodiscard]] Task<std::optional<watch::Page>> readAll(watch::FeedError& /*reason*/) override
    {
        co_return std::nullopt;
    }
    [[nodiscard]] Task<std::optional<watch::Page>> changes(
        std::uint64_t /*since*/, std::chrono::milliseconds /*wait*/, watch::FeedError& /*reason*/) override
    {
        co_return std::nullopt;
    }
};

/** Feed whose changes are not available, and which does not answer other calls. */
class LostHistoryFeed final : public watch::RowFeed {
public:
    [[nodiscard]] Task<std::optional<watch::Page>> readAll(watch::FeedError& reason) override
    {
        reason.code = watch::FeedErrorCode::Unavailable;
        co_return std::nullopt;
    }
    [[nodiscard]] Task<std::optional<watch::Page>> changes(
        std::uint64_t /*since*/, std::chrono::milliseconds /*wait*/, watch::FeedError& reason) override
    {
        reason.code = watch::FeedErrorCode::HistoryLost;
        co_return std::nullopt;
    }
};

/** One start of a process. */
class Process {
public:
    Process(boost::asio::io_context& context, watch::RowFeed& feed, std::uint64_t id)
        : watcher { context.get_executor(), feed, { .table = "t" },
            { .onSnapshot = [this](const auto& rows) { this->record(rows, true); },
                .onChanges = [this](const auto& rows) { this->record(rows, false); },
                .onContact = [](bool) {} } }
        , table { "t", this->watcher,
            TableCopy { id, [](const auto& left, const auto& right) { return isEquivalent(left, right); } } }
    {
    }

    Table rows;
    watch::RowWatcher watcher;
    RelayedTable table;

private:
    void record(const std::vector<watch::RowChange>& changed, bool isSnapshot)
    {
        if (isSnapshot)
            this->rows.clear();
        for (const auto& row : changed) {
            if (row.value)
                this->rows[row.key] = *row.value;
            else
                this->rows.erase(row.key);
        }
        (void)this->table.recordRows(changed, isSnapshot);
    }
};

/** An answer on its way to a process. */
struct Message {
    std::size_t reader = 0;
    bool isSnapshot = false; ///< For a page of the store.
    watch::Page page;
    std::optional<TableQuery> query; ///< Set if the answer comes from a peer.
    TableUpdate update;
    Table sourceRows; ///< Of the source when it answered.
};

/** Processes that read one table from the store or from each other, in random order; answers may be late. */
class RelayedTableModel {
public:
    RelayedTableModel(std::uint64_t seed, std::size_t count, bool canRestore)
        : random { seed }
        , canRestore { canRestore }
    {
        for (std::size_t index = 0; index < count; ++index)
            this->processes.push_back(this->makeProcess());
    }

    void play()
    {
        for (int step = 0; step < 60 && !::testing::Test::HasFatalFailure(); ++step)
            this->playStep();
        for (const auto& message : std::exchange(this->messages, {}))
            this->deliver(message);
    }

    /** One process reads the store, and each other one reads from one that has read before it, also along chains. */
    void converge()
    {
        this->store.put("z", "end");
        this->deliver(this->readStore(0));
        for (std::size_t reader = 1; reader < this->processes.size(); ++reader) {
            this->deliver(this->askPeer(reader, this->random.below(reader)));
            ASSERT_TRUE(isEquivalent(this->processes[reader]->rows, this->store.content())) << "reader " << reader;
        }
    }

private:
    base::SeededRandom random;
    bool canRestore;
    boost::asio::io_context context;
    UnusedFeed feed;
    ModelStore store;
    std::optional<ModelStore> backup;
    std::vector<std::unique_ptr<Process>> processes;
    std::vector<Message> messages;

    std::unique_ptr<Process> makeProcess()
    {
        return std::make_unique<Process>(this->context, this->feed, this->random.next());
    }

    std::size_t anyProcess() { return this->random.below(this->processes.size()); }

    Message readStore(std::size_t reader)
    {
        const auto& watcher = this->processes[reader]->watcher;
        // The history may be lost at any time.
        const bool isSnapshot = !watcher.hasSnapshot() || this->random.below(8) == 0;
        return { .reader = reader,
            .isSnapshot = isSnapshot,
            .page = this->store.changes(isSnapshot ? 0 : watcher.currentVersion()) };
    }

    Message askPeer(std::size_t reader, std::size_t source)
    {
        Message message { .reader = reader, .query = this->processes[reader]->table.query() };
        message.update = this->processes[source]->table.answer(*message.query);
        message.sourceRows = this->processes[source]->rows;
        return message;
    }

    void deliver(const Message& message)
    {
        auto& process = *this->processes[message.reader];
        if (!message.query) {
            (void)process.watcher.applyRelayed(message.page, message.isSnapshot, {});
            return;
        }
        const auto before = process.table.copy().position();
        const bool isTaken = process.table.apply(message.update, *message.query, {});
        const bool isChanged = process.table.copy().position() != before;
        ASSERT_TRUE(isTaken || !isChanged);
        ASSERT_TRUE(!isChanged || isEquivalent(process.rows, message.sourceRows)) << "reader " << message.reader;
    }

    void changeStore()
    {
        const auto key = std::string(1, static_cast<char>('a' + this->random.below(3)));
        const auto value = this->random.below(5);
        if (value == 0)
            this->store.put(key, std::nullopt);
        else
            this->store.put(key, (value % 2 == 0 ? "x" : "y") + std::to_string(value));
    }

    void playStep()
    {
        const auto action = this->random.below(20);
        if (action < 6) {
            this->changeStore();
        } else if (action == 6) {
            this->store.skipVersion();
        } else if (action == 7) {
            const auto index = this->anyProcess();
            std::erase_if(this->messages, [index](const auto& message) { return message.reader == index; });
            this->processes[index] = this->makeProcess();
        } else if (action == 8 && this->canRestore) {
            if (this->backup && this->random.below(2) == 0)
                this->store.restore(*this->backup);
            else
                this->backup = this->store;
        } else if (action < 12) {
            this->messages.push_back(this->readStore(this->anyProcess()));
        } else if (action < 17) {
            const auto source = this->anyProcess();
            const auto reader = this->anyProcess();
            if (source != reader && this->processes[source]->watcher.hasSnapshot())
                this->messages.push_back(this->askPeer(reader, source));
        }
        while (!this->messages.empty() && this->random.below(3) > 0) {
            const auto next
                = this->messages.begin() + static_cast<std::ptrdiff_t>(this->random.below(this->messages.size()));
            const auto message = *next;
            this->messages.erase(next);
            this->deliver(message);
        }
    }
};

// Guards against a process whose rows differ from the store's for good after it has read from peers that never had the
// version that it had: removed rows that stay, lost rows and old values.
TEST(RelayedTable, ConvergesWhoeverWasReadFrom)
{
    for (std::uint64_t seed = 0; seed < 10'000; ++seed) {
        RelayedTableModel model { seed, 2 + seed % 3, false };
        model.play();
        if (!HasFatalFailure())
            model.converge();
        ASSERT_FALSE(HasFatalFailure()) << "seed " << seed;
    }
}

// Guards against changes that are combined with rows of another history after the store was restored from a copy and
// has issued its versions again: a reader that takes an answer has the rows of its source.
TEST(RelayedTable, HasTheRowsOfItsSourceAfterTheStoreWasRestored)
{
    for (std::uint64_t seed = 0; seed < 10'000; ++seed) {
        RelayedTableModel model { seed, 2 + seed % 3, true };
        model.play();
        ASSERT_FALSE(HasFatalFailure()) << "seed " << seed;
    }
}

// Guards against a reader that returns to an older version of its source, and against a source that sends rows to a
// reader that is ahead of it.
TEST(RelayedTable, KeepsNewerRowsThanThoseOfTheSource)
{
    boost::asio::io_context context;
    UnusedFeed feed;
    Process source { context, feed, 1 };
    Process reader { context, feed, 2 };
    ASSERT_TRUE(source.watcher.applyRelayed({ .rows = { { .key = "a", .value = "old" } }, .version = 5 }, true, {}));
    ASSERT_TRUE(reader.watcher.applyRelayed({ .rows = { { .key = "a", .value = "new" } }, .version = 6 }, true, {}));
    const auto query = reader.table.query();
    EXPECT_FALSE(source.table.hasRowsFor(query));
    const auto answer = source.table.answer(query);
    EXPECT_EQ(answer.kind, UpdateKind::Behind);
    EXPECT_TRUE(reader.table.apply(answer, query, {}));
    EXPECT_EQ(reader.rows, (Table { { "a", "new" } }));
    EXPECT_EQ(reader.watcher.currentVersion(), 6U);
    // The complete table, although the versions are equal.
    ASSERT_TRUE(source.watcher.applyRelayed({ .rows = { { .key = "a", .value = "new" } }, .version = 6 }, false, {}));
    EXPECT_TRUE(source.table.hasRowsFor(query));
    EXPECT_EQ(source.table.answer(query).kind, UpdateKind::Snapshot);
}

// Guards against a reader that trusts its rows for good because a source has older ones: after the store was restored
// from a copy, all processes that have read it since have older versions.
TEST(RelayedTable, IsNotConfirmedByASourceBehindIt)
{
    boost::asio::io_context context;
    UnusedFeed feed;
    Process source { context, feed, 1 };
    Process reader { context, feed, 2 };
    const auto before = std::chrono::steady_clock::now();
    const watch::Confirmation later { .source = "source", .at = before + std::chrono::seconds { 1 } };
    ASSERT_TRUE(source.watcher.applyRelayed({ .rows = { { .key = "a", .value = "x" } }, .version = 5 }, true, {}));
    ASSERT_TRUE(reader.watcher.applyRelayed(
        { .rows = { { .key = "a", .value = "y" } }, .version = 6 }, true, { .at = before }));
    const auto ahead = reader.table.query();
    EXPECT_TRUE(reader.table.apply(source.table.answer(ahead), ahead, later));
    EXPECT_EQ(reader.watcher.confirmation().at, before);
    ASSERT_TRUE(source.watcher.applyRelayed({ .version = 7 }, false, {}));
    const auto behind = reader.table.query();
    EXPECT_TRUE(reader.table.apply(source.table.answer(behind), behind, later));
    EXPECT_EQ(reader.watcher.confirmation().at, later.at);
}

// Guards against a reader without rows that asks a source behind it again and again, without a pause, and ignores all
// answers. It has lost its rows because the store has lost its history.
TEST(RelayedTable, LeavesASourceBehindItWhenItNeedsTheCompleteTable)
{
    boost::asio::io_context context;
    LostHistoryFeed lost;
    UnusedFeed feed;
    Process source { context, feed, 1 };
    Process reader { context, lost, 2 };
    ASSERT_TRUE(source.watcher.applyRelayed({ .rows = { { .key = "a", .value = "old" } }, .version = 5 }, true, {}));
    ASSERT_TRUE(reader.watcher.applyRelayed({ .rows = { { .key = "a", .value = "new" } }, .version = 6 }, true, {}));
    boost::asio::co_spawn(context, reader.watcher.run(), boost::asio::detached);
    while (reader.watcher.hasSnapshot())
        ASSERT_EQ(context.run_one(), 1U);
    const auto query = reader.table.query();
    EXPECT_FALSE(source.table.hasRowsFor(query));
    EXPECT_FALSE(reader.table.apply(source.table.answer(query), query, {}));
    reader.watcher.stop();
    context.run();
}

// Guards against a complete table for each reader at each query, and against readers that do not wait for changes.
TEST(RelayedTable, SendsOnlyChangesToALastingReader)
{
    boost::asio::io_context context;
    UnusedFeed feed;
    Process source { context, feed, 1 };
    Process reader { context, feed, 2 };
    ASSERT_TRUE(source.watcher.applyRelayed({ .rows = { { .key = "a", .value = "x1" } }, .version = 5 }, true, {}));
    for (std::uint64_t version = 5; version < 10; ++version) {
        const auto query = reader.table.query();
        EXPECT_TRUE(source.table.hasRowsFor(query));
        const auto answer = source.table.answer(query);
        EXPECT_EQ(answer.kind, version == 5 ? UpdateKind::Snapshot : UpdateKind::Changes);
        EXPECT_EQ(answer.page.rows.size(), 1U);
        ASSERT_TRUE(reader.table.apply(answer, query, {}));
        EXPECT_FALSE(source.table.hasRowsFor(reader.table.query()));
        ASSERT_TRUE(source.watcher.applyRelayed(
            { .rows = { { .key = "b", .value = version % 2 == 0 ? "x" : "y" } }, .version = version + 1 }, false, {}));
    }
}

} // namespace
} // namespace chivewinch::relay
