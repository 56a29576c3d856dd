#pragma once

#include "base/clock.hpp"
#include "base/random.hpp"
#include "http/message.hpp"
#include "quota/target_limits.hpp"
#include "relay/relay.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <optional>
#include <string>

namespace chivewinch::gateway {

/** Exchanges permits and statements about request limits with the other processes. Used on one executor only. */
class LimitExchange {
public:
    static constexpr const char* path = "/limits";

    /** The limits, the relay and the clock must outlive the exchange. */
    LimitExchange(const boost::asio::any_io_executor& executor, quota::TargetLimits& limits, relay::Relay& relay,
        const base::Clock& clock, base::RandomSource& random);

    /** Queries the owners of the limits, one in each interval, until stop. */
    [[nodiscard]] http::Task<void> run();
    void stop();

private:
    quota::TargetLimits& limits;
    relay::Relay& relay;
    const base::Clock& clock;
    base::RandomSource& random;
    boost::asio::steady_timer timer;
    bool isStopped = false;

    [[nodiscard]] std::optional<std::string> answer(const std::string& body);
    [[nodiscard]] http::Task<void> queryNextOwner();
};

} // namespace chivewinch::gateway
