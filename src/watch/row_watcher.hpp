#pragma once

#include "watch/row_feed.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <string>

namespace chivewinch::watch {

struct WatchOptions {
    std::string table; ///< For the log.
    /** Longest wait for a change in one call. It also bounds how long a silent connection goes unnoticed. */
    std::chrono::milliseconds wait { 1'000 };
    /** Pause after each call that brought changes; collects changes of a table that changes all the time. */
    std::chrono::milliseconds pause { 0 };
    /** Pauses after failed calls, doubled from the first to the second. */
    std::chrono::milliseconds firstRetry { 50 };
    std::chrono::milliseconds maxRetry { 400 };
    FeedTimeouts timeouts;

    bool operator==(const WatchOptions&) const = default;
};

/** What a watcher reports. The functions run on the watcher's executor. */
struct WatchEvents {
    std::function<void(const std::vector<RowChange>&)> onAll; ///< The whole table.
    std::function<void(const std::vector<RowChange>&)> onChanges;
    std::function<void(bool)> onContact; ///< The store was lost (false) or answers again (true).
};

/** Keeps the content of a table up to date. Used on one executor. */
class RowWatcher {
public:
    RowWatcher(const boost::asio::any_io_executor& executor, RowFeed& feed, WatchOptions options, WatchEvents events);
    RowWatcher(const RowWatcher&) = delete;
    RowWatcher& operator=(const RowWatcher&) = delete;
    ~RowWatcher();

    /** Runs until stop. */
    [[nodiscard]] RowFeed::Task<void> run();
    void stop() noexcept;
    /** Ends a pause between calls, for instance after the process was suspended. */
    void hurry() noexcept { this->timer.cancel(); }
    /** While paused, the rows come on another way and the feed is not called. */
    void setPaused(bool paused) noexcept;
    /**
     * Takes over rows that came on another way; older ones than those known change nothing. False for changes of a
     * table that was not read whole.
     * @param isWhole The rows are the whole table.
     */
    [[nodiscard]] bool adopt(const Page& page, bool isWhole);

    [[nodiscard]] std::uint64_t currentVersion() const noexcept { return this->version; }
    [[nodiscard]] bool hasWhole() const noexcept { return this->hasAll; }
    [[nodiscard]] bool inContact() const noexcept { return this->isInContact; }
    /** Time of the last answer, on any way. */
    [[nodiscard]] std::chrono::steady_clock::time_point answeredAt() const noexcept { return this->lastAnswer; }

private:
    boost::asio::steady_timer timer;
    RowFeed& feed;
    WatchOptions options;
    WatchEvents events;
    std::uint64_t version = 0;
    bool hasAll = false;
    bool isInContact = false;
    bool isStopped = false;
    bool isPaused = false;
    std::chrono::steady_clock::time_point lastAnswer {};
    std::chrono::milliseconds retry;

    [[nodiscard]] RowFeed::Task<bool> step();
    void takeOver(const Page& page, bool isWhole);
    void noteContact();
    void noteFailure(const FeedError& reason);
    [[nodiscard]] RowFeed::Task<void> sleep(std::chrono::milliseconds time);
};

} // namespace chivewinch::watch
