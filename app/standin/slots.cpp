#include "standin/slots.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace chivewinch::standin {

namespace asio = boost::asio;

http::Task<void> Slots::acquire(std::uint32_t priority)
{
    if (this->inUse < this->total) {
        ++this->inUse;
        co_return;
    }
    const auto waiter = std::make_shared<Waiter>(this->context);
    this->waiters.emplace(priority, waiter);
    while (!waiter->granted)
        co_await waiter->timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

void Slots::release()
{
    if (this->waiters.empty()) {
        --this->inUse;
        return;
    }
    // Hands the slot to the first waiter directly, so that no other request can take it in between.
    const auto first = this->waiters.begin();
    first->second->granted = true;
    first->second->timer.cancel();
    this->waiters.erase(first);
}

} // namespace chivewinch::standin
