#include "store_http/asio_scheduler.hpp"

#include <utility>

namespace chivewinch::store_http {

store::TimerId AsioScheduler::after(std::chrono::nanoseconds delay, std::function<void()> callback)
{
    const auto id = static_cast<store::TimerId>(++this->lastId);
    auto timer = std::make_unique<boost::asio::steady_timer>(
        this->executor, std::chrono::duration_cast<std::chrono::steady_clock::duration>(delay));
    // A timer that is cancelled after it expired still completes without an error. The callback therefore runs only if
    // the timer is still in the map.
    timer->async_wait([id, weak = std::weak_ptr<Timers> { this->timers }, callback = std::move(callback)](
                          const boost::system::error_code& error) {
        const auto pendingTimers = weak.lock();
        if (!error && pendingTimers && pendingTimers->erase(id) > 0)
            callback();
    });
    this->timers->emplace(id, std::move(timer));
    return id;
}

} // namespace chivewinch::store_http
