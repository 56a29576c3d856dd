#pragma once

#include "gateway/dispatcher.hpp"
#include "http/message.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>

namespace chivewinch::gateway {

/** Waits for a target on behalf of one request; at most one wait at a time. */
class TargetWait {
public:
    TargetWait(boost::asio::any_io_executor executor, const base::Clock& clock, Dispatcher& dispatcher);

    /** Returns a target for which an attempt has been started in the dispatcher, or nullopt and sets lastReason(). */
    [[nodiscard]] http::Task<std::optional<routing::Choice>> acquire(TargetRequest targetRequest);
    /** Ends the current wait without a target, after the caller has disconnected. */
    void cancel();

    [[nodiscard]] base::RefusalReason lastReason() const noexcept { return this->reason; }

private:
    /** State of one wait; outlives the wait if the dispatcher still holds the notification. */
    struct PendingWait {
        explicit PendingWait(const boost::asio::any_io_executor& executor)
            : timer { executor, boost::asio::steady_timer::time_point::max() }
        {
        }

        boost::asio::steady_timer timer;
        std::optional<routing::Choice> choice;
        bool isDone = false;
    };

    boost::asio::any_io_executor executor;
    const base::Clock& clock;
    Dispatcher& dispatcher;
    std::shared_ptr<PendingWait> pendingWait;
    bool isCancelled = false;
    base::RefusalReason reason = base::RefusalReason::None;
};

} // namespace chivewinch::gateway
