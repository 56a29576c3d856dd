#pragma once

#include "claim/claim_manager.hpp"
#include "entry/caller_request.hpp"
#include "entry/request_channel.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <memory>

namespace chivewinch::entry {

/** Gives request coroutines access to the claim manager, which runs on the control strand. */
class ClaimClient {
public:
    ClaimClient(boost::asio::any_io_executor strand, claim::ClaimManager& manager)
        : strand { std::move(strand) }
        , manager { manager }
    {
    }

    /** Claims the idempotency key of a request. */
    [[nodiscard]] http::Task<claim::ClaimResult> claim(
        const CallerRequest& request, std::shared_ptr<RequestChannel> channel);
    /** Records the outcome of a request whose claim was granted. */
    void settle(const CallerRequest& request, std::uint64_t nonce, claim::Settlement settlement);

private:
    boost::asio::any_io_executor strand;
    claim::ClaimManager& manager;
};

/** Whether the request needs a claim before it runs: it is non-repeatable and has an idempotency key. */
[[nodiscard]] inline bool needsClaim(const CallerRequest& request) noexcept
{
    return !request.repeatable && !request.idempotencyKey.empty();
}

} // namespace chivewinch::entry
