#include "watch/row_watcher.hpp"

#include "logging/event.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace chivewinch::watch {

namespace asio = boost::asio;

namespace internal {

// The sleep of a paused watcher is cancelled when it is resumed.
constexpr std::chrono::milliseconds pausedSleep { std::chrono::minutes { 1 } };

} // namespace internal

std::chrono::milliseconds longestAnswerGap(const WatchOptions& options) noexcept
{
    return 2 * (options.pause + options.wait);
}

std::chrono::milliseconds longestCallGap(const WatchOptions& options) noexcept
{
    const auto longestCall = std::max(options.wait + options.timeouts.slack, options.timeouts.connect);
    return std::max(longestCall + options.firstRetry, options.maxRetry);
}

RowWatcher::RowWatcher(const asio::any_io_executor& executor, RowFeed& feed, WatchOptions options, WatchEvents events)
    : timer { executor }
    , feed { feed }
    , options { std::move(options) }
    , events { std::move(events) }
    , retry { this->options.firstRetry }
{
}

RowWatcher::~RowWatcher() = default;

void RowWatcher::stop() noexcept
{
    this->isStopped = true;
    this->timer.cancel();
}

RowFeed::Task<void> RowWatcher::sleep(std::chrono::milliseconds time)
{
    if (time.count() <= 0 || this->isStopped)
        co_return;
    this->timer.expires_after(time);
    (void)co_await this->timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

RowFeed::Task<void> RowWatcher::run()
{
    while (!this->isStopped) {
        if (this->isPaused) {
            co_await this->sleep(internal::pausedSleep);
            continue;
        }
        const auto begunAt = std::chrono::steady_clock::now();
        const bool answered = co_await this->step();
        if (answered) {
            co_await this->sleep(this->options.pause);
            continue;
        }
        // Counted from the beginning of the call, since the store may be back while a call still hangs.
        const auto passed = std::chrono::floor<std::chrono::milliseconds>(std::chrono::steady_clock::now() - begunAt);
        co_await this->sleep(std::max(this->retry - passed, this->options.firstRetry));
        this->retry = std::min(this->retry * 2, this->options.maxRetry);
    }
}

RowFeed::Task<bool> RowWatcher::step()
{
    FeedError reason;
    const bool whole = !this->hasSnapshotRows;
    const auto askedSince = this->version;
    const auto begunAt = std::chrono::steady_clock::now();
    // GCC 12 destroys the operands of a conditional expression with co_await twice.
    std::optional<Page> page;
    if (whole)
        page = co_await this->feed.readAll(reason);
    else
        page = co_await this->feed.changes(this->version, this->options.wait, reason);
    if (this->isStopped)
        co_return true;
    // Newer rows were supplied from elsewhere in the meantime, so this result is ignored.
    if (this->version != askedSince && (!page || page->version < this->version))
        co_return true;
    if (!page) {
        this->recordFailure(reason, begunAt);
        // A lost history is an answer of the store, so the complete table can be read at once.
        co_return reason.code == FeedErrorCode::HistoryLost;
    }
    // Versions never decrease, so an answer with an older version was overtaken by a newer one.
    if (page->version < this->version) {
        this->recordFailure({ .code = FeedErrorCode::Malformed,
                                .detail = "the answer has an older table version than an earlier answer" },
            begunAt);
        co_return false;
    }
    this->applyPage(*page, whole, { .at = std::chrono::steady_clock::now() });
    co_return true;
}

void RowWatcher::applyPage(const Page& page, bool isSnapshot, const Confirmation& confirmation)
{
    const auto now = std::chrono::steady_clock::now();
    if (!this->isInContact || now - this->lastAnswer > longestAnswerGap(this->options))
        this->contactBegin = now;
    this->lastAnswer = now;
    this->recordSuccess();
    this->confirm(confirmation, now);
    this->version = page.version;
    this->hasSnapshotRows = true;
    if (isSnapshot)
        this->events.onSnapshot(page.rows);
    else if (!page.rows.empty())
        this->events.onChanges(page.rows);
}

void RowWatcher::confirm(const Confirmation& confirmation, std::chrono::steady_clock::time_point now)
{
    const auto before = std::exchange(this->lastConfirmation, confirmation).at;
    if (before == std::chrono::steady_clock::time_point {})
        return;
    this->lastGap = std::chrono::floor<std::chrono::milliseconds>(now - before);
    if (this->events.onConfirmed)
        this->events.onConfirmed(this->lastGap);
}

bool RowWatcher::applyRelayed(const Page& page, bool isSnapshot, const Confirmation& confirmation)
{
    if (!isSnapshot && !this->hasSnapshotRows)
        return false;
    if (page.version >= this->version)
        this->applyPage(page, isSnapshot, confirmation);
    return true;
}

void RowWatcher::setPaused(bool paused) noexcept
{
    this->isPaused = paused;
    this->timer.cancel();
}

void RowWatcher::recordSuccess()
{
    this->retry = this->options.firstRetry;
    if (std::exchange(this->isInContact, true))
        return;
    logging::Event { "store_contact" }.field("table", this->options.table).field("state", "regained").info();
    this->events.onContact(true);
}

std::chrono::milliseconds RowWatcher::contactTime(std::chrono::milliseconds maxAge) const noexcept
{
    const bool isRecent = std::chrono::steady_clock::now() - this->lastAnswer <= maxAge;
    if (!this->isInContact || !isRecent)
        return std::chrono::milliseconds { 0 };
    return std::chrono::duration_cast<std::chrono::milliseconds>(this->lastAnswer - this->contactBegin);
}

void RowWatcher::recordFailure(const FeedError& reason, std::chrono::steady_clock::time_point begunAt)
{
    if (reason.code == FeedErrorCode::HistoryLost || reason.code == FeedErrorCode::Malformed)
        this->hasSnapshotRows = false;
    if (reason.code == FeedErrorCode::HistoryLost) {
        logging::Event { "store_history_lost" }.field("table", this->options.table).info();
        return;
    }
    this->lastFailedCall = begunAt;
    if (!std::exchange(this->isInContact, false))
        return;
    logging::Event { "store_contact" }
        .field("table", this->options.table)
        .field("state", "lost")
        .field("reason", reason.detail)
        .warning();
    this->events.onContact(false);
}

} // namespace chivewinch::watch
