#pragma once

#include "gateway/dispatcher.hpp"
#include "http/message.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>

namespace chivewinch::gateway {

/** Waits of one request for a target; at most one at a time. */
class TargetWait {
public:
    TargetWait(boost::asio::any_io_executor executor, const base::Clock& clock, Dispatcher& dispatcher);

    /** Target whose attempt has started, or nullopt and a last reason. */
    [[nodiscard]] http::Task<std::optional<routing::Choice>> acquire(Demand demand);
    /** The caller has left: a present wait ends without a target. */
    void cancel();

    [[nodiscard]] base::RefusalReason lastReason() const noexcept { return this->reason; }

private:
    /** Outlives the wait if the dispatcher still holds the notification. */
    struct Grant {
        explicit Grant(const boost::asio::any_io_executor& executor)
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
    std::shared_ptr<Grant> grant;
    bool isCancelled = false;
    base::RefusalReason reason = base::RefusalReason::None;
};

} // namespace chivewinch::gateway
