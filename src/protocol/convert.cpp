#include "protocol/convert.hpp"

#include <algorithm>
#include <limits>

namespace chivewinch::protocol {

void assign(wire::AttemptId& out, const base::AttemptId& id)
{
    out.mutable_request()->set_high(id.request.high);
    out.mutable_request()->set_low(id.request.low);
    out.set_number(id.number);
}

base::AttemptId toAttemptId(const wire::AttemptId& id)
{
    return { .request = { .high = id.request().high(), .low = id.request().low() }, .number = id.number() };
}

std::int64_t toUnixMillis(base::WallTime time)
{
    return std::chrono::floor<std::chrono::milliseconds>(time.time_since_epoch()).count();
}

base::WallTime fromUnixMillis(std::int64_t millis)
{
    // A peer may send any value. The value is clamped so that its conversion to nanoseconds does not overflow.
    constexpr std::int64_t maxMillis = std::numeric_limits<std::int64_t>::max() / 1'000'000;
    return base::WallTime { std::chrono::milliseconds { std::clamp<std::int64_t>(millis, 0, maxMillis) } };
}

delivery::AttemptStart toAttemptStart(const wire::AttemptStart& message)
{
    return {
        .key = keyOf(message),
        .issued = fromUnixMillis(message.issued_unix_ms()),
        .lifetime = std::chrono::milliseconds { message.lifetime_ms() },
        .remaining = std::chrono::milliseconds { message.deadline_ms() },
        .fingerprint = message.fingerprint(),
    };
}

delivery::CancelRequest toCancelRequest(const wire::Cancel& message)
{
    return { .key = keyOf(message), .issued = fromUnixMillis(message.issued_unix_ms()) };
}

delivery::AnswerFrame toAnswerFrame(const wire::AnswerFrame& message)
{
    return {
        .key = keyOf(message),
        .sequence = message.sequence(),
        .payload = message.payload(),
        .tokens = message.tokens(),
    };
}

delivery::AnswerHead toAnswerHead(const wire::AnswerHead& message)
{
    return { .key = keyOf(message), .fromToken = message.from_token() };
}

delivery::FinalFrame toFinalFrame(const wire::FinalFrame& message)
{
    return {
        .key = keyOf(message),
        .frames = message.frames(),
        .bytes = message.bytes(),
        .digest = message.digest(),
    };
}

void assignStrikes(wire::Heartbeat& out, const suspect::StrikeList& strikes)
{
    for (const auto& report : strikes) {
        auto& strike = *out.add_strikes();
        strike.set_fingerprint(report.strike.fingerprint);
        strike.set_target(report.strike.target);
        strike.set_target_incarnation(static_cast<std::uint64_t>(report.strike.incarnation));
        strike.set_age_ms(static_cast<std::uint32_t>(report.age.count()));
        strike.set_cleared(report.cleared);
    }
}

suspect::StrikeList toStrikes(const wire::Heartbeat& message)
{
    suspect::StrikeList strikes;
    for (const auto& strike : message.strikes()) {
        strikes.push_back({
            .strike = { .fingerprint = strike.fingerprint(),
                .target = strike.target(),
                .incarnation = base::Incarnation { strike.target_incarnation() } },
            .age = std::chrono::milliseconds { strike.age_ms() },
            .cleared = strike.cleared(),
        });
    }
    return strikes;
}

} // namespace chivewinch::protocol
