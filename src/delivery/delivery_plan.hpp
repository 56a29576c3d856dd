#pragma once

#include "base/clock.hpp"
#include "base/reason.hpp"
#include "delivery/message.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <variant>

namespace chivewinch::delivery {

/** Settings of one request. */
struct PlanOptions {
    bool repeatable = false;
    bool resumable = false; ///< The engine can continue a generation after a given token.
    std::uint32_t maxAttempts = 3;
    base::SteadyTime deadline = base::SteadyTime::max();
    std::chrono::milliseconds retryAfter { 1'000 };
    bool requireProof = true; ///< Off, for tests: a non-repeatable request is retried without a proof of "not run".

    bool operator==(const PlanOptions&) const = default;
};

enum class EventKind : std::uint8_t {
    ConnectFailed, ///< No connection was made.
    NotWritten, ///< The connection failed before any byte of the attempt was written to it.
    Refused, ///< The gate of the agent refused the attempt.
    Cancelled, ///< The agent answered a cancellation; notRun states whether the attempt provably did not run.
    ConnectionLost,
    TimedOut,
    StreamBroken, ///< Broken or incomplete answer frames.
    WrongStart, ///< The target did not continue at the requested token.
    PrefixMismatch, ///< A replayed answer differs from the part that the caller has.
    Complete, ///< The answer is complete.
};

/** What happened to an attempt. */
struct AttemptEvent {
    AttemptKey key;
    EventKind kind = EventKind::ConnectionLost;
    base::RefusalReason refusal = base::RefusalReason::None;
    bool notRun = false; ///< For Refused and Cancelled: the agent proves that the attempt has not run and will not run.
    bool targetCrashed = false;
    Progress delivered; ///< What the caller has received so far, over all attempts.
    std::chrono::milliseconds retryAfter {}; ///< Retry hint of the agent; 0 for none.

    bool operator==(const AttemptEvent&) const = default;
};

/** Run the request again on another target. */
struct Retry {
    base::RetryReason reason = base::RetryReason::None;
    bool replay = false; ///< The caller has part of the answer: open the checker with AnswerStart::Replayed.

    bool operator==(const Retry&) const = default;
};

/** Continue the stream on another target; open the checker with AnswerStart::Resumed. */
struct Resume {
    std::uint64_t fromToken = 0;
    base::RetryReason reason = base::RetryReason::StreamResumed;

    bool operator==(const Resume&) const = default;
};

/** Answer the caller now. */
struct Finish {
    base::Outcome outcome = base::Outcome::Unknown;
    base::RefusalReason reason = base::RefusalReason::None;
    bool streamError = false; ///< The caller has part of an answer: its stream must end with an error.
    std::chrono::milliseconds retryAfter {}; ///< 0 for none.

    bool operator==(const Finish&) const = default;
};

using Action = std::variant<Retry, Resume, Finish>;

/** Decides the next action of a request after each event of its attempts. At most one attempt is open at a time. */
class DeliveryPlan {
public:
    DeliveryPlan(base::RequestId request, PlanOptions options) noexcept;

    /** Opens the next attempt. */
    [[nodiscard]] AttemptKey begin(base::Incarnation incarnation) noexcept;
    /** Returns the next action. An event that does not belong to the open attempt is ignored and returns nullopt. */
    [[nodiscard]] std::optional<Action> handle(const AttemptEvent& event, base::SteadyTime now) noexcept;
    /** Ends the request between or during attempts, for instance if no target or no retry budget is left. */
    [[nodiscard]] Finish giveUp(base::RefusalReason reason, const Progress& delivered) noexcept;

    [[nodiscard]] bool finished() const noexcept { return this->done; }
    /** Whether an attempt may have run without its outcome being known. */
    [[nodiscard]] bool mayHaveRun() const noexcept { return this->possiblyRan; }
    [[nodiscard]] std::uint32_t attempts() const noexcept { return this->lastNumber; }

private:
    [[nodiscard]] bool provesNotRun(const AttemptEvent& event) const noexcept;
    [[nodiscard]] bool mayRetry(const AttemptEvent& event, base::SteadyTime now) const noexcept;
    [[nodiscard]] Action retryAction(const AttemptEvent& event) noexcept;
    [[nodiscard]] Finish finish(base::RefusalReason reason, const Progress& delivered) noexcept;

    base::RequestId request;
    PlanOptions options;
    AttemptKey open;
    std::uint32_t lastNumber = 0;
    bool isOpen = false;
    bool possiblyRan = false;
    bool done = false;
};

} // namespace chivewinch::delivery
