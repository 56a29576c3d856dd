#pragma once

#include "http/message.hpp"
#include "relay/relay.hpp"
#include "suspect/shared_strikes.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace chivewinch::gateway {

/** Exchanges strikes and requests for trials with the other processes. Used on one executor only. */
class StrikeExchange {
public:
    /** @param path Distinguishes this exchange from others of the relay. The strikes and the relay must outlive it. */
    StrikeExchange(const boost::asio::any_io_executor& executor, suspect::SharedStrikes& strikes, relay::Relay& relay,
        std::string path);

    /** Sends messages until stop. Several senders may run, so that a peer that does not answer delays no other one. */
    [[nodiscard]] http::Task<void> runSender(std::size_t index);
    [[nodiscard]] std::size_t senderCount() const noexcept { return this->timers.size(); }
    /** Must be called when there are new strikes to send. */
    void wake();
    void stop();

    /** Asks another process for a trial; nullopt if it does not answer. */
    [[nodiscard]] http::Task<std::optional<bool>> requestTrial(std::string granter, std::uint64_t fingerprint);
    /** Tells the process that has granted a trial that it has ended without a crash. */
    [[nodiscard]] http::Task<void> endTrial(std::string granter, std::uint64_t fingerprint, bool isCompleted);

private:
    suspect::SharedStrikes& strikes;
    relay::Relay& relay;
    std::string path;
    std::vector<boost::asio::steady_timer> timers; ///< One per sender.
    bool isStopped = false;

    [[nodiscard]] std::optional<std::string> answer(const std::string& body);
    [[nodiscard]] http::Task<void> send(suspect::SharedStrikes::Outgoing outgoing);
};

} // namespace chivewinch::gateway
