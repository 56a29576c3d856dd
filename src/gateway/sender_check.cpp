#include "gateway/sender_check.hpp"

#include "http/status.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace chivewinch::gateway {

namespace internal {

constexpr std::array<std::string_view, 3> senderStateNames { "runs", "ended", "unknown" };
// Connections that were closed meanwhile are passed over.
constexpr int maxConnectionsAsked = 5;
constexpr std::size_t maxStateBytes = std::size_t { 64 } << 10;

} // namespace internal

std::string_view toString(SenderState state) noexcept
{
    return internal::senderStateNames[static_cast<std::size_t>(state)];
}

SenderCheck::SenderCheck(
    Services& services, const membership::ListedTarget& target, std::shared_ptr<http::Client> client)
    : services { services }
    , target { target }
    , client { std::move(client) }
{
}

std::chrono::milliseconds SenderCheck::timeLeft() const
{
    return std::chrono::floor<std::chrono::milliseconds>(this->limit - this->services.clock.now());
}

http::Task<SenderState> SenderCheck::run(const http::ResponseStream& answer, std::chrono::milliseconds timeLeft)
{
    this->end = this->client->nextEvent();
    this->limit = this->services.clock.now() + std::min(timeLeft, this->services.options.attempts.senderCheckTimeout);
    for (int asked = 0; asked < internal::maxConnectionsAsked; ++asked) {
        if (this->timeLeft().count() <= 0)
            break;
        if (const auto state = co_await this->ask(answer))
            co_return *state;
    }
    co_return SenderState::Unknown;
}

http::Task<std::optional<SenderState>> SenderCheck::ask(const http::ResponseStream& answer)
{
    const auto& identity = this->services.options.targetIdentity;
    const auto& names = this->services.options.headers;
    // Without an ID, no target takes it for a request to run.
    auto request = http::makeRequest("GET", identity.path);
    request.set(names.expectedTarget, this->target.id);
    const http::SendOptions options { .readTimeout = this->timeLeft(), .oldestConnection = true };
    http::Error reason;
    const auto response = co_await this->client->open(std::move(request), options, reason);
    if (!response && reason.code == http::ErrorCode::NoResponse)
        co_return std::nullopt;
    if (!response)
        co_return SenderState::Unknown;
    // A faulty target may answer an earlier request of the connection once more.
    if (!response->header(names.requestId).empty())
        co_return SenderState::Unknown;
    response->recordAnswered();
    if (response->status() == http::status::misdirected)
        co_return SenderState::Ended;
    if (this->client->senderRanAt(answer, this->end))
        co_return SenderState::Runs;
    const auto body = co_await this->readBody(*response);
    const auto incarnation = body && identity.incarnation ? identity.incarnation(*body) : std::nullopt;
    if (incarnation && this->target.incarnation != base::Incarnation {})
        co_return *incarnation == this->target.incarnation ? SenderState::Runs : SenderState::Ended;
    this->services.clients.keepWitnesses(this->target.pool);
    // All other idle connections are younger than this one.
    co_return SenderState::Unknown;
}

http::Task<std::optional<std::string>> SenderCheck::readBody(http::ResponseStream& response) const
{
    std::string body;
    http::Error reason;
    while (body.size() <= internal::maxStateBytes) {
        response.setReadTimeout(std::max(this->timeLeft(), std::chrono::milliseconds { 0 }));
        const auto bytes = co_await response.read(reason);
        if (!bytes)
            co_return std::nullopt;
        if (bytes->empty())
            co_return body;
        body += *bytes;
    }
    co_return std::nullopt;
}

} // namespace chivewinch::gateway
