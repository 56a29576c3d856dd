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
        if (const auto left = this->pauseLeft(); left.count() > 0) {
            co_await this->sleep(left);
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

std::chrono::milliseconds RowWatcher::pauseLeft() const noexcept
{
    if (!this->isPaused)
        return std::chrono::milliseconds { 0 };
    if (!this->options.maxAge)
        return internal::pausedSleep;
    const auto left = *this->options.maxAge - this->age().value_or(*this->options.maxAge);
    return std::min(std::chrono::ceil<std::chrono::milliseconds>(left), internal::pausedSleep);
}

std::optional<std::chrono::steady_clock::duration> RowWatcher::age() const noexcept
{
    if (!this->lastConfirmation.at)
        return std::nullopt;
    return std::chrono::steady_clock::now() - *this->lastConfirmation.at;
}

bool RowWatcher::isOverdue() const noexcept
{
    if (!this->options.maxAge)
        return false;
    const auto current = this->age();
    return !current || *current > *this->options.maxAge;
}

std::chrono::milliseconds RowWatcher::nextWait() const noexcept
{
    // While the feed is unavailable, longer calls are fewer calls.
    if (!this->isInContact)
        return this->options.wait;
    // An answer with rows confirms only the beginning of its call, and rows from elsewhere may be old.
    const auto interval = this->options.pause + this->options.wait;
    const auto left = std::chrono::floor<std::chrono::milliseconds>(interval - this->age().value_or(interval));
    return std::clamp(left, std::chrono::milliseconds { 0 }, this->options.wait);
}

RowFeed::Task<bool> RowWatcher::step()
{
    FeedError reason;
    const bool whole = !this->hasSnapshotRows;
    const auto askedSince = this->version;
    const auto begunAt = std::chrono::steady_clock::now();
    const auto wait = this->nextWait();
    // GCC 12 destroys the operands of a conditional expression with co_await twice.
    std::optional<Page> page;
    if (whole)
        page = co_await this->feed.readAll(reason);
    else
        page = co_await this->feed.changes(this->version, wait, reason);
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
    // The feed answers without rows only after the wait, with rows at any time since the beginning of the call.
    const bool isUnchanged = !whole && page->rows.empty();
    Confirmation confirmation;
    if (begunAt >= this->discardedAt)
        confirmation.at = isUnchanged ? std::min(begunAt + wait, std::chrono::steady_clock::now()) : begunAt;
    this->applyPage(*page, whole, confirmation);
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
    const auto before = this->lastConfirmation.at;
    this->lastConfirmation = { .source = confirmation.source, .at = std::max(before, confirmation.at) };
    this->lastGap = std::chrono::floor<std::chrono::milliseconds>(now - before.value_or(now));
    if (before && confirmation.at > before && this->events.onConfirmed)
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

void RowWatcher::discardConfirmation() noexcept
{
    this->discardedAt = std::chrono::steady_clock::now();
    this->lastConfirmation.at = std::nullopt;
    this->timer.cancel();
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
