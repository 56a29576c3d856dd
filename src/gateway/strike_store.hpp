#pragma once

#include "base/clock.hpp"
#include "http/message.hpp"
#include "suspect/strike_archive.hpp"
#include "watch/row_feed.hpp"
#include "watch/row_sink.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>

namespace chivewinch::gateway {

/** Reads and writes the rows of a StrikeArchive. Used on one executor only. */
class StrikeStore {
public:
    /** Time after its start for which a process waits for the strikes that the store has. */
    static constexpr std::chrono::milliseconds maxLoadTime { 1'000 };

    /** All arguments must outlive the object. */
    StrikeStore(const boost::asio::any_io_executor& executor, const base::Clock& clock, suspect::StrikeArchive& archive,
        watch::RowFeed& feed, watch::RowSink& sink);

    /** Reads the table, then keeps it up to date until stop. */
    [[nodiscard]] http::Task<void> run();
    void stop();
    /** Must be called when strikes may have changed, and by a timer. */
    void wake();

    /** True if the table has been read, or if the time for that has passed. */
    [[nodiscard]] bool isSettled() const;
    /** Waits until it is settled. */
    [[nodiscard]] http::Task<void> waitUntilSettled();

private:
    const base::Clock& clock;
    suspect::StrikeArchive& archive;
    watch::RowFeed& feed;
    watch::RowSink& sink;
    base::SteadyTime startedAt;
    boost::asio::steady_timer timer;
    boost::asio::steady_timer settled; ///< Expires when the time to read the table has passed.
    bool isLoaded = false;
    bool isWaiting = false; ///< For changes, not for the store.
    bool isStopped = false;

    [[nodiscard]] http::Task<void> pause(std::chrono::milliseconds time);
    /** Returns false if the store could not be read. */
    [[nodiscard]] http::Task<bool> load();
    /** Returns false if the store did not acknowledge a write. */
    [[nodiscard]] http::Task<bool> writeChanges();
};

} // namespace chivewinch::gateway
