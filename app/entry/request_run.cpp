#include "entry/request_run.hpp"

#include "logging/event.hpp"

#include <utility>

namespace chivewinch::entry {

namespace internal {

// Attempts that a busy or draining agent refuses count too, so the limit leaves room for two failures besides them.
constexpr std::uint32_t maxAttempts = 4;
constexpr std::chrono::milliseconds defaultRetryAfter { 1000 };

delivery::PlanOptions planOptions(const CallerRequest& request)
{
    delivery::PlanOptions options;
    options.repeatable = request.repeatable;
    options.resumable = request.stream;
    options.maxAttempts = maxAttempts;
    options.deadline = request.deadline;
    options.retryAfter = defaultRetryAfter;
    return options;
}

routing::Result routingResult(const delivery::AttemptEvent& event, bool deadlinePassed)
{
    // A time-out at the caller's deadline does not show that the target failed: the deadline may have been too short.
    if (event.kind == delivery::EventKind::TimedOut && deadlinePassed)
        return routing::Result::Cancelled;
    switch (event.kind) {
    case delivery::EventKind::Complete:
        return routing::Result::Success;
    case delivery::EventKind::Cancelled:
        return routing::Result::Cancelled;
    case delivery::EventKind::Refused:
        return event.notRun ? routing::Result::Refused : routing::Result::Failure;
    default:
        return routing::Result::Failure;
    }
}

usage::Result usageResult(const delivery::AttemptEvent& event)
{
    switch (event.kind) {
    case delivery::EventKind::Complete:
        return usage::Result::Done;
    case delivery::EventKind::Cancelled:
        return usage::Result::Cancelled;
    case delivery::EventKind::ConnectFailed:
    case delivery::EventKind::NotWritten:
        return usage::Result::Refused;
    default:
        return event.notRun ? usage::Result::Refused : usage::Result::Broken;
    }
}

} // namespace internal

RequestRun::RequestRun(Services& services, const CallerRequest& request, http::ResponseWriter& writer,
    std::shared_ptr<RequestChannel> requestChannel)
    : services { services }
    , request { request }
    , channel { std::move(requestChannel) }
    , plan { request.id, internal::planOptions(request) }
    , sink { services, request, writer }
    , chooser { services, request, this->channel }
{
}

http::Task<RequestRun::Result> RequestRun::run()
{
    while (true) {
        const auto choice = co_await this->chooser.choose(this->plan.attempts() + 1);
        if (!choice) {
            this->callerGone = this->callerGone || this->chooser.callerGone();
            co_return co_await this->finish(this->plan.giveUp(this->chooser.lastReason(), this->checker.delivered()));
        }
        const auto action = co_await this->runAttempt(*choice);
        if (const auto* end = std::get_if<delivery::Finish>(&action))
            co_return co_await this->finish(*end);
        if (!this->mayRetry(action))
            co_return co_await this->finish(
                this->plan.giveUp(base::RefusalReason::RetryBudget, this->checker.delivered()));
        this->prepareNext(action);
    }
}

http::Task<delivery::Action> RequestRun::runAttempt(routing::Choice choice)
{
    Attempt::Start start;
    start.key = this->plan.begin(choice.incarnation);
    start.choice = std::move(choice);
    start.fromToken = this->fromToken;
    this->checker.open(start.key, this->answerStart);
    this->services.tables.suspects.with(
        [&](Suspects& suspects) { suspects.guard.started(this->request.fingerprint, start.choice.target); });

    Attempt::Context context { this->services, this->request, this->checker, this->sink, this->channel };
    Attempt attempt { std::move(context), std::move(start) };
    const auto event = co_await attempt.run();
    this->callerGone = this->callerGone || attempt.callerGone();
    this->closeAttempt(attempt, event);
    this->chooser.exclude(attempt.target());
    const auto action = this->plan.handle(event, this->services.clock.now());
    if (action)
        co_return *action;
    co_return this->plan.giveUp(base::RefusalReason::NoTarget, this->checker.delivered());
}

bool RequestRun::mayRetry(const delivery::Action& action)
{
    const auto* retry = std::get_if<delivery::Retry>(&action);
    const bool unsent = retry != nullptr
        && (retry->reason == base::RetryReason::ConnectFailed || retry->reason == base::RetryReason::NotWritten);
    // An attempt that was never sent put no load on a target, so it doesn't count against the retry budget.
    if (unsent)
        return true;
    return this->services.tables.routing.with([this](Routing& routing) {
        return routing.router.allowRetry(this->request.pool(), this->services.clock.now());
    });
}

void RequestRun::prepareNext(const delivery::Action& action)
{
    if (const auto* resume = std::get_if<delivery::Resume>(&action)) {
        this->services.metrics.retried(resume->reason);
        this->answerStart = delivery::AnswerStart::Resumed;
        this->fromToken = resume->fromToken;
        return;
    }
    const auto& retry = std::get<delivery::Retry>(action);
    this->services.metrics.retried(retry.reason);
    this->answerStart = retry.replay ? delivery::AnswerStart::Replayed : delivery::AnswerStart::Fresh;
    this->fromToken = 0;
    if (!retry.replay)
        this->sink.restart();
}

void RequestRun::closeAttempt(const Attempt& attempt, const delivery::AttemptEvent& event)
{
    this->updateStrikes(attempt, event);
    this->updateTargetLoad(attempt, event);
    this->services.countUsage(attempt.usageRecord(internal::usageResult(event)));
    if (event.kind == delivery::EventKind::Complete)
        return;
    logging::Event { "attempt_ended" }
        .field("request", base::toString(this->request.id))
        .field("attempt", event.key.attempt.number)
        .field("target", attempt.target())
        .field("kind", static_cast<int>(event.kind))
        .field("refusal", base::toString(event.refusal))
        .field("not_run", event.notRun)
        .info();
}

void RequestRun::updateStrikes(const Attempt& attempt, const delivery::AttemptEvent& event)
{
    this->services.tables.suspects.with([&](Suspects& suspects) {
        if (event.kind == delivery::EventKind::Complete)
            suspects.strikes.recordCompletion(this->request.fingerprint);
        // As long as the agent is connected, it reports a crash of its target itself.
        if (event.kind == delivery::EventKind::ConnectionLost)
            suspects.strikes.recordCrash(
                attempt.target(), event.key.incarnation, std::array { this->request.fingerprint });
        suspects.guard.finished(this->request.fingerprint);
    });
}

void RequestRun::updateTargetLoad(const Attempt& attempt, const delivery::AttemptEvent& event)
{
    const auto now = this->services.clock.now();
    if (event.kind == delivery::EventKind::Complete)
        this->services.tables.limits.with([now](Limits& limits) { limits.shedder.served(now); });
    this->services.tables.routing.with([&](Routing& routing) {
        routing.router.finished(attempt.target(), internal::routingResult(event, now >= this->request.deadline),
            toRoutingLoad(attempt.load()), now);
        routing.waiting.served(this->request.pool(), now);
        routing.waiting.advance(routing.router, now);
    });
}

http::Task<RequestRun::Result> RequestRun::finish(delivery::Finish end)
{
    Result result;
    result.outcome = end.outcome;
    result.reason = end.reason;
    if (end.outcome == base::Outcome::Done) {
        co_await this->sink.finish();
        result.answer = this->sink.takeAnswer();
        co_return result;
    }
    if (this->callerGone)
        co_return result;
    ApiError error;
    error.outcome = end.outcome;
    error.reason = end.reason;
    // A request that crashes targets must not be sent again, so it gets no Retry-After.
    if (end.reason != base::RefusalReason::SuspectRequest)
        error.retryAfter = end.retryAfter;
    co_await this->sink.fail(error);
    co_return result;
}

} // namespace chivewinch::entry
