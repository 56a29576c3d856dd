#include "entry/request_run.hpp"

#include "http/sse.hpp"
#include "logging/event.hpp"
#include "protocol/convert.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace chivewinch::entry {

namespace internal {

// Longest life of an attempt message on its way; the agent refuses later copies.
constexpr std::chrono::seconds attemptLifetime { 10 };

// Window is returned in pieces of this size, since each return crosses to the link's strand.
constexpr std::size_t windowReturnBytes = 16U << 10;

// Shortest pause before a suspect that cannot run yet is tried again.
constexpr std::chrono::milliseconds minSuspicionWait { 20 };

constexpr std::uint32_t maxAttempts = 3;
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

bool isTargetFailure(delivery::EventKind kind)
{
    using Kind = delivery::EventKind;
    return kind == Kind::ConnectFailed || kind == Kind::NotWritten || kind == Kind::ConnectionLost
        || kind == Kind::TimedOut || kind == Kind::StreamBroken || kind == Kind::WrongStart
        || kind == Kind::PrefixMismatch;
}

routing::Result resultOf(const delivery::AttemptEvent& event)
{
    if (event.kind == delivery::EventKind::Complete)
        return routing::Result::Success;
    if (event.kind == delivery::EventKind::Refused)
        return event.notRun ? routing::Result::Refused : routing::Result::Failure;
    return isTargetFailure(event.kind) ? routing::Result::Failure : routing::Result::Cancelled;
}

usage::Result usageOf(const delivery::AttemptEvent& event)
{
    if (event.kind == delivery::EventKind::Complete)
        return usage::Result::Done;
    if (event.kind == delivery::EventKind::Cancelled)
        return usage::Result::Cancelled;
    const bool notRun = event.notRun || event.kind == delivery::EventKind::ConnectFailed
        || event.kind == delivery::EventKind::NotWritten;
    return notRun ? usage::Result::Refused : usage::Result::Broken;
}

std::optional<routing::LoadReport> loadOf(const std::optional<wire::LoadReport>& report)
{
    if (!report)
        return std::nullopt;
    return routing::LoadReport {
        .inFlight = report->in_flight(), .queued = report->queued(), .capacity = report->capacity()
    };
}

std::uint8_t queuePriority(std::uint32_t priority)
{
    // Bundles have priorities 0 to 9, the queue has 0 to 7.
    return static_cast<std::uint8_t>(priority * 7 / 9);
}

} // namespace internal

RequestRun::RequestRun(Services& services, const CallerRequest& request, http::ResponseWriter& writer,
    std::shared_ptr<RequestChannel> channel)
    : services { services }
    , request { request }
    , writer { writer }
    , channel { std::move(channel) }
    , plan { request.id, internal::planOptions(request) }
{
}

http::Task<RequestRun::Result> RequestRun::run()
{
    auto start = delivery::AnswerStart::Fresh;
    std::uint64_t fromToken = 0;
    while (true) {
        auto refusal = base::RefusalReason::NoTarget;
        const auto choice = co_await this->chooseTarget(refusal);
        if (!choice)
            co_return co_await this->finishWithError(this->plan.giveUp(refusal, this->checker.delivered()));
        auto attempt = this->openAttempt(*choice, start, fromToken);
        const auto event = co_await this->followAttempt(attempt);
        this->closeAttempt(attempt, event);
        const auto action = this->plan.handle(event, this->services.clock.now());
        if (!action)
            co_return co_await this->finishWithError(
                this->plan.giveUp(base::RefusalReason::NoTarget, this->checker.delivered()));
        if (const auto* finish = std::get_if<delivery::Finish>(&*action)) {
            if (finish->outcome == base::Outcome::Done)
                co_return co_await this->finishDone();
            co_return co_await this->finishWithError(*finish);
        }
        const bool allowed = this->services.tables.routing.with([this](Routing& routing) {
            return routing.router.allowRetry(this->request.pool(), this->services.clock.now());
        });
        if (!allowed)
            co_return co_await this->finishWithError(
                this->plan.giveUp(base::RefusalReason::RetryBudget, this->checker.delivered()));
        this->excluded.push_back(attempt.target);
        if (const auto* resume = std::get_if<delivery::Resume>(&*action)) {
            this->services.metrics.retried(resume->reason);
            start = delivery::AnswerStart::Resumed;
            fromToken = resume->fromToken;
        } else {
            const auto& retry = std::get<delivery::Retry>(*action);
            this->services.metrics.retried(retry.reason);
            start = retry.replay ? delivery::AnswerStart::Replayed : delivery::AnswerStart::Fresh;
            fromToken = 0;
            if (!retry.replay)
                this->answer = {};
        }
    }
}

routing::RouteRequest RequestRun::routeRequest(const std::vector<base::TargetId>& without) const
{
    return { .pool = this->request.pool(),
        .prefixHash = this->request.prefixHash,
        .attempt = this->plan.attempts() + 1,
        .excluded = without };
}

base::RefusalReason RequestRun::applySuspicion(
    std::vector<base::TargetId>& without, std::chrono::nanoseconds& wait) const
{
    const auto& pool = this->request.pool();
    const auto& targets = this->request.model.empty() ? this->request.snapshot->targetsByService(pool)
                                                      : this->request.snapshot->targetsByModel(pool);
    std::vector<base::TargetId> inZone;
    for (const auto* target : targets) {
        if (target->zone == this->services.options.zone)
            inZone.push_back(target->id);
    }
    // A pool without targets in this zone is served from the others, where the strikes of this zone still count.
    if (inZone.empty()) {
        for (const auto* target : targets)
            inZone.push_back(target->id);
    }
    const auto placement = this->services.tables.suspects.with(
        [&](Suspects& suspects) { return suspects.guard.place(this->request.fingerprint, inZone, inZone); });
    if (placement.refusal != base::RefusalReason::None) {
        wait = placement.retryAfter;
        return placement.refusal;
    }
    for (const auto& target : inZone) {
        if (std::ranges::find(placement.targets, target) == placement.targets.end())
            without.push_back(target);
    }
    return base::RefusalReason::None;
}

std::optional<routing::Choice> RequestRun::tryChoose(base::RefusalReason& refusal, std::chrono::nanoseconds& wait)
{
    auto without = this->excluded;
    // Without any target in this zone the request may still be sent to another one.
    refusal = this->applySuspicion(without, wait);
    if (refusal == base::RefusalReason::SuspectRequest || refusal == base::RefusalReason::SuspectBusy)
        return std::nullopt;
    return this->services.tables.routing.with([&](Routing& routing) -> std::optional<routing::Choice> {
        const auto now = this->services.clock.now();
        const auto routeRequest = this->routeRequest(without);
        auto choice = routing.router.choose(routeRequest, now);
        refusal = routing.router.lastReason();
        if (choice)
            routing.router.started(routeRequest, *choice, now);
        return choice;
    });
}

http::Task<std::optional<routing::Choice>> RequestRun::chooseTarget(base::RefusalReason& refusal)
{
    while (true) {
        std::chrono::nanoseconds wait {};
        auto choice = this->tryChoose(refusal, wait);
        if (choice)
            co_return choice;
        if (refusal == base::RefusalReason::TargetBusy)
            co_return co_await this->waitForTarget(refusal);
        if (refusal != base::RefusalReason::SuspectBusy)
            co_return std::nullopt;
        const bool waited = co_await this->waitForSuspicion(wait);
        if (!waited)
            co_return std::nullopt;
    }
}

http::Task<bool> RequestRun::waitForSuspicion(std::chrono::nanoseconds wait)
{
    const auto step = std::max<std::chrono::nanoseconds>(wait, internal::minSuspicionWait);
    const auto until = this->services.clock.now() + std::chrono::duration_cast<base::SteadyTime::duration>(step);
    if (until >= this->request.deadline)
        co_return false;
    while (true) {
        const auto event = co_await this->channel->next(until);
        if (!event)
            co_return true;
        if (std::holds_alternative<CallerGone>(*event)) {
            this->callerGone = true;
            co_return false;
        }
    }
}

http::Task<std::optional<routing::Choice>> RequestRun::waitForTarget(base::RefusalReason& refusal)
{
    Applicant applicant;
    applicant.request = { .id = this->request.id,
        .owner = this->request.team->owner,
        .priority = internal::queuePriority(this->request.priority),
        .deadline = this->request.deadline };
    applicant.pool = this->request.pool();
    applicant.prefixHash = this->request.prefixHash;
    applicant.attempt = this->plan.attempts() + 1;
    applicant.excluded = this->excluded;
    applicant.channel = this->channel;
    refusal = this->services.tables.routing.with(
        [&](Routing& routing) { return routing.waiting.enter(std::move(applicant), this->services.clock.now()); });
    while (refusal == base::RefusalReason::None) {
        const auto event = co_await this->channel->next(this->request.deadline);
        if (event && std::holds_alternative<TargetGranted>(*event))
            co_return std::get<TargetGranted>(*event).choice;
        if (event && std::holds_alternative<QueueRefused>(*event))
            refusal = std::get<QueueRefused>(*event).reason;
        else if (event && std::holds_alternative<CallerGone>(*event)) {
            this->callerGone = true;
            refusal = base::RefusalReason::CancelledBeforeStart;
        } else if (!event)
            refusal = base::RefusalReason::QueueDeadline;
    }
    // A grant may have been made meanwhile; its place goes back unused.
    this->services.tables.routing.with([&](Routing& routing) {
        routing.waiting.leave(this->request.pool(), this->request.id, this->services.clock.now());
    });
    const auto late = co_await this->channel->next(this->services.clock.now());
    if (late && std::holds_alternative<TargetGranted>(*late)) {
        const auto& target = std::get<TargetGranted>(*late).choice.target;
        this->services.tables.routing.with([&](Routing& routing) {
            routing.router.finished(target, routing::Result::Cancelled, std::nullopt, this->services.clock.now());
        });
    }
    co_return std::nullopt;
}

RequestRun::Attempt RequestRun::openAttempt(
    const routing::Choice& choice, delivery::AnswerStart start, std::uint64_t fromToken)
{
    Attempt attempt;
    attempt.key = this->plan.begin(choice.incarnation);
    attempt.target = choice.target;
    attempt.issued = this->services.clock.wallNow();
    attempt.fromToken = fromToken;
    attempt.spilled = choice.kind == routing::ChoiceKind::Spilled;
    attempt.link = this->services.linkOf(choice.target);
    this->checker.open(attempt.key, start);
    this->services.tables.suspects.with(
        [&](Suspects& suspects) { suspects.guard.started(this->request.fingerprint, choice.target); });
    if (attempt.link)
        attempt.link->startAttempt(this->startMessage(attempt), this->channel);
    else
        this->channel->push(AttemptClosed { .attempt = attempt.key.attempt, .written = false, .connected = false });
    return attempt;
}

wire::AttemptStart RequestRun::startMessage(const Attempt& attempt) const
{
    const auto remaining
        = std::chrono::duration_cast<std::chrono::milliseconds>(this->request.deadline - this->services.clock.now());
    wire::AttemptStart message;
    protocol::assignKey(message, attempt.key);
    message.set_target(attempt.target);
    message.set_owner(this->request.team->owner);
    message.set_team(this->request.team->id);
    message.set_model(this->request.model);
    message.set_service(this->request.service);
    message.set_method(this->request.method);
    message.set_path(this->request.path);
    message.set_content_type(this->request.contentType);
    message.set_body(this->request.body);
    message.set_lifetime_ms(
        static_cast<std::uint32_t>(std::chrono::milliseconds { internal::attemptLifetime }.count()));
    message.set_deadline_ms(static_cast<std::uint32_t>(std::max<std::int64_t>(remaining.count(), 0)));
    message.set_priority(this->request.priority);
    message.set_repeatable(this->request.repeatable);
    message.set_fingerprint(this->request.fingerprint);
    message.set_resume_from_token(attempt.fromToken);
    message.set_stream(this->request.stream);
    message.set_issued_unix_ms(protocol::toUnixMillis(attempt.issued));
    message.set_spilled(attempt.spilled);
    return message;
}

base::SteadyTime RequestRun::silenceLimit() const
{
    return std::min(this->services.clock.now() + this->services.options.attemptTimeout, this->request.deadline);
}

delivery::AttemptEvent RequestRun::event(const Attempt& attempt, delivery::EventKind kind) const
{
    delivery::AttemptEvent result;
    result.key = attempt.key;
    result.kind = kind;
    result.delivered = this->checker.delivered();
    return result;
}

http::Task<delivery::AttemptEvent> RequestRun::followAttempt(Attempt& attempt)
{
    while (true) {
        auto next = co_await this->channel->next(this->silenceLimit());
        if (!next) {
            this->cancel(attempt);
            co_return this->event(attempt, delivery::EventKind::TimedOut);
        }
        if (std::holds_alternative<CallerGone>(*next)) {
            this->callerGone = true;
            this->cancel(attempt);
            co_return this->event(attempt, delivery::EventKind::Cancelled);
        }
        if (const auto* closed = std::get_if<AttemptClosed>(&*next)) {
            if (closed->attempt != attempt.key.attempt)
                continue;
            const auto unwritten
                = closed->connected ? delivery::EventKind::NotWritten : delivery::EventKind::ConnectFailed;
            co_return this->event(attempt, closed->written ? delivery::EventKind::ConnectionLost : unwritten);
        }
        if (!std::holds_alternative<ReplyReceived>(*next))
            continue;
        auto received = std::get<ReplyReceived>(std::move(*next));
        const auto ended = co_await this->handleReply(attempt, std::move(received));
        if (ended)
            co_return *ended;
    }
}

http::Task<std::optional<delivery::AttemptEvent>> RequestRun::handleReply(Attempt& attempt, ReplyReceived received)
{
    std::optional<delivery::AttemptEvent> ended;
    const auto& reply = received.reply;
    if (reply.has_head())
        ended = this->handleHead(attempt, reply.head());
    else if (reply.has_frame())
        ended = co_await this->handleFrame(attempt, reply.frame());
    else if (reply.has_final())
        ended = this->handleFinal(attempt, reply.final());
    else if (reply.has_refusal())
        ended = this->handleRefusal(attempt, reply.refusal());
    this->returnWindow(attempt, received.bytes);
    co_return ended;
}

std::optional<delivery::AttemptEvent> RequestRun::handleHead(Attempt& attempt, const wire::AnswerHead& head)
{
    const auto verdict = this->checker.head(protocol::toAnswerHead(head));
    if (verdict == delivery::FrameVerdict::Accepted && head.has_load()) {
        this->services.tables.routing.with([&](Routing& routing) {
            routing.router.reported(attempt.target, *internal::loadOf(head.load()), this->services.clock.now());
        });
    }
    if (verdict == delivery::FrameVerdict::WrongStart) {
        this->cancel(attempt);
        return this->event(attempt, delivery::EventKind::WrongStart);
    }
    if (verdict == delivery::FrameVerdict::Accepted && this->firstPayload) {
        this->answer.status = head.status();
        this->answer.contentType = head.content_type();
    }
    return std::nullopt;
}

http::Task<std::optional<delivery::AttemptEvent>> RequestRun::handleFrame(
    Attempt& attempt, const wire::AnswerFrame& frame)
{
    const auto result = this->checker.accept(protocol::toAnswerFrame(frame));
    if (this->checker.broken()) {
        this->cancel(attempt);
        const bool mismatch = result.verdict == delivery::FrameVerdict::PrefixMismatch;
        co_return this->event(
            attempt, mismatch ? delivery::EventKind::PrefixMismatch : delivery::EventKind::StreamBroken);
    }
    if (result.verdict != delivery::FrameVerdict::Accepted) {
        this->services.droppedFrames.Increment();
        co_return std::nullopt;
    }
    attempt.tokens += frame.tokens();
    const bool taken = co_await this->deliver(result.forward);
    if (taken)
        co_return std::nullopt;
    this->callerGone = true;
    this->cancel(attempt);
    co_return this->event(attempt, delivery::EventKind::Cancelled);
}

std::optional<delivery::AttemptEvent> RequestRun::handleFinal(Attempt& attempt, const wire::FinalFrame& final)
{
    const auto verdict = this->checker.finish(protocol::toFinalFrame(final));
    if (verdict == delivery::FrameVerdict::Complete) {
        attempt.load = final.load();
        attempt.usage = final.usage();
        return this->event(attempt, delivery::EventKind::Complete);
    }
    if (!this->checker.broken()) {
        this->services.droppedFrames.Increment();
        return std::nullopt;
    }
    this->cancel(attempt);
    return this->event(attempt, delivery::EventKind::StreamBroken);
}

std::optional<delivery::AttemptEvent> RequestRun::handleRefusal(Attempt& attempt, const wire::Refusal& refusal)
{
    if (protocol::keyOf(refusal).attempt != attempt.key.attempt) {
        this->services.droppedFrames.Increment();
        return std::nullopt;
    }
    auto result = this->event(attempt, delivery::EventKind::Refused);
    result.refusal = refusal.reason() < static_cast<std::uint32_t>(base::RefusalReason::Count)
        ? static_cast<base::RefusalReason>(refusal.reason())
        : base::RefusalReason::TargetDown;
    result.notRun = refusal.not_run();
    result.targetCrashed = refusal.target_crashed();
    result.retryAfter = std::chrono::milliseconds { refusal.retry_after_ms() };
    attempt.load = refusal.load();
    // A run that started and broke is a broken stream; only a proof of "not run" is a refusal.
    if (!refusal.not_run())
        result.kind = delivery::EventKind::StreamBroken;
    return result;
}

http::Task<bool> RequestRun::startStream()
{
    http::Response head = this->answer;
    head.body.clear();
    head.headers.emplace_back("X-Request-Id", this->request.shownId);
    head.headers.emplace_back("Cache-Control", "no-cache");
    co_return co_await this->writer.start(head);
}

http::Task<bool> RequestRun::deliver(std::string_view payload)
{
    if (this->firstPayload && !payload.empty()) {
        this->firstPayload = false;
        const std::chrono::duration<double> sinceArrival = this->services.clock.wallNow() - this->request.arrived;
        this->services.timeToFirstToken.Observe(sinceArrival.count());
    }
    if (!this->request.stream || this->answer.status != 200) {
        this->answer.body += payload;
        co_return true;
    }
    if (!this->writer.started()) {
        const bool started = co_await this->startStream();
        if (!started)
            co_return false;
    }
    co_return co_await this->writer.write(payload);
}

void RequestRun::returnWindow(Attempt& attempt, std::size_t bytes)
{
    attempt.unreturned += bytes;
    if (attempt.unreturned >= internal::windowReturnBytes && attempt.link)
        attempt.link->consume(attempt.key.attempt, std::exchange(attempt.unreturned, 0));
}

void RequestRun::cancel(const Attempt& attempt)
{
    if (!attempt.link)
        return;
    wire::Cancel message;
    protocol::assignKey(message, attempt.key);
    message.set_issued_unix_ms(protocol::toUnixMillis(attempt.issued));
    attempt.link->cancelAttempt(message);
}

void RequestRun::closeAttempt(const Attempt& attempt, const delivery::AttemptEvent& event)
{
    this->noteTargetResult(attempt, event);
    this->recordUsage(attempt, internal::usageOf(event));
    if (event.kind != delivery::EventKind::Complete) {
        logging::Event { "attempt_ended" }
            .field("request", base::toString(this->request.id))
            .field("attempt", attempt.key.attempt.number)
            .field("target", attempt.target)
            .field("kind", static_cast<int>(event.kind))
            .field("refusal", base::toString(event.refusal))
            .field("not_run", event.notRun)
            .info();
    }
}

void RequestRun::noteTargetResult(const Attempt& attempt, const delivery::AttemptEvent& event)
{
    const auto now = this->services.clock.now();
    this->services.tables.suspects.with([&](Suspects& suspects) {
        if (event.kind == delivery::EventKind::Complete)
            suspects.strikes.recordCompletion(this->request.fingerprint);
        // An agent that is still there reports the crash of its target itself.
        if (event.kind == delivery::EventKind::ConnectionLost)
            suspects.strikes.recordCrash(
                attempt.target, attempt.key.incarnation, std::array { this->request.fingerprint });
        suspects.guard.finished(this->request.fingerprint);
    });
    this->services.tables.limits.with([&](Limits& limits) {
        if (event.kind == delivery::EventKind::Complete)
            limits.shedder.served(now);
    });
    this->services.tables.routing.with([&](Routing& routing) {
        routing.router.finished(attempt.target, internal::resultOf(event), internal::loadOf(attempt.load), now);
        routing.waiting.served(this->request.pool(), now);
        routing.waiting.advance(routing.router, now);
    });
}

void RequestRun::recordUsage(const Attempt& attempt, usage::Result result)
{
    usage::Record record;
    record.result = result;
    record.id = attempt.key.attempt;
    record.owner = this->request.team->owner;
    record.team = this->request.team->id;
    record.model = this->request.pool();
    record.peerInstance = this->services.agentInstanceOf(attempt.target);
    record.peerIncarnation = attempt.key.incarnation;
    record.issued = usage::toMillis(attempt.issued);
    record.finished = usage::toMillis(this->services.clock.wallNow());
    const bool complete = result == usage::Result::Done;
    record.counts.promptTokens = static_cast<std::uint32_t>(attempt.usage.prompt_tokens());
    record.counts.cachedTokens = static_cast<std::uint32_t>(attempt.usage.cached_tokens());
    record.counts.generatedTokens
        = static_cast<std::uint32_t>(complete ? attempt.usage.generated_tokens() : attempt.tokens);
    record.counts.resumedTokens = static_cast<std::uint32_t>(attempt.fromToken);
    record.counts.serviceCalls = complete && !this->request.service.empty() ? 1 : 0;
    record.counts.spillOvers = attempt.spilled ? 1 : 0;
    this->services.countUsage(record);
}

http::Task<RequestRun::Result> RequestRun::finishDone()
{
    Result result;
    result.outcome = base::Outcome::Done;
    if (!this->request.stream || this->answer.status != 200) {
        result.answer = std::move(this->answer);
        co_return result;
    }
    // An answer without any token has not been started yet.
    bool open = this->writer.started();
    if (!open)
        open = co_await this->startStream();
    if (open)
        open = co_await this->writer.write(http::makeEvent(http::streamEndData));
    if (open)
        open = co_await this->writer.finish();
    co_return result;
}

http::Task<RequestRun::Result> RequestRun::finishWithError(const delivery::Finish& finish)
{
    Result result;
    result.outcome = finish.outcome;
    result.reason = finish.reason;
    if (this->callerGone)
        co_return result;
    ApiError error;
    error.outcome = finish.outcome;
    error.reason = finish.reason;
    error.retryAfter = finish.retryAfter;
    if (!this->writer.started()) {
        auto response = toResponse(error);
        response.headers.emplace_back("X-Request-Id", this->request.shownId);
        (void)co_await this->writer.send(std::move(response));
        co_return result;
    }
    const auto last = http::makeEvent(toJson(error));
    const bool open = co_await this->writer.write(last);
    if (open)
        (void)co_await this->writer.finish();
    co_return result;
}

} // namespace chivewinch::entry
