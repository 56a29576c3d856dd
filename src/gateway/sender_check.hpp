#pragma once

#include "gateway/services.hpp"
#include "http/client.hpp"
#include "membership/listed_targets.hpp"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace chivewinch::gateway {

/** What is known of the process that sent an answer. */
enum class SenderState : std::uint8_t {
    Runs, ///< It ran after the end of the answer.
    Ended, ///< Another process has taken its place.
    Unknown,
};

[[nodiscard]] std::string_view toString(SenderState state) noexcept;

/**
 * Finds out whether the process that sent an answer still runs after the end of the answer. An answer without a length
 * ends with its connection, as it would if the process had ended. A new connection cannot tell the two apart, since
 * another process may accept it. What can is the start time that targets state, or an answer on a connection that the
 * process had accepted before.
 */
class SenderCheck {
public:
    SenderCheck(Services& services, const membership::ListedTarget& target, std::shared_ptr<http::Client> client);

    /** @param answer Answer that has ended with its connection. Takes AttemptOptions::senderCheckTimeout at most. */
    [[nodiscard]] http::Task<SenderState> run(const http::ResponseStream& answer, std::chrono::milliseconds timeLeft);

private:
    Services& services;
    const membership::ListedTarget& target;
    std::shared_ptr<http::Client> client;
    http::EventNumber end = 0;
    base::SteadyTime limit {};

    [[nodiscard]] std::chrono::milliseconds timeLeft() const;
    /** Asks once; nullopt if the connection was closed, so that another one may answer. */
    [[nodiscard]] http::Task<std::optional<SenderState>> ask(const http::ResponseStream& answer);
    [[nodiscard]] http::Task<std::optional<std::string>> readBody(http::ResponseStream& response) const;
};

} // namespace chivewinch::gateway
