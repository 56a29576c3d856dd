#include "delivery/delivery_plan.hpp"

#include <algorithm>

namespace chivewinch::delivery {

namespace internal {

base::RetryReason retryReason(const AttemptEvent& event) noexcept
{
    if (event.targetCrashed)
        return base::RetryReason::TargetCrashed;
    switch (event.kind) {
    case EventKind::ConnectFailed:
        return base::RetryReason::ConnectFailed;
    case EventKind::NotWritten:
        return base::RetryReason::NotWritten;
    case EventKind::Refused:
        return base::RetryReason::RefusedByAgent;
    case EventKind::Cancelled:
    case EventKind::TimedOut:
        return base::RetryReason::AttemptTimeout;
    case EventKind::StreamBroken:
    case EventKind::WrongStart:
        return base::RetryReason::StreamBroken;
    case EventKind::ConnectionLost:
    case EventKind::PrefixMismatch:
    case EventKind::Complete:
        break;
    }
    return base::RetryReason::ConnectionLost;
}

bool cannotResume(const AttemptEvent& event) noexcept
{
    return event.kind == EventKind::WrongStart || event.refusal == base::RefusalReason::CannotResume;
}

/** Whether another target would refuse the request for the same reason. */
bool refusedEverywhere(base::RefusalReason reason) noexcept
{
    return reason == base::RefusalReason::SuspectRequest || reason == base::RefusalReason::DeadlinePassed
        || reason == base::RefusalReason::BadRequest || reason == base::RefusalReason::BodyTooLarge;
}

} // namespace internal

DeliveryPlan::DeliveryPlan(base::RequestId request, PlanOptions options) noexcept
    : request { request }
    , options { options }
{
}

AttemptKey DeliveryPlan::begin(base::Incarnation incarnation) noexcept
{
    // An attempt that is still open is abandoned without a reported event, so it may have run.
    this->possiblyRan = this->possiblyRan || this->isOpen;
    this->isOpen = !this->done;
    this->open = { .attempt = { .request = this->request, .number = ++this->lastNumber }, .incarnation = incarnation };
    return this->open;
}

bool DeliveryPlan::provesNotRun(const AttemptEvent& event) const noexcept
{
    switch (event.kind) {
    case EventKind::ConnectFailed:
    case EventKind::NotWritten:
        return true;
    case EventKind::Refused:
    case EventKind::Cancelled:
        return event.notRun;
    default:
        return false;
    }
}

bool DeliveryPlan::mayRetry(const AttemptEvent& event, base::SteadyTime now) const noexcept
{
    if (event.kind == EventKind::PrefixMismatch || internal::refusedEverywhere(event.refusal))
        return false;
    if (this->lastNumber >= this->options.maxAttempts || now >= this->options.deadline)
        return false;
    return this->options.repeatable || !this->possiblyRan || !this->options.requireProof;
}

Action DeliveryPlan::retryAction(const AttemptEvent& event) noexcept
{
    const bool partial = event.delivered.bytes > 0;
    this->options.resumable = this->options.resumable && !internal::cannotResume(event);
    if (partial && this->options.resumable && event.delivered.tokens > 0)
        return Resume { .fromToken = event.delivered.tokens };
    return Retry { .reason = internal::retryReason(event), .replay = partial };
}

std::optional<Action> DeliveryPlan::handle(const AttemptEvent& event, base::SteadyTime now) noexcept
{
    if (this->done || !this->isOpen || event.key != this->open)
        return std::nullopt;
    this->isOpen = false;
    if (event.kind == EventKind::Complete) {
        this->done = true;
        return Finish { .outcome = base::Outcome::Done };
    }
    this->possiblyRan = this->possiblyRan || !this->provesNotRun(event);
    if (this->mayRetry(event, now))
        return this->retryAction(event);
    auto last = this->finish(event.refusal, event.delivered);
    last.retryAfter = std::max(last.retryAfter, event.retryAfter);
    return last;
}

Finish DeliveryPlan::giveUp(base::RefusalReason reason, const Progress& delivered) noexcept
{
    this->possiblyRan = this->possiblyRan || this->isOpen;
    this->isOpen = false;
    return this->finish(reason, delivered);
}

Finish DeliveryPlan::finish(base::RefusalReason reason, const Progress& delivered) noexcept
{
    this->done = true;
    const auto outcome = this->possiblyRan ? base::Outcome::Unknown : base::Outcome::NotRun;
    return {
        .outcome = outcome, .reason = reason, .streamError = delivered.bytes > 0, .retryAfter = this->options.retryAfter
    };
}

} // namespace chivewinch::delivery
