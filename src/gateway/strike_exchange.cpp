#include "gateway/strike_exchange.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <chrono>
#include <utility>

namespace chivewinch::gateway {

namespace asio = boost::asio;

namespace internal {

constexpr std::size_t senders = 3;

// Pause of a sender without a message. New strikes end it.
constexpr std::chrono::milliseconds senderPause { 250 };

} // namespace internal

StrikeExchange::StrikeExchange(
    const asio::any_io_executor& executor, suspect::SharedStrikes& strikes, relay::Relay& relay, std::string path)
    : strikes { strikes }
    , relay { relay }
    , path { std::move(path) }
{
    for (std::size_t index = 0; index < internal::senders; ++index)
        this->timers.emplace_back(executor);
    relay.addService(this->path, [this](const std::string& body) { return this->answer(body); });
}

std::optional<std::string> StrikeExchange::answer(const std::string& body)
{
    const auto message = suspect::decodeStrikeMessage(body);
    if (!message)
        return std::nullopt;
    auto reply = suspect::encode(this->strikes.answer(*message));
    if (this->strikes.hasNews())
        this->wake();
    return reply;
}

void StrikeExchange::wake()
{
    for (auto& timer : this->timers)
        timer.cancel();
}

void StrikeExchange::stop()
{
    this->isStopped = true;
    this->wake();
}

http::Task<void> StrikeExchange::runSender(std::size_t index)
{
    while (!this->isStopped) {
        if (auto outgoing = this->strikes.next()) {
            co_await this->send(std::move(*outgoing));
            continue;
        }
        auto& timer = this->timers[index];
        timer.expires_after(internal::senderPause);
        (void)co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

http::Task<void> StrikeExchange::send(suspect::SharedStrikes::Outgoing outgoing)
{
    const auto body = co_await this->relay.call(outgoing.instance, this->path, suspect::encode(outgoing.message));
    const auto reply = body ? suspect::decodeStrikeMessage(*body) : std::nullopt;
    if (reply)
        this->strikes.delivered(outgoing, *reply);
    else
        this->strikes.failed(outgoing);
}

http::Task<std::optional<bool>> StrikeExchange::requestTrial(std::string granter, std::uint64_t fingerprint)
{
    suspect::SharedStrikes::Outgoing outgoing { .instance = std::move(granter),
        .message = this->strikes.trialRequest(fingerprint) };
    const auto body = co_await this->relay.call(outgoing.instance, this->path, suspect::encode(outgoing.message));
    const auto reply = body ? suspect::decodeStrikeMessage(*body) : std::nullopt;
    if (!reply)
        co_return std::nullopt;
    this->strikes.delivered(outgoing, *reply);
    co_return reply->grantsTrial;
}

http::Task<void> StrikeExchange::endTrial(std::string granter, std::uint64_t fingerprint, bool isCompleted)
{
    const suspect::StrikeMessage message { .trial = fingerprint, .returnsTrial = true, .completesTrial = isCompleted };
    // If the message is lost, the granter grants the next trial later.
    (void)co_await this->relay.call(std::move(granter), this->path, suspect::encode(message));
}

} // namespace chivewinch::gateway
