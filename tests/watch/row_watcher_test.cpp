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
    std::vector<std::chrono::steady_clock::time_point> times; ///< Of the calls.
    std::function<void()> onEnd;

    [[nodiscard]] Task<std::optional<Page>> readAll(FeedError& reason) override
    {
        this->calls.emplace_back("all");
        co_return this->next(reason);
    }

    [[nodiscard]] Task<std::optional<Page>> changes(
        std::uint64_t since, std::chrono::milliseconds /*wait*/, FeedError& reason) override
    {
        this->calls.push_back("since " + std::to_string(since));
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

} // namespace
} // namespace chivewinch::watch
