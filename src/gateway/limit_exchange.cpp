#include "gateway/limit_exchange.hpp"

#include "quota/message.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace chivewinch::gateway {

namespace asio = boost::asio;

LimitExchange::LimitExchange(const asio::any_io_executor& executor, quota::TargetLimits& limits, relay::Relay& relay,
    const base::Clock& clock, base::RandomSource& random)
    : limits { limits }
    , relay { relay }
    , clock { clock }
    , random { random }
    , timer { executor }
{
    relay.addService(path, [this](const std::string& body) { return this->answer(body); });
}

std::optional<std::string> LimitExchange::answer(const std::string& body)
{
    const auto query = quota::decodeLimitQuery(body);
    if (!query)
        return std::nullopt;
    return quota::encode(this->limits.answer(*query, this->clock.now()));
}

http::Task<void> LimitExchange::run()
{
    while (!this->isStopped) {
        this->timer.expires_after(quota::TargetLimits::queryPause(this->random));
        (void)co_await this->timer.async_wait(asio::as_tuple(asio::use_awaitable));
        if (!this->isStopped)
            co_await this->queryNextOwner();
    }
}

void LimitExchange::stop()
{
    this->isStopped = true;
    this->timer.cancel();
}

http::Task<void> LimitExchange::queryNextOwner()
{
    const auto sentAt = this->clock.now();
    const auto next = this->limits.nextQuery(sentAt);
    if (!next)
        co_return;
    // An owner that does not answer needs no handling: the next query goes to another one.
    const auto body = co_await this->relay.call(next->first, path, quota::encode(next->second));
    const auto decoded = body ? quota::decodeLimitAnswer(*body) : std::nullopt;
    if (decoded)
        this->limits.apply(*decoded, sentAt, this->clock.now());
}

} // namespace chivewinch::gateway
