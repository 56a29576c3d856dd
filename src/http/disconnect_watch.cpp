#include "http/disconnect_watch.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace chivewinch::http {

namespace asio = boost::asio;

DisconnectWatch::DisconnectWatch(const asio::any_io_executor& executor)
    : executor { executor }
    , ended { executor, asio::steady_timer::time_point::max() }
{
}

void DisconnectWatch::start(ResponseWriter& writer, std::function<void()> onEnd)
{
    this->running = true;
    asio::co_spawn(this->executor, writer.waitForDisconnect(),
        asio::bind_cancellation_slot(this->signal.slot(), [this, onEnd = std::move(onEnd)](const std::exception_ptr&) {
            this->running = false;
            onEnd();
            this->ended.cancel();
        }));
}

Task<void> DisconnectWatch::stop()
{
    this->signal.emit(asio::cancellation_type::all);
    while (this->running)
        co_await this->ended.async_wait(asio::as_tuple(asio::use_awaitable));
}

} // namespace chivewinch::http
