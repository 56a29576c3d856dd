#pragma once

#include "claim/claim_manager.hpp"
#include "entry/caller_request.hpp"
#include "entry/request_channel.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <memory>

namespace chivewinch::entry {

/** Lets request coroutines use the claim keeper, which lives on the control strand. */
class ClaimDesk {
public:
    ClaimDesk(boost::asio::any_io_executor strand, claim::ClaimManager& manager)
        : strand { std::move(strand) }
        , manager { manager }
    {
    }

    /** Claims the key of a request. */
    [[nodiscard]] http::Task<claim::ClaimResult> claim(
        const CallerRequest& request, std::shared_ptr<RequestChannel> channel);
    /** Records how a granted request ended. */
    void settle(const CallerRequest& request, std::uint64_t nonce, claim::Settlement settlement);

private:
    boost::asio::any_io_executor strand;
    claim::ClaimManager& manager;
};

/** Whether the request needs a claim before it is run. */
[[nodiscard]] inline bool needsClaim(const CallerRequest& request) noexcept
{
    return !request.repeatable && !request.idempotencyKey.empty();
}

} // namespace chivewinch::entry
