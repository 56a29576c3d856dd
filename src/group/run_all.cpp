#include "group/run_all.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <exception>
#include <utility>

namespace chivewinch::group {

namespace asio = boost::asio;

http::Task<void> runAll(asio::any_io_executor executor, std::vector<http::Task<void>> tasks)
{
    asio::steady_timer ended { executor, asio::steady_timer::time_point::max() };
    auto open = tasks.size();
    for (auto& task : tasks) {
        asio::co_spawn(executor, std::move(task), [&ended, &open](const std::exception_ptr&) {
            if (--open == 0)
                ended.cancel();
        });
    }
    while (open > 0)
        (void)co_await ended.async_wait(asio::as_tuple(asio::use_awaitable));
}

} // namespace chivewinch::group
