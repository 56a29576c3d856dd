#include "entry/request_channel.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace chivewinch::entry {

void RequestChannel::push(RequestEvent event)
{
    {
        const std::lock_guard lock { this->mutex };
        this->events.push_back(std::move(event));
    }
    boost::asio::post(this->executor, [self = this->shared_from_this()] { self->timer.cancel(); });
}

std::optional<RequestEvent> RequestChannel::take()
{
    const std::lock_guard lock { this->mutex };
    if (this->events.empty())
        return std::nullopt;
    auto event = std::move(this->events.front());
    this->events.pop_front();
    return event;
}

http::Task<std::optional<RequestEvent>> RequestChannel::next(base::SteadyTime until)
{
    auto event = this->take();
    while (!event && std::chrono::steady_clock::now() < until) {
        this->timer.expires_at(until);
        co_await this->timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
        event = this->take();
    }
    co_return event;
}

} // namespace chivewinch::entry
