#include "entry/attempt.hpp"

#include "protocol/convert.hpp"

#include <algorithm>
#include <utility>

namespace chivewinch::entry {

namespace internal {

// Longest transit time of an attempt message; the agent refuses a copy that arrives later.
constexpr std::chrono::seconds attemptLifetime { 10 };

// The receive window is returned in pieces of at least this size, since each return posts to the link's strand.
constexpr std::size_t windowReturnBytes = 16U << 10;

base::RefusalReason refusalOf(const wire::Refusal& refusal)
{
    return refusal.reason() < static_cast<std::uint32_t>(base::RefusalReason::Count)
        ? static_cast<base::RefusalReason>(refusal.reason())
        : base::RefusalReason::TargetDown;
}

} // namespace internal

std::optional<routing::LoadReport> toRoutingLoad(const std::optional<wire::LoadReport>& report)
{
    if (!report)
        return std::nullopt;
    return routing::LoadReport {
        .inFlight = report->in_flight(), .queued = report->queued(), .capacity = report->capacity()
    };
}

Attempt::Attempt(Context attemptContext, Start attemptStart)
    : context { std::move(attemptContext) }
    , start { std::move(attemptStart) }
    , link { this->context.services.linkOf(this->start.choice.target) }
    , issued { this->context.services.clock.wallNow() }
{
}

http::Task<delivery::AttemptEvent> Attempt::run()
{
    if (this->link)
        this->link->startAttempt(this->startMessage(), this->context.channel);
    else
        this->context.channel->push(
            AttemptClosed { .attempt = this->start.key.attempt, .written = false, .connected = false });
    while (true) {
        auto next = co_await this->context.channel->next(this->silenceLimit());
        Ended ended;
        if (!next) {
            ended = this->abandon(delivery::EventKind::TimedOut);
        } else if (std::holds_alternative<CallerGone>(*next)) {
            this->isCallerGone = true;
            ended = this->abandon(delivery::EventKind::Cancelled);
        } else if (const auto* closedEvent = std::get_if<AttemptClosed>(&*next)) {
            ended = this->closed(*closedEvent);
        } else if (std::holds_alternative<ReplyReceived>(*next)) {
            auto received = std::get<ReplyReceived>(std::move(*next));
            ended = co_await this->handle(std::move(received));
        }
        if (ended)
            co_return *ended;
    }
}

wire::AttemptStart Attempt::startMessage() const
{
    const auto& request = this->context.request;
    const auto remaining
        = std::chrono::duration_cast<std::chrono::milliseconds>(request.deadline - this->context.services.clock.now());
    wire::AttemptStart message;
    protocol::assignKey(message, this->start.key);
    message.set_target(this->target());
    message.set_owner(request.team->owner);
    message.set_team(request.team->id);
    message.set_model(request.model);
    message.set_service(request.service);
    message.set_method(request.method);
    message.set_path(request.path);
    message.set_content_type(request.contentType);
    message.set_body(request.body);
    message.set_lifetime_ms(
        static_cast<std::uint32_t>(std::chrono::milliseconds { internal::attemptLifetime }.count()));
    message.set_deadline_ms(static_cast<std::uint32_t>(std::max<std::int64_t>(remaining.count(), 0)));
    message.set_priority(request.priority);
    message.set_repeatable(request.repeatable);
    message.set_fingerprint(request.fingerprint);
    message.set_resume_from_token(this->start.fromToken);
    message.set_stream(request.stream);
    message.set_issued_unix_ms(protocol::toUnixMillis(this->issued));
    message.set_spilled(this->isSpilled());
    return message;
}

base::SteadyTime Attempt::silenceLimit() const
{
    const auto& services = this->context.services;
    return std::min(services.clock.now() + services.options.attemptTimeout, this->context.request.deadline);
}

delivery::AttemptEvent Attempt::event(delivery::EventKind kind) const
{
    delivery::AttemptEvent result;
    result.key = this->start.key;
    result.kind = kind;
    result.delivered = this->context.checker.delivered();
    return result;
}

delivery::AttemptEvent Attempt::abandon(delivery::EventKind kind)
{
    this->cancel();
    return this->event(kind);
}

Attempt::Ended Attempt::closed(const AttemptClosed& closedEvent) const
{
    if (closedEvent.attempt != this->start.key.attempt)
        return std::nullopt;
    if (closedEvent.written)
        return this->event(delivery::EventKind::ConnectionLost);
    return this->event(closedEvent.connected ? delivery::EventKind::NotWritten : delivery::EventKind::ConnectFailed);
}

http::Task<Attempt::Ended> Attempt::handle(ReplyReceived received)
{
    Ended ended;
    const auto& reply = received.reply;
    if (reply.has_head())
        ended = this->handleHead(reply.head());
    else if (reply.has_frame())
        ended = co_await this->handleFrame(reply.frame());
    else if (reply.has_final())
        ended = this->handleFinal(reply.final());
    else if (reply.has_refusal())
        ended = this->handleRefusal(reply.refusal());
    this->returnWindow(received.bytes);
    co_return ended;
}

Attempt::Ended Attempt::handleHead(const wire::AnswerHead& head)
{
    const auto verdict = this->context.checker.head(protocol::toAnswerHead(head));
    if (verdict == delivery::FrameVerdict::WrongStart)
        return this->abandon(delivery::EventKind::WrongStart);
    if (verdict != delivery::FrameVerdict::Accepted)
        return std::nullopt;
    if (!this->context.sink.canContinueWith(head.status(), head.content_type()))
        return this->abandon(delivery::EventKind::StreamBroken);
    this->context.sink.setHead(head.status(), head.content_type());
    if (head.has_load()) {
        this->context.services.tables.routing.with([&](Routing& routing) {
            routing.router.reported(this->target(), *toRoutingLoad(head.load()), this->context.services.clock.now());
        });
    }
    return std::nullopt;
}

http::Task<Attempt::Ended> Attempt::handleFrame(const wire::AnswerFrame& frame)
{
    const auto result = this->context.checker.accept(protocol::toAnswerFrame(frame));
    if (this->context.checker.broken()) {
        const bool mismatch = result.verdict == delivery::FrameVerdict::PrefixMismatch;
        co_return this->abandon(mismatch ? delivery::EventKind::PrefixMismatch : delivery::EventKind::StreamBroken);
    }
    if (result.verdict != delivery::FrameVerdict::Accepted) {
        this->context.services.droppedFrames.Increment();
        co_return std::nullopt;
    }
    this->tokens += frame.tokens();
    const bool taken = co_await this->context.sink.take(result.forward);
    if (taken)
        co_return std::nullopt;
    this->isCallerGone = true;
    co_return this->abandon(delivery::EventKind::Cancelled);
}

Attempt::Ended Attempt::handleFinal(const wire::FinalFrame& final)
{
    const auto verdict = this->context.checker.finish(protocol::toFinalFrame(final));
    if (verdict == delivery::FrameVerdict::Complete) {
        this->lastLoad = final.load();
        this->usage = final.usage();
        return this->event(delivery::EventKind::Complete);
    }
    if (this->context.checker.broken())
        return this->abandon(delivery::EventKind::StreamBroken);
    this->context.services.droppedFrames.Increment();
    return std::nullopt;
}

Attempt::Ended Attempt::handleRefusal(const wire::Refusal& refusal)
{
    if (protocol::toAttemptId(refusal.attempt()) != this->start.key.attempt) {
        this->context.services.droppedFrames.Increment();
        return std::nullopt;
    }
    // Only an attempt that is proved "not run" counts as refused. One that started and failed is a broken stream.
    auto result = this->event(refusal.not_run() ? delivery::EventKind::Refused : delivery::EventKind::StreamBroken);
    result.refusal = internal::refusalOf(refusal);
    result.notRun = refusal.not_run();
    result.targetCrashed = refusal.target_crashed();
    result.retryAfter = std::chrono::milliseconds { refusal.retry_after_ms() };
    this->lastLoad = refusal.load();
    return result;
}

void Attempt::returnWindow(std::size_t bytes)
{
    this->unreturnedBytes += bytes;
    if (this->unreturnedBytes >= internal::windowReturnBytes && this->link)
        this->link->consume(this->start.key.attempt, std::exchange(this->unreturnedBytes, 0));
}

void Attempt::cancel()
{
    if (!this->link)
        return;
    wire::Cancel message;
    protocol::assignKey(message, this->start.key);
    message.set_issued_unix_ms(protocol::toUnixMillis(this->issued));
    this->link->cancelAttempt(message);
}

usage::Record Attempt::usageRecord(usage::Result result) const
{
    const auto& request = this->context.request;
    const bool complete = result == usage::Result::Done;
    usage::Record record;
    record.result = result;
    record.id = this->start.key.attempt;
    record.owner = request.team->owner;
    record.team = request.team->id;
    record.model = request.pool();
    record.peerInstance = this->context.services.agentInstanceOf(this->target());
    record.peerIncarnation = this->start.key.incarnation;
    record.issued = usage::toMillis(this->issued);
    record.finished = usage::toMillis(this->context.services.clock.wallNow());
    record.counts.promptTokens = static_cast<std::uint32_t>(this->usage.prompt_tokens());
    record.counts.cachedTokens = static_cast<std::uint32_t>(this->usage.cached_tokens());
    record.counts.generatedTokens
        = static_cast<std::uint32_t>(complete ? this->usage.generated_tokens() : this->tokens);
    record.counts.resumedTokens = static_cast<std::uint32_t>(this->start.fromToken);
    record.counts.serviceCalls = complete && !request.service.empty() ? 1 : 0;
    record.counts.spillOvers = this->isSpilled() ? 1 : 0;
    return record;
}

} // namespace chivewinch::entry
