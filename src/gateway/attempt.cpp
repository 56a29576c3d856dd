#include "gateway/attempt.hpp"

#include "gateway/sender_check.hpp"
#include "http/status.hpp"
#include "logging/event.hpp"
#include "quota/request_limit.hpp"

#include <algorithm>
#include <utility>

namespace chivewinch::gateway {

namespace internal {

using delivery::EventKind;

// Timeouts are rounded down to milliseconds, so a read can time out just before its limit.
constexpr std::chrono::milliseconds timerTolerance { 2 };

constexpr std::size_t maxLoggedValueSize = 64;

AttemptResult complete() { return { .kind = EventKind::Complete, .result = routing::Result::Success }; }

AttemptResult callerFailed()
{
    return { .kind = EventKind::Cancelled,
        .callerFailed = true,
        .result = routing::Result::Cancelled,
        .detail = "writing to the caller failed" };
}

http::Response responseOf(const http::ResponseStream& stream)
{
    return { .status = stream.status(), .contentType = {}, .headers = forwardHeaders(stream.headers()) };
}

} // namespace internal

Attempt::Attempt(Services& services, const AttemptInput& input, EventSequence& events, StreamTiming& timing,
    http::ResponseWriter& writer)
    : services { services }
    , input { input }
    , events { events }
    , timing { timing }
    , writer { writer }
{
}

void Attempt::cancel()
{
    this->isCancelled = true;
    this->cancellation.cancel();
    if (this->stream)
        this->stream->cancel();
}

std::chrono::milliseconds Attempt::timeUntil(base::SteadyTime end) const
{
    const auto left = std::chrono::floor<std::chrono::milliseconds>(end - this->services.clock.now());
    return std::max(left, std::chrono::milliseconds { 0 });
}

std::chrono::milliseconds Attempt::eventTimeout() const
{
    return this->services.options.attempts.streamTimeout.stallTimeout(this->input.route);
}

std::chrono::milliseconds Attempt::nextReadTimeout() const
{
    const auto left = this->timeUntil(this->limit);
    if (this->input.route.kind != RouteKind::Stream)
        return left;
    // Only complete events extend this limit: bytes of an incomplete event are of no use to the caller.
    return std::min(left, this->timeUntil(this->lastEventAt + this->eventTimeout()));
}

http::Request Attempt::makeRequest(const membership::ListedTarget& target) const
{
    auto lastEventId = this->input.head.lastEventId;
    if (this->events.delivered() > 0)
        lastEventId = this->events.lastId();
    return forwardRequest(this->input.request, this->services.options.headers,
        { .team = this->input.team,
            .target = target.id,
            .timeLeft = this->timeUntil(this->input.deadline),
            .lastEventId = lastEventId });
}

AttemptResult Attempt::transportFailure(const http::Error& reason) const
{
    if (reason.code == http::ErrorCode::NotSent)
        return { .kind = delivery::EventKind::ConnectFailed, .notRun = true, .detail = reason.detail };
    // A target that sends bytes is neither crashed nor silent, whatever they are.
    if (reason.code == http::ErrorCode::InvalidResponse)
        return { .kind = this->lostKind(), .detail = reason.detail };
    const auto silentSince = this->silentSince();
    if (this->timeUntil(this->limit) <= internal::timerTolerance)
        return {
            .kind = delivery::EventKind::TimedOut, .silentSince = silentSince, .gaveUp = true, .detail = reason.detail
        };
    const bool wasStalled = this->timeUntil(this->lastEventAt + this->eventTimeout()) <= internal::timerTolerance;
    return { .kind = this->lostKind(),
        .crashed = !wasStalled,
        .silentSince = silentSince,
        .gaveUp = wasStalled,
        .detail = reason.detail };
}

delivery::EventKind Attempt::lostKind() const
{
    return this->events.delivered() > 0 ? delivery::EventKind::StreamBroken : delivery::EventKind::ConnectionLost;
}

AttemptResult Attempt::noMemory()
{
    this->stream->cancel();
    // Other answers may have taken the memory, so nothing is recorded against the target.
    return { .kind = this->lostKind(), .result = routing::Result::Cancelled, .detail = "no memory for the answer" };
}

std::optional<base::SteadyTime> Attempt::silentSince() const
{
    const bool sentLately
        = this->lastBytesAt && this->services.clock.now() - *this->lastBytesAt < SilenceWatch::minSilence;
    return sentLately ? std::nullopt : std::optional { this->lastBytesAt.value_or(this->lastEventAt) };
}

void Attempt::recordTargetState(const membership::ListedTarget& target, const AnswerHead& head)
{
    // A 421 comes from another target at the same address, so its state does not apply to the expected target.
    if (head.status == http::status::misdirected)
        return;
    const auto now = this->services.clock.now();
    if (head.statesLeaving && this->services.dispatcher.markTargetLeaving(target.id, target.incarnation, now))
        logging::Event { "target_leaves" }.field("request", this->input.head.id).field("target", target.id).info();
    this->recordRequestLimit(target, head, now);
    this->recordGroupFault(target, head, now);
    if (!head.retryAfter || head.status != http::status::unavailable)
        return;
    this->services.dispatcher.markTargetClosed(target.id, target.incarnation, now + *head.retryAfter, now);
    logging::Event { "target_closed" }
        .field("request", this->input.head.id)
        .field("target", target.id)
        .field("ms", head.retryAfter->count())
        .info();
}

void Attempt::recordGroupFault(const membership::ListedTarget& target, const AnswerHead& head, base::SteadyTime now)
{
    // A target that is at fault itself names its own address.
    const bool isGroupFault = head.status == http::status::unavailable && head.statesNotRun
        && !head.faultyTarget.empty() && head.faultyTarget != settings::toString(target.endpoint);
    if (!isGroupFault || !this->services.dispatcher.closeGroup(target.id, now))
        return;
    logging::Event { "group_closed" }
        .field("request", this->input.head.id)
        .field("target", target.id)
        .field("group", target.group)
        .field("faulty_target", head.faultyTarget.substr(0, internal::maxLoggedValueSize))
        .info();
}

void Attempt::recordRequestLimit(const membership::ListedTarget& target, const AnswerHead& head, base::SteadyTime now)
{
    auto& limits = this->services.dispatcher.targetLimits();
    const auto limit = head.requestLimit ? quota::parseRequestLimit(*head.requestLimit) : std::nullopt;
    if (head.requestLimit && !limit) {
        if (limits.recordInvalid(target.id, *head.requestLimit)) {
            logging::Event { "target_limit_invalid" }
                .field("request", this->input.head.id)
                .field("target", target.id)
                .field("value", head.requestLimit->substr(0, internal::maxLoggedValueSize))
                .warning();
        }
        return;
    }
    const auto change = limits.observe(target.id, target.incarnation, limit, this->started, now);
    if (change == quota::LimitChange::None)
        return;
    logging::Event event { "target_limit" };
    event.field("request", this->input.head.id).field("target", target.id).field("change", quota::toString(change));
    if (limit)
        event.field("limit", *limit);
    event.info();
}

http::Task<AttemptResult> Attempt::run(const membership::ListedTarget& target)
{
    auto end = co_await this->send(target);
    if (this->bodyBegan)
        end.writingTime = this->services.clock.now() - *this->bodyBegan;
    if (end.crashed && !this->isCancelled)
        co_await this->examineCrash(end);
    co_return end;
}

http::Task<void> Attempt::examineCrash(AttemptResult& end)
{
    end.canBeCause = !end.writingTime || *end.writingTime < longestTimeToCrash;
    if (!end.canBeCause || end.targetEnded)
        co_return;
    const bool wasSilent = this->services.clock.now() - this->lastEventAt >= SilenceWatch::minSilence;
    const auto state = co_await this->client->probe();
    end.targetEnded = state == http::ServerState::Refuses;
    // A target that stalls until it cuts its runs waits for another one that has crashed.
    end.canBeCause = !(wasSilent && state == http::ServerState::Accepts);
}

http::Task<std::optional<AttemptResult>> Attempt::checkEnd()
{
    if (!this->stream->endsWithConnection())
        co_return std::nullopt;
    SenderCheck check { this->services, this->target, this->client };
    const auto sender = co_await check.run(*this->stream, this->timeUntil(this->limit));
    if (sender == SenderState::Runs)
        co_return std::nullopt;
    const bool isReplaced = sender == SenderState::Ended;
    const auto state = isReplaced ? http::ServerState::Accepts : co_await this->client->probe();
    const bool hasEnded = isReplaced || state == http::ServerState::Refuses;
    logging::Event { "answer_end_unproved" }
        .field("request", this->input.head.id)
        .field("target", this->target.id)
        .field("sender", toString(sender))
        .field("target_ended", hasEnded)
        .info();
    co_return AttemptResult { .kind = this->lostKind(),
        .crashed = hasEnded || state == http::ServerState::Unknown,
        .targetEnded = hasEnded,
        .detail = "the answer has no length, and its sender is not known to run" };
}

http::Task<std::optional<std::string>> Attempt::read(http::Error& reason)
{
    auto bytes = co_await this->stream->read(reason);
    if (bytes && !bytes->empty()) {
        this->lastBytesAt = this->services.clock.now();
        if (!this->bodyBegan)
            this->bodyBegan = this->lastBytesAt;
    }
    co_return bytes;
}

http::Task<AttemptResult> Attempt::send(const membership::ListedTarget& target)
{
    const auto& options = this->services.options.attempts;
    this->started = this->services.clock.now();
    this->lastEventAt = this->started;
    this->target = target;
    this->limit = this->input.deadline + options.deadlineGrace;
    if (!this->input.isLast && this->input.route.kind == RouteKind::Repeatable) {
        const auto share
            = static_cast<double>(this->timeUntil(this->input.deadline).count()) * options.firstAttemptShare;
        this->limit = this->started + std::chrono::milliseconds { static_cast<std::int64_t>(share) };
    }
    this->client = this->services.clients.clientFor(target);
    http::Error reason;
    // The target can close an idle connection while a request is being sent on it. A non-repeatable request could not
    // be sent again after that, so it gets a new connection.
    http::SendOptions send { .readTimeout = this->nextReadTimeout(),
        .freshConnection = !this->input.route.repeatable(),
        .cancellation = &this->cancellation,
        .body = this->input.request.body() };
    this->stream = co_await this->client->open(this->makeRequest(target), send, reason);
    if (!this->stream)
        co_return this->transportFailure(reason);
    const auto& names = this->services.options.headers;
    const AnswerHead head { .status = this->stream->status(),
        .requestId = this->stream->header(names.requestId),
        .isOnKeptConnection = this->stream->isOnKeptConnection(),
        .hasSeal = !this->stream->header(names.seal).empty(),
        .statesNotRun = !this->stream->header(names.notRun).empty(),
        .faultyTarget = this->stream->header(names.faultyTarget),
        .statesLeaving = this->stream->header(names.leaving) == "1",
        .requestLimit = this->stream->hasHeader(names.requestLimit)
            ? std::optional { this->stream->header(names.requestLimit) }
            : std::nullopt,
        .retryAfter = parseRetryAfter(this->stream->header("Retry-After")),
        .hasContentEncoding = !this->stream->header("Content-Encoding").empty() };
    const auto kind = classifyAnswer(head, this->input.head.id);
    if (head.requestId == this->input.head.id)
        this->stream->recordAnswered();
    if (kind != AnswerKind::Foreign) {
        this->services.crashes.recordAnswer(target.id, this->services.clock.now());
        this->recordTargetState(target, head);
    }
    switch (kind) {
    case AnswerKind::Success:
        if (this->writer.started() && this->stream->header("Content-Type") != this->events.contentType()) {
            co_return AttemptResult { .kind = delivery::EventKind::WrongStart,
                .detail = "the answer is not of the type of the stream that it continues" };
        }
        if (this->input.route.kind == RouteKind::Stream)
            co_return co_await this->relayEvents();
        co_return co_await this->relayBufferedAnswer(true);
    case AnswerKind::Failure:
        co_return co_await this->relayBufferedAnswer(false);
    case AnswerKind::NotRun:
        co_return AttemptResult { .kind = delivery::EventKind::Refused,
            .notRun = true,
            .result = head.retryAfter ? routing::Result::Cancelled : routing::Result::Refused,
            .detail = "status " + std::to_string(head.status) };
    case AnswerKind::Unproved:
    case AnswerKind::Foreign:
        break;
    }
    co_return AttemptResult { .kind = delivery::EventKind::ConnectionLost,
        .detail = std::string { toString(kind) } + " answer, status " + std::to_string(head.status) };
}

http::Task<AttemptResult> Attempt::relayBufferedAnswer(bool isSuccess)
{
    auto response = internal::responseOf(*this->stream);
    http::BufferReservation memory { this->services.options.buffers };
    http::Error reason;
    while (true) {
        this->stream->setReadTimeout(this->timeUntil(this->limit));
        auto bytes = co_await this->read(reason);
        if (!bytes)
            co_return this->transportFailure(reason);
        if (bytes->empty())
            break;
        // A body without a stated length can be endless.
        const auto size = response.body.size() + bytes->size();
        if (size > this->services.options.attempts.maxAnswerBytes) {
            this->stream->cancel();
            co_return AttemptResult { .kind = delivery::EventKind::ConnectionLost, .detail = "the answer is too long" };
        }
        if (!memory.growTo(size))
            co_return this->noMemory();
        response.body += *bytes;
    }
    if (auto broken = co_await this->checkEnd())
        co_return std::move(*broken);
    if (!isSuccess) {
        co_return AttemptResult { .kind = delivery::EventKind::ConnectionLost,
            .answer = std::move(response),
            .memory = std::move(memory),
            .detail = "status " + std::to_string(this->stream->status()) };
    }
    const bool sent = co_await this->writer.send(std::move(response));
    co_return sent ? internal::complete() : internal::callerFailed();
}

http::Task<bool> Attempt::startStream()
{
    if (this->writer.started())
        co_return !this->writer.failed();
    this->services.metrics.firstEvent.Observe(
        std::chrono::duration<double> { this->services.clock.now() - this->started }.count());
    const auto head = internal::responseOf(*this->stream);
    this->events.setContentType(std::string { this->stream->header("Content-Type") });
    co_return co_await this->writer.start(head);
}

http::Task<std::optional<AttemptResult>> Attempt::forwardEvents(http::EventSplitter& splitter)
{
    std::string ready;
    const auto deliveredBefore = this->events.delivered();
    bool hasGap = false;
    while (const auto event = splitter.next()) {
        const auto verdict = this->events.accept(*event);
        hasGap = verdict == EventAction::Gap;
        if (hasGap)
            break;
        if (verdict == EventAction::Forward)
            ready += *event;
    }
    if (!ready.empty()) {
        const bool started = co_await this->startStream();
        if (!started)
            co_return internal::callerFailed();
        // Comments do not bring the caller forward, so a target may not extend its time with them.
        if (this->events.delivered() > deliveredBefore) {
            this->lastEventAt = this->services.clock.now();
            this->services.crashes.recordAnswer(this->target.id, this->lastEventAt);
            this->timing.recordWrite(this->lastEventAt);
        }
        const bool written = co_await this->writer.write(ready);
        if (!written)
            co_return internal::callerFailed();
    }
    if (hasGap)
        co_return AttemptResult { .kind = delivery::EventKind::WrongStart, .detail = "an event is missing" };
    co_return std::nullopt;
}

http::Task<AttemptResult> Attempt::relayEvents()
{
    http::EventSplitter splitter;
    http::BufferReservation memory { this->services.options.buffers };
    http::Error reason;
    while (true) {
        const auto timeLeft = this->nextReadTimeout();
        if (timeLeft.count() == 0) {
            // Bytes that have already arrived could be read without waiting, again and again.
            this->stream->cancel();
            co_return this->transportFailure({ .code = http::ErrorCode::NoResponse, .detail = "no event in time" });
        }
        this->stream->setReadTimeout(timeLeft);
        const auto bytes = co_await this->read(reason);
        if (!bytes)
            co_return this->transportFailure(reason);
        if (bytes->empty())
            break;
        splitter.append(*bytes);
        // Complete events are copied before they are written.
        if (!memory.growTo(2 * splitter.rest().size()))
            co_return this->noMemory();
        if (auto end = co_await this->forwardEvents(splitter))
            co_return std::move(*end);
        if (splitter.rest().size() > this->services.options.attempts.maxEventBytes) {
            this->stream->cancel();
            co_return AttemptResult { .kind = delivery::EventKind::StreamBroken, .detail = "an event is too long" };
        }
    }
    if (!splitter.rest().empty())
        co_return AttemptResult { .kind = delivery::EventKind::StreamBroken,
            .crashed = this->stream->endsWithConnection(),
            .detail = "the last event is incomplete" };
    if (auto broken = co_await this->checkEnd())
        co_return std::move(*broken);
    const bool started = co_await this->startStream();
    if (!started)
        co_return internal::callerFailed();
    const bool finished = co_await this->writer.finish();
    co_return finished ? internal::complete() : internal::callerFailed();
}

} // namespace chivewinch::gateway
