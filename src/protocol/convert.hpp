#pragma once

#include "delivery/message.hpp"
#include "suspect/strike.hpp"
#include "wire/wire.pb.h"

namespace chivewinch::protocol {

/** Request paths of the HTTP/2 streams between processes. */
inline constexpr const char* controlPath = "/control";
inline constexpr const char* attemptPath = "/attempt";

void assign(wire::AttemptId& out, const base::AttemptId& id);
[[nodiscard]] base::AttemptId toAttemptId(const wire::AttemptId& id);

[[nodiscard]] std::int64_t toUnixMillis(base::WallTime time);
[[nodiscard]] base::WallTime fromUnixMillis(std::int64_t millis);

/** Attempt key of a message with an attempt identifier and an agent incarnation. */
template <typename Message> [[nodiscard]] delivery::AttemptKey keyOf(const Message& message)
{
    return { .attempt = toAttemptId(message.attempt()),
        .incarnation = base::Incarnation { message.agent_incarnation() } };
}

template <typename Message> void assignKey(Message& message, const delivery::AttemptKey& key)
{
    assign(*message.mutable_attempt(), key.attempt);
    message.set_agent_incarnation(static_cast<std::uint64_t>(key.incarnation));
}

[[nodiscard]] delivery::AttemptStart toAttemptStart(const wire::AttemptStart& message);
[[nodiscard]] delivery::CancelRequest toCancelRequest(const wire::Cancel& message);

/** The payload of the result refers to the memory of the message. */
[[nodiscard]] delivery::AnswerFrame toAnswerFrame(const wire::AnswerFrame& message);
[[nodiscard]] delivery::AnswerHead toAnswerHead(const wire::AnswerHead& message);
[[nodiscard]] delivery::FinalFrame toFinalFrame(const wire::FinalFrame& message);

void assignStrikes(wire::Heartbeat& out, const suspect::StrikeList& strikes);
[[nodiscard]] suspect::StrikeList toStrikes(const wire::Heartbeat& message);

} // namespace chivewinch::protocol
