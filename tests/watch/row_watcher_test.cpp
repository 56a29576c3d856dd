#include "watch/row_watcher.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <gtest/gtest.h>

#include <deque>
#include <functional>
#include <thread>

namespace chivewinch::watch {
namespace {

using namespace std::chrono_literals;

/** Feed that returns the scripted answers in order and then stops the watcher. */
class ScriptedFeed final : public RowFeed {
public:
    struct Answer {
        std::optional<Page> page;
        FeedErrorCode error = FeedErrorCode::None;
    };

    std::deque<Answer> script;
    std::vector<std::string> calls;
    std::vector<std::chrono::milliseconds> waits; ///< Of the calls for changes.
    std::vector<std::chrono::steady_clock::time_point> times; ///< Of the calls.
    std::function<void()> onEnd;

    [[nodiscard]] Task<std::optional<Page>> readAll(FeedError& reason) override
    {
        this->calls.emplace_back("all");
        co_return this->next(reason);
    }

    [[nodiscard]] Task<std::optional<Page>> changes(
        std::uint64_t since, std::chrono::milliseconds wait, FeedError& reason) override
    {
        this->calls.push_back("since " + std::to_string(since));
        this->waits.push_back(wait);
        co_return this->next(reason);
    }

private:
    std::optional<Page> next(FeedError& reason)
    {
        this->times.push_back(std::chrono::steady_clock::now());
        if (this->script.empty()) {
            this->onEnd();
            return std::nullopt;
        }
        auto answer = this->script.front();
        this->script.pop_front();
        reason.code = answer.error;
        return answer.page;
    }
};

class RowWatcherTest : public testing::Test {
protected:
    void play(std::deque<ScriptedFeed::Answer> script)
    {
        this->feed.script = std::move(script);
        boost::asio::io_context context;
        RowWatcher watcher { context.get_executor(), this->feed, { .table = "t", .firstRetry = 1ms, .maxRetry = 2ms },
            { .onSnapshot = [this](const auto& rows) { this->seen.push_back("all " + std::to_string(rows.size())); },
                .onChanges = [this](const auto& rows) { this->seen.push_back("new " + rows.front().key); },
                .onContact = [this](bool in) { this->seen.emplace_back(in ? "regained" : "lost"); } } };
        this->feed.onEnd = [this, &watcher] {
            this->failedCallAt = watcher.failedCallAt();
            this->contactTime = watcher.contactTime(1s);
            watcher.stop();
        };
        boost::asio::co_spawn(context, watcher.run(), boost::asio::detached);
        context.run();
    }

    static ScriptedFeed::Answer page(std::uint64_t version, std::vector<RowChange> rows = {})
    {
        return { .page = Page { .rows = std::move(rows), .version = version } };
    }

    ScriptedFeed feed;
    std::vector<std::string> seen;
    std::chrono::steady_clock::time_point failedCallAt {}; ///< At the end of the script.
    std::chrono::milliseconds contactTime {};
};

TEST_F(RowWatcherTest, ReadsAllAndThenChanges)
{
    this->play({ page(5, { { .key = "a", .value = "1" } }), page(6), page(7, { { .key = "b", .value = "2" } }) });
    EXPECT_EQ(this->feed.calls, (std::vector<std::string> { "all", "since 5", "since 6", "since 7" }));
    EXPECT_EQ(this->seen, (std::vector<std::string> { "regained", "all 1", "new b" }));
}

// Guards against missed changes after the store has discarded its history.
TEST_F(RowWatcherTest, ReadsAllAgainWhenTheHistoryIsLost)
{
    this->play({ page(5), { .error = FeedErrorCode::HistoryLost }, page(9, { { .key = "a", .value = "1" } }) });
    EXPECT_EQ(this->feed.calls, (std::vector<std::string> { "all", "since 5", "all", "since 9" }));
}

// Guards against a watcher that continues from a version whose changes it has not received.
TEST_F(RowWatcherTest, KeepsItsVersionOverAnOutage)
{
    this->play({ page(5), { .error = FeedErrorCode::Unavailable }, { .error = FeedErrorCode::Unavailable }, page(8) });
    EXPECT_EQ(this->feed.calls, (std::vector<std::string> { "all", "since 5", "since 5", "since 5", "since 8" }));
    EXPECT_EQ(this->seen, (std::vector<std::string> { "regained", "all 0", "lost", "regained" }));
}

// Guards against stale answers that overwrite newer rows.
TEST_F(RowWatcherTest, RejectsAnOlderVersion)
{
    this->play({ page(5), page(3, { { .key = "old", .value = "1" } }), page(6) });
    EXPECT_EQ(this->feed.calls, (std::vector<std::string> { "all", "since 5", "all", "since 6" }));
    EXPECT_EQ(std::ranges::count(this->seen, "new old"), 0);
}

// Guards against an end of an outage that is taken for later than it may have been: the store may be back since the
// beginning of the last call that failed.
TEST_F(RowWatcherTest, StatesWhenTheLastFailedCallBegan)
{
    this->play({ page(5), { .error = FeedErrorCode::Unavailable }, { .error = FeedErrorCode::Unavailable }, page(8) });
    ASSERT_EQ(this->feed.times.size(), 5U);
    EXPECT_GT(this->failedCallAt, this->feed.times[1]);
    EXPECT_LE(this->failedCallAt, this->feed.times[2]);
}

/** Feed whose calls take some time and then fail. */
class HangingFeed final : public RowFeed {
public:
    explicit HangingFeed(boost::asio::io_context& context)
        : context { context }
    {
    }

    static constexpr std::chrono::milliseconds callTime { 60 };
    std::vector<std::chrono::steady_clock::time_point> times; ///< Of the calls.

    [[nodiscard]] Task<std::optional<Page>> readAll(FeedError& reason) override
    {
        this->times.push_back(std::chrono::steady_clock::now());
        boost::asio::steady_timer timer { this->context, callTime };
        co_await timer.async_wait(boost::asio::use_awaitable);
        reason.code = FeedErrorCode::Unavailable;
        co_return std::nullopt;
    }

    [[nodiscard]] Task<std::optional<Page>> changes(
        std::uint64_t /*since*/, std::chrono::milliseconds /*wait*/, FeedError& reason) override
    {
        co_return co_await this->readAll(reason);
    }

private:
    boost::asio::io_context& context;
};

// Guards against a process that learns late that the store is back, because it pauses after a call that took long.
TEST_F(RowWatcherTest, CountsThePauseFromTheBeginningOfAFailedCall)
{
    constexpr int calls = 20;
    boost::asio::io_context context;
    HangingFeed hanging { context };
    RowWatcher watcher { context.get_executor(), hanging, { .table = "t", .firstRetry = 10ms, .maxRetry = 60ms },
        { .onSnapshot = [](const auto&) {}, .onChanges = [](const auto&) {}, .onContact = [](bool) {} } };
    boost::asio::co_spawn(context, watcher.run(), boost::asio::detached);
    while (hanging.times.size() <= calls)
        context.run_one();
    watcher.stop();
    context.run();
    const auto passed = hanging.times.back() - hanging.times.front();
    EXPECT_GE(passed, calls * (HangingFeed::callTime + 10ms));
    // If the pauses of 10, 20, 40 and then 60 ms began at the ends of the calls.
    EXPECT_LT(passed, calls * HangingFeed::callTime + 70ms + (calls - 3) * 60ms);
}

// Guards against a process that vouches for a time in which it had no contact, or no answer for too long, and against
// one that never vouches.
TEST_F(RowWatcherTest, CountsItsContactFromTheLastInterruption)
{
    boost::asio::io_context context;
    const WatchEvents events {
        .onSnapshot = [](const auto&) {}, .onChanges = [](const auto&) {}, .onContact = [](bool) {}
    };
    RowWatcher watcher { context.get_executor(), this->feed, { .table = "t", .wait = 1min }, events };
    EXPECT_EQ(watcher.contactTime(1min), 0ms);
    ASSERT_TRUE(watcher.applyRelayed({ .version = 1 }, true, {}));
    std::this_thread::sleep_for(20ms);
    ASSERT_TRUE(watcher.applyRelayed({ .version = 1 }, false, {}));
    EXPECT_GE(watcher.contactTime(1min), 20ms);
    EXPECT_EQ(watcher.contactTime(-1ms), 0ms);
    RowWatcher interrupted { context.get_executor(), this->feed, { .table = "t", .wait = 5ms }, events };
    ASSERT_TRUE(interrupted.applyRelayed({ .version = 1 }, true, {}));
    std::this_thread::sleep_for(20ms);
    ASSERT_TRUE(interrupted.applyRelayed({ .version = 1 }, false, {}));
    EXPECT_EQ(interrupted.contactTime(1min), 0ms);
}

/** A feed with one row, whose version rises with each call. */
class CountingFeed final : public RowFeed {
public:
    explicit CountingFeed(boost::asio::io_context& context)
        : context { context }
    {
    }

    std::chrono::milliseconds delay { 1 }; ///< Until the answer to a call for changes.
    bool hasChanges = false;
    int calls = 0; ///< For changes.

    [[nodiscard]] Task<std::optional<Page>> readAll(FeedError& /*reason*/) override
    {
        co_return Page { .version = ++this->version };
    }

    [[nodiscard]] Task<std::optional<Page>> changes(
        std::uint64_t /*since*/, std::chrono::milliseconds /*wait*/, FeedError& /*reason*/) override
    {
        ++this->calls;
        boost::asio::steady_timer timer { this->context, this->delay };
        co_await timer.async_wait(boost::asio::use_awaitable);
        Page page { .version = ++this->version };
        if (this->hasChanges)
            page.rows.push_back({ .key = "a", .value = "1" });
        co_return page;
    }

private:
    boost::asio::io_context& context;
    std::uint64_t version = 0;
};

class PausedWatcherTest : public testing::Test {
protected:
    static constexpr std::chrono::milliseconds maxAge { 100 };

    PausedWatcherTest()
    {
        boost::asio::co_spawn(this->context, this->watcher.run(), boost::asio::detached);
        this->context.run_for(20ms);
        this->watcher.setPaused(true);
        this->context.run_for(20ms);
        this->feed.calls = 0;
    }

    ~PausedWatcherTest() override
    {
        this->watcher.stop();
        this->context.run_for(100ms);
    }

    bool supply(std::chrono::milliseconds age)
    {
        return this->watcher.applyRelayed({ .version = this->watcher.currentVersion() }, false,
            { .source = "peer", .at = std::chrono::steady_clock::now() - age });
    }

    boost::asio::io_context context;
    CountingFeed feed { this->context };
    RowWatcher watcher { this->context.get_executor(), this->feed, { .table = "t", .wait = 10ms, .maxAge = maxAge },
        { .onSnapshot = [](const auto&) {}, .onChanges = [](const auto&) {}, .onContact = [](bool) {} } };
};

// Guards against a process that keeps using rows from a peer which does not state that they are still up to date.
TEST_F(PausedWatcherTest, CallsTheFeedWhenTheRowsAreOverdue)
{
    ASSERT_TRUE(this->supply(0ms));
    this->context.run_for(maxAge - 30ms);
    EXPECT_EQ(this->feed.calls, 0);
    ASSERT_TRUE(this->supply(0ms));
    this->context.run_for(maxAge - 30ms);
    EXPECT_EQ(this->feed.calls, 0);
    // The answers come, but the rows of the peer are not confirmed any more.
    const auto lastConfirmed = this->watcher.confirmation().at;
    for (int answer = 0; answer < 5; ++answer) {
        ASSERT_TRUE(this->supply(std::chrono::hours { 1 }));
        this->context.run_for(10ms);
    }
    EXPECT_EQ(this->feed.calls, 1);
    EXPECT_GT(this->watcher.confirmation().at, lastConfirmed);
    EXPECT_FALSE(this->watcher.isOverdue());
}

// Guards against a process that trusts its rows after a suspension, which the steady clock does not count.
TEST_F(PausedWatcherTest, CallsTheFeedAfterASuspension)
{
    ASSERT_TRUE(this->supply(0ms));
    EXPECT_FALSE(this->watcher.isOverdue());
    this->watcher.discardConfirmation();
    EXPECT_TRUE(this->watcher.isOverdue());
    this->context.run_for(30ms);
    EXPECT_EQ(this->feed.calls, 1);
    EXPECT_FALSE(this->watcher.isOverdue());
}

// Guards against an answer from before a suspension that confirms the rows after it.
TEST_F(PausedWatcherTest, IgnoresAConfirmationFromBeforeASuspension)
{
    this->feed.delay = 40ms;
    this->watcher.setPaused(false);
    this->context.run_for(20ms);
    ASSERT_EQ(this->feed.calls, 1);
    this->watcher.discardConfirmation();
    while (this->feed.calls == 1)
        this->context.run_one();
    EXPECT_TRUE(this->watcher.isOverdue());
}

// Guards against rows that are taken for newer than they are: the feed may have sent an answer with rows at any time
// since the beginning of the call.
TEST_F(PausedWatcherTest, AnAnswerWithRowsConfirmsTheBeginningOfItsCall)
{
    this->feed.delay = 40ms;
    this->feed.hasChanges = true;
    this->watcher.setPaused(false);
    const auto begun = std::chrono::steady_clock::now();
    while (this->feed.calls < 2)
        this->context.run_one();
    EXPECT_LT(this->watcher.confirmation().at, begun + 40ms);
    EXPECT_GE(std::chrono::steady_clock::now() - begun, 40ms);
}

// Guards against rows that stay unconfirmed for two waits after a late answer with a change.
TEST_F(RowWatcherTest, ShortensTheWaitByTheAgeOfTheRows)
{
    this->play({ page(5), page(6), page(7) });
    ASSERT_EQ(this->feed.waits.size(), 3U);
    EXPECT_GT(this->feed.waits.front(), 500ms);
    boost::asio::io_context context;
    ScriptedFeed scripted;
    RowWatcher watcher { context.get_executor(), scripted, { .table = "t", .wait = 1'000ms },
        { .onSnapshot = [](const auto&) {}, .onChanges = [](const auto&) {}, .onContact = [](bool) {} } };
    scripted.onEnd = [&watcher] { watcher.stop(); };
    ASSERT_TRUE(watcher.applyRelayed({ .version = 5 }, true, { .at = std::chrono::steady_clock::now() - 800ms }));
    boost::asio::co_spawn(context, watcher.run(), boost::asio::detached);
    context.run();
    ASSERT_EQ(scripted.waits.size(), 1U);
    EXPECT_LE(scripted.waits.front(), 200ms);
}

} // namespace
} // namespace chivewinch::watch
