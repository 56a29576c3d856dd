#include "gateway/target_wait.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace chivewinch::gateway {

namespace asio = boost::asio;

TargetWait::TargetWait(asio::any_io_executor executor, const base::Clock& clock, Dispatcher& dispatcher)
    : executor { std::move(executor) }
    , clock { clock }
    , dispatcher { dispatcher }
{
}

void TargetWait::cancel()
{
    this->isCancelled = true;
    if (this->pendingWait)
        this->pendingWait->timer.cancel();
}

http::Task<std::optional<routing::Choice>> TargetWait::acquire(TargetRequest targetRequest)
{
    if (this->isCancelled) {
        this->reason = base::RefusalReason::CancelledBeforeStart;
        co_return std::nullopt;
    }
    this->pendingWait = std::make_shared<PendingWait>(this->executor);
    const auto notify = [pendingWait = this->pendingWait](const std::optional<routing::Choice>& choice) {
        pendingWait->choice = choice;
        pendingWait->isDone = true;
        pendingWait->timer.cancel();
    };
    auto reply = this->dispatcher.request(targetRequest, notify, this->clock.now());
    this->reason = reply.reason;
    if (reply.choice || reply.reason != base::RefusalReason::None)
        co_return reply.choice;
    while (!this->pendingWait->isDone && !this->isCancelled)
        (void)co_await this->pendingWait->timer.async_wait(asio::as_tuple(asio::use_awaitable));
    const auto ended = std::exchange(this->pendingWait, nullptr);
    if (!this->isCancelled) {
        this->reason = ended->choice ? base::RefusalReason::None : base::RefusalReason::QueueDeadline;
        co_return ended->choice;
    }
    this->reason = base::RefusalReason::CancelledBeforeStart;
    const auto now = this->clock.now();
    if (ended->choice)
        this->dispatcher.finished(targetRequest.pool, ended->choice->target, routing::Result::Cancelled, now);
    else
        this->dispatcher.cancel(targetRequest, now);
    co_return std::nullopt;
}

} // namespace chivewinch::gateway
