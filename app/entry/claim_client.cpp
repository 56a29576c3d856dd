#include "entry/claim_client.hpp"

#include "logging/event.hpp"

#include <boost/asio/post.hpp>

#include <utility>

namespace chivewinch::entry {

namespace internal {

// The claim manager replies by the deadline at the latest; the margin covers the delay on its strand.
constexpr std::chrono::seconds managerReplyMargin { 5 };

claim::ClaimKey keyOf(const CallerRequest& request)
{
    return { .team = request.team->id, .key = request.idempotencyKey };
}

std::string bodyHashOf(const CallerRequest& request)
{
    return claim::contentHash(request.service + "\n" + request.method + "\n" + request.path + "\n" + request.body);
}

} // namespace internal

http::Task<claim::ClaimResult> ClaimClient::claim(const CallerRequest& request, std::shared_ptr<RequestChannel> channel)
{
    claim::ClaimRequest claimRequest;
    claimRequest.key = internal::keyOf(request);
    claimRequest.bodyHash = internal::bodyHashOf(request);
    claimRequest.deadline = request.deadline;
    boost::asio::post(this->strand, [this, claimRequest = std::move(claimRequest), channel] {
        this->manager.claim(claimRequest,
            [channel](const claim::ClaimResult& result) { channel->push(ClaimResolved { .result = result }); });
    });
    while (true) {
        // CallerGone is ignored here, since a granted claim must be settled even after the caller has disconnected.
        auto event = co_await channel->next(request.deadline + internal::managerReplyMargin);
        if (!event) {
            logging::Event { "claim_not_answered" }.field("request", base::toString(request.id)).error();
            co_return claim::InProgress {};
        }
        if (auto* answered = std::get_if<ClaimResolved>(&*event))
            co_return std::move(answered->result);
    }
}

void ClaimClient::settle(const CallerRequest& request, std::uint64_t nonce, claim::Settlement settlement)
{
    boost::asio::post(
        this->strand, [this, key = internal::keyOf(request), nonce, settlement = std::move(settlement)]() mutable {
            this->manager.settle(key, nonce, std::move(settlement), [](bool) {});
        });
}

} // namespace chivewinch::entry
