#pragma once

#include "base/clock.hpp"
#include "claim/claim.hpp"
#include "http/message.hpp"
#include "routing/request.hpp"
#include "wire/wire.pb.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <variant>

namespace chivewinch::entry {

/** A reply message of the open attempt. */
struct ReplyReceived {
    wire::AttemptReply reply;
    std::size_t bytes = 0; ///< Receive window to return after the payload was forwarded.
};

/** The stream of an attempt has ended without a final message. */
struct AttemptClosed {
    base::AttemptId attempt;
    bool written = true; ///< False if no byte of the attempt was sent.
    bool connected = true; ///< False if there was no connection to the agent.
};

struct CallerGone { };

/** A target was assigned to the queued request. */
struct TargetGranted {
    routing::Choice choice;
};

/** The queued request was refused. */
struct QueueRefused {
    base::RefusalReason reason = base::RefusalReason::QueueDeadline;
};

struct ClaimResolved {
    claim::ClaimResult result;
};

using RequestEvent = std::variant<ReplyReceived, AttemptClosed, CallerGone, TargetGranted, QueueRefused, ClaimResolved>;

/** Carries events from other strands to the coroutine of one request. push() may be called on any thread. */
class RequestChannel : public std::enable_shared_from_this<RequestChannel> {
public:
    explicit RequestChannel(const boost::asio::any_io_executor& executor)
        : executor { executor }
        , timer { executor }
    {
    }

    void push(RequestEvent event);

    /** Waits for the next event; nullopt if none arrives before `until`. Called by the request's coroutine only. */
    [[nodiscard]] http::Task<std::optional<RequestEvent>> next(base::SteadyTime until);

private:
    boost::asio::any_io_executor executor;
    boost::asio::steady_timer timer;
    std::mutex mutex;
    std::deque<RequestEvent> events;

    [[nodiscard]] std::optional<RequestEvent> take();
};

} // namespace chivewinch::entry
