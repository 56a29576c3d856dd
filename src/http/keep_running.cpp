#include "http/keep_running.hpp"

#include "logging/event.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <chrono>
#include <exception>

namespace chivewinch::http {

namespace internal {

constexpr std::chrono::milliseconds restartPause { 200 };

} // namespace internal

Task<void> keepRunning(std::string name, std::function<Task<void>()> task)
{
    boost::asio::steady_timer pause { co_await boost::asio::this_coro::executor };
    while (true) {
        try {
            co_await task();
            co_return;
        } catch (const std::exception& failure) {
            logging::Event { "task_failed" }.field("task", name).field("reason", failure.what()).error();
        }
        pause.expires_after(internal::restartPause);
        (void)co_await pause.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
    }
}

} // namespace chivewinch::http
