#include "gateway/strike_store.hpp"

#include "logging/event.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace chivewinch::gateway {

namespace asio = boost::asio;

namespace internal {

constexpr std::chrono::milliseconds storeRetryPause { 300 };

} // namespace internal

StrikeStore::StrikeStore(const asio::any_io_executor& executor, const base::Clock& clock,
    suspect::StrikeArchive& archive, watch::RowFeed& feed, watch::RowSink& sink)
    : clock { clock }
    , archive { archive }
    , feed { feed }
    , sink { sink }
    , startedAt { clock.now() }
    , timer { executor }
    , settled { executor, maxLoadTime }
{
}

bool StrikeStore::isSettled() const { return this->isLoaded || this->clock.now() - this->startedAt >= maxLoadTime; }

http::Task<void> StrikeStore::waitUntilSettled()
{
    if (!this->isSettled())
        (void)co_await this->settled.async_wait(asio::as_tuple(asio::use_awaitable));
}

void StrikeStore::stop()
{
    this->isStopped = true;
    this->timer.cancel();
}

void StrikeStore::wake()
{
    if (this->isWaiting && (this->archive.hasChanges() || this->archive.needsReload()))
        this->timer.cancel();
}

http::Task<void> StrikeStore::pause(std::chrono::milliseconds time)
{
    this->timer.expires_after(time);
    (void)co_await this->timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

http::Task<bool> StrikeStore::load()
{
    watch::FeedError reason;
    const auto page = co_await this->feed.readAll(reason);
    if (!page)
        co_return false;
    suspect::StrikeArchive::Rows rows;
    for (const auto& row : page->rows) {
        if (row.value)
            rows.emplace_back(row.key, *row.value);
    }
    this->archive.load(rows);
    if (!std::exchange(this->isLoaded, true))
        logging::Event { "strikes_loaded" }.field("rows", rows.size()).info();
    this->settled.cancel();
    co_return true;
}

http::Task<bool> StrikeStore::writeChanges()
{
    for (const auto& write : this->archive.writes()) {
        // GCC 12 destroys the operands of a conditional expression with co_await twice.
        auto result = watch::PutResult::Failed;
        if (write.value)
            result = co_await this->sink.put(write.key, *write.value);
        else
            result = co_await this->sink.remove(write.key);
        if (result == watch::PutResult::Failed)
            co_return false;
        this->archive.recordWrite(write);
    }
    co_return true;
}

http::Task<void> StrikeStore::run()
{
    while (!this->isStopped) {
        bool isDone = true;
        if (!this->isLoaded || this->archive.needsReload())
            isDone = co_await this->load();
        if (isDone)
            isDone = co_await this->writeChanges();
        if (!isDone) {
            co_await this->pause(internal::storeRetryPause);
            continue;
        }
        if (this->archive.hasChanges())
            continue;
        this->isWaiting = true;
        this->timer.expires_at(asio::steady_timer::time_point::max());
        (void)co_await this->timer.async_wait(asio::as_tuple(asio::use_awaitable));
        this->isWaiting = false;
    }
}

} // namespace chivewinch::gateway
