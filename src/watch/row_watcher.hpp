#pragma once

#include "watch/row_feed.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <optional>
#include <string>

namespace chivewinch::watch {

struct WatchOptions {
    std::string table; ///< Name for the log.
    /** Longest wait for a change in one call. It also bounds the time until a silent connection is detected. */
    std::chrono::milliseconds wait { 1'000 };
    /** Time without a confirmation of the rows after which a paused watcher calls the feed; nullopt for no limit. */
    std::optional<std::chrono::milliseconds> maxAge;
    /** Pause after each successful call. It collects the changes of a table that is updated continually. */
    std::chrono::milliseconds pause { 0 };
    /**
     * Time from the beginning of a failed call to the next one: the first one, and the limit to which it doubles. The
     * pause after a call is never shorter than the first one.
     */
    std::chrono::milliseconds firstRetry { 50 };
    std::chrono::milliseconds maxRetry { 400 };
    FeedTimeouts timeouts;

    bool operator==(const WatchOptions&) const = default;
};

/** Longest time between two answers of a feed that is available, with a call that has to be repeated. */
[[nodiscard]] std::chrono::milliseconds longestAnswerGap(const WatchOptions& options) noexcept;

/**
 * Longest time between the beginnings of two calls for changes while the feed is unavailable. Connections are made at
 * once or not at all.
 */
[[nodiscard]] std::chrono::milliseconds longestCallGap(const WatchOptions& options) noexcept;

/** Callbacks of a watcher. They run on the watcher's executor. */
struct WatchEvents {
    std::function<void(const std::vector<RowChange>&)> onSnapshot; ///< The whole table.
    std::function<void(const std::vector<RowChange>&)> onChanges;
    std::function<void(bool)> onContact; ///< Contact with the store was lost (false) or regained (true).
    /** The rows are confirmed again, after this time without a confirmation. Not called for the first one. */
    std::function<void(std::chrono::milliseconds)> onConfirmed = {};
};

/** Evidence that the rows of a process are up to date. */
struct Confirmation {
    std::string source; ///< Name of the process that supplied it; empty for the feed.
    /** The rows were those of the feed at this time or later; nullopt if that is not known. */
    std::optional<std::chrono::steady_clock::time_point> at;

    bool operator==(const Confirmation&) const = default;
};

/** Keeps the content of a table up to date. Must be used on one executor. */
class RowWatcher {
public:
    RowWatcher(const boost::asio::any_io_executor& executor, RowFeed& feed, WatchOptions options, WatchEvents events);
    RowWatcher(const RowWatcher&) = delete;
    RowWatcher& operator=(const RowWatcher&) = delete;
    ~RowWatcher();

    /** Runs until stop is called. */
    [[nodiscard]] RowFeed::Task<void> run();
    void stop() noexcept;
    /**
     * Must be called after the process was suspended. The steady clock does not count that time, so that the age of the
     * rows is unknown until the next answer to a later call.
     */
    void discardConfirmation() noexcept;
    /** While paused, the rows are supplied from elsewhere, and the feed is called only when they are overdue. */
    void setPaused(bool paused) noexcept;
    /**
     * Applies rows that were read elsewhere. Rows older than the current version change nothing. Returns false for
     * changes if the complete table has not been read yet.
     * @param isSnapshot The rows are the complete table.
     */
    [[nodiscard]] bool applyRelayed(const Page& page, bool isSnapshot, const Confirmation& confirmation);

    [[nodiscard]] std::uint64_t currentVersion() const noexcept { return this->version; }
    [[nodiscard]] bool hasSnapshot() const noexcept { return this->hasSnapshotRows; }
    [[nodiscard]] bool inContact() const noexcept { return this->isInContact; }
    [[nodiscard]] const Confirmation& confirmation() const noexcept { return this->lastConfirmation; }
    /** Time since the rows were confirmed; nullopt if that is not known. */
    [[nodiscard]] std::optional<std::chrono::steady_clock::duration> age() const noexcept;
    /** True if the rows are older than WatchOptions::maxAge. */
    [[nodiscard]] bool isOverdue() const noexcept;
    /** Time for which the rows had not been confirmed when they were last confirmed; zero at the first time. */
    [[nodiscard]] std::chrono::milliseconds confirmationGap() const noexcept { return this->lastGap; }
    /** Time at which the last call that failed was begun; the feed was unavailable then or later. */
    [[nodiscard]] std::chrono::steady_clock::time_point failedCallAt() const noexcept { return this->lastFailedCall; }
    /**
     * Time up to the last answer in which answers have followed one another without a failure or a gap that could hide
     * one; zero if the last answer is older than the given age.
     */
    [[nodiscard]] std::chrono::milliseconds contactTime(std::chrono::milliseconds maxAge) const noexcept;
    /**
     * An outage that lasts this long for one watcher interrupts the contactTime of every other one that it affects. The
     * feed itself may have been available again for longestCallGap.
     */
    [[nodiscard]] std::chrono::milliseconds commonOutage() const noexcept
    {
        return longestAnswerGap(this->options) + longestCallGap(this->options);
    }

private:
    boost::asio::steady_timer timer;
    RowFeed& feed;
    WatchOptions options;
    WatchEvents events;
    std::uint64_t version = 0;
    bool hasSnapshotRows = false;
    bool isInContact = false;
    bool isStopped = false;
    bool isPaused = false;
    Confirmation lastConfirmation;
    std::chrono::milliseconds lastGap { 0 };
    std::chrono::steady_clock::time_point discardedAt {}; ///< Calls that began earlier confirm nothing.
    std::chrono::steady_clock::time_point lastAnswer {};
    std::chrono::steady_clock::time_point lastFailedCall {};
    std::chrono::steady_clock::time_point contactBegin {};
    std::chrono::milliseconds retry;

    [[nodiscard]] RowFeed::Task<bool> step();
    /** Time until the next call may be made. */
    [[nodiscard]] std::chrono::milliseconds pauseLeft() const noexcept;
    /** Wait of the next call for changes. */
    [[nodiscard]] std::chrono::milliseconds nextWait() const noexcept;
    void applyPage(const Page& page, bool isSnapshot, const Confirmation& confirmation);
    void confirm(const Confirmation& confirmation, std::chrono::steady_clock::time_point now);
    void recordSuccess();
    void recordFailure(const FeedError& reason, std::chrono::steady_clock::time_point begunAt);
    [[nodiscard]] RowFeed::Task<void> sleep(std::chrono::milliseconds time);
};

} // namespace chivewinch::watch
