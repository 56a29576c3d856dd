#pragma once

#include "store/scheduler.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <unordered_map>

namespace chivewinch::store_http {

/** Scheduler that uses Asio timers. Must be used only on its executor, which must be a strand. */
class AsioScheduler final : public store::Scheduler {
public:
    explicit AsioScheduler(boost::asio::any_io_executor executor)
        : executor { std::move(executor) }
    {
    }

    store::TimerId after(std::chrono::nanoseconds delay, std::function<void()> callback) override;
    void cancel(store::TimerId timer) override { this->timers->erase(timer); }

private:
    using Timers = std::unordered_map<store::TimerId, std::unique_ptr<boost::asio::steady_timer>>;

    boost::asio::any_io_executor executor;
    std::shared_ptr<Timers> timers = std::make_shared<Timers>();
    std::uint64_t lastId = 0;
};

} // namespace chivewinch::store_http
