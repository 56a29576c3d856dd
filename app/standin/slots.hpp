#pragma once

#include "http/message.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <map>
#include <memory>

namespace chivewinch::standin {

/** Semaphore with a fixed number of slots. Serves waiters by priority, then in arrival order. Not thread-safe. */
class Slots {
public:
    Slots(boost::asio::io_context& context, std::uint32_t count)
        : context { context }
        , total { count }
    {
    }

    /** Completes when a slot has been acquired. Waiters with a larger priority value are served first. */
    [[nodiscard]] http::Task<void> acquire(std::uint32_t priority);
    void release();

    [[nodiscard]] std::uint32_t used() const noexcept { return this->inUse; }
    [[nodiscard]] std::size_t waiting() const noexcept { return this->waiters.size(); }
    [[nodiscard]] std::uint32_t count() const noexcept { return this->total; }

private:
    struct Waiter {
        explicit Waiter(boost::asio::io_context& context)
            : timer { context, boost::asio::steady_timer::time_point::max() }
        {
        }

        boost::asio::steady_timer timer;
        bool granted = false;
    };

    boost::asio::io_context& context;
    std::uint32_t total;
    std::uint32_t inUse = 0;
    std::multimap<std::uint32_t, std::shared_ptr<Waiter>, std::greater<>> waiters;
};

} // namespace chivewinch::standin
