#include "gateway/attempt.hpp"

#include "http/status.hpp"
#include "logging/event.hpp"

#include <algorithm>
#include <utility>

namespace chivewinch::gateway {

namespace internal {

using delivery::EventKind;

// Timeouts are rounded down to milliseconds, so a read can time out just before its limit.
constexpr std::chrono::milliseconds timerTolerance { 2 };

AttemptEnd complete() { return { .kind = EventKind::Complete, .result = routing::Result::Success }; }

AttemptEnd callerFailed()
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
    this->cancellation.cancel();
    if (this->stream)
        this->stream->cancel();
}

std::chrono::milliseconds Attempt::timeUntil(base::SteadyTime end) const
{
    const auto left = std::chrono::floor<std::chrono::milliseconds>(end - this->services.clock.now());
    return std::max(left, std::chrono::milliseconds { 0 });
}

std::chrono::milliseconds Attempt::streamSilence() const
{
    return this->services.options.attempts.patience.silenceLimit(this->input.route);
}

std::chrono::milliseconds Attempt::silenceLimit() const
{
    const auto left = this->timeUntil(this->limit);
    if (this->input.route.kind != RouteKind::Stream)
        return left;
    // Only complete events extend this limit: bytes of an incomplete event are of no use to the caller.
    return std::min(left, this->timeUntil(this->lastEventAt + this->streamSilence()));
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

AttemptEnd Attempt::lost(const http::Error& reason) const
{
    if (reason.code == http::ErrorCode::NotSent)
        return { .kind = delivery::EventKind::ConnectFailed, .notRun = true, .detail = reason.detail };
    if (this->timeUntil(this->limit) <= internal::timerTolerance)
        return { .kind = delivery::EventKind::TimedOut, .detail = reason.detail };
    const bool wasSilent = this->timeUntil(this->lastEventAt + this->streamSilence()) <= internal::timerTolerance;
    return { .kind
        = this->events.delivered() > 0 ? delivery::EventKind::StreamBroken : delivery::EventKind::ConnectionLost,
        .crashed = !wasSilent,
        .detail = reason.detail };
}

void Attempt::noteTarget(const membership::ListedTarget& target, const AnswerHead& head)
{
    // A 421 comes from another target at the same address, so its state does not apply to the expected target.
    if (head.status == http::status::misdirected)
        return;
    const auto now = this->services.clock.now();
    if (head.statesLeaving && this->services.dispatcher.targetLeaves(target.id, target.incarnation, now))
        logging::Event { "target_leaves" }.field("request", this->input.head.id).field("target", target.id).info();
    if (!head.retryAfter || head.status != http::status::unavailable)
        return;
    this->services.dispatcher.targetCloses(target.id, target.incarnation, now + *head.retryAfter, now);
    logging::Event { "target_closed" }
        .field("request", this->input.head.id)
        .field("target", target.id)
        .field("ms", head.retryAfter->count())
        .info();
}

http::Task<AttemptEnd> Attempt::run(const membership::ListedTarget& target)
{
    const auto& options = this->services.options.attempts;
    this->started = this->services.clock.now();
    this->lastEventAt = this->started;
    this->limit = this->input.deadline + options.deadlineGrace;
    if (!this->input.isLast && this->input.route.kind == RouteKind::Repeatable) {
        const auto share
            = static_cast<double>(this->timeUntil(this->input.deadline).count()) * options.firstAttemptShare;
        this->limit = this->started + std::chrono::milliseconds { static_cast<std::int64_t>(share) };
    }
    const auto client = this->services.clients.of(target);
    http::Error reason;
    // The target can close an idle connection while a request is being sent on it. A non-repeatable request could not
    // be sent again after that, so it gets a new connection.
    http::SendOptions send { .readTimeout = this->silenceLimit(),
        .freshConnection = !this->input.route.repeatable(),
        .cancellation = &this->cancellation };
    this->stream = co_await client->open(this->makeRequest(target), send, reason);
    if (!this->stream)
        co_return this->lost(reason);
    const auto& names = this->services.options.headers;
    const AnswerHead head { .status = this->stream->status(),
        .requestId = this->stream->header(names.requestId),
        .hasSeal = !this->stream->header(names.seal).empty(),
        .statesNotRun = !this->stream->header(names.notRun).empty(),
        .statesLeaving = this->stream->header(names.leaving) == "1",
        .retryAfter = parseRetryAfter(this->stream->header("Retry-After")),
        .hasContentEncoding = !this->stream->header("Content-Encoding").empty() };
    const auto kind = judge(head, this->input.head.id);
    if (kind != AnswerKind::Foreign)
        this->noteTarget(target, head);
    switch (kind) {
    case AnswerKind::Success:
        if (this->input.route.kind == RouteKind::Stream)
            co_return co_await this->relayEvents();
        co_return co_await this->relayWhole(true);
    case AnswerKind::Failure:
        co_return co_await this->relayWhole(false);
    case AnswerKind::NotRun:
        co_return AttemptEnd { .kind = delivery::EventKind::Refused,
            .notRun = true,
            .result = head.retryAfter ? routing::Result::Cancelled : routing::Result::Refused,
            .detail = "status " + std::to_string(head.status) };
    case AnswerKind::Unproved:
    case AnswerKind::Foreign:
        break;
    }
    co_return AttemptEnd { .kind = delivery::EventKind::ConnectionLost,
        .detail = std::string { toString(kind) } + " answer, status " + std::to_string(head.status) };
}

http::Task<AttemptEnd> Attempt::relayWhole(bool isSuccess)
{
    auto response = internal::responseOf(*this->stream);
    http::Error reason;
    while (true) {
        this->stream->setReadTimeout(this->timeUntil(this->limit));
        auto bytes = co_await this->stream->read(reason);
        if (!bytes)
            co_return this->lost(reason);
        if (bytes->empty())
            break;
        response.body += *bytes;
        // A body without a stated length can be endless.
        if (response.body.size() > this->services.options.attempts.maxAnswerBytes) {
            this->stream->cancel();
            co_return AttemptEnd { .kind = delivery::EventKind::ConnectionLost, .detail = "the answer is too long" };
        }
    }
    if (!isSuccess) {
        co_return AttemptEnd { .kind = delivery::EventKind::ConnectionLost,
            .answer = std::move(response),
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
    co_return co_await this->writer.start(head);
}

http::Task<std::optional<AttemptEnd>> Attempt::forwardEvents(http::EventSplitter& splitter)
{
    std::string ready;
    bool isBroken = false;
    while (const auto event = splitter.next()) {
        const auto verdict = this->events.accept(*event);
        isBroken = verdict == EventVerdict::Broken;
        if (isBroken)
            break;
        if (verdict == EventVerdict::Forward)
            ready += *event;
    }
    if (!ready.empty()) {
        const bool started = co_await this->startStream();
        if (!started)
            co_return internal::callerFailed();
        this->lastEventAt = this->services.clock.now();
        this->timing.note(this->lastEventAt);
        const bool written = co_await this->writer.write(ready);
        if (!written)
            co_return internal::callerFailed();
    }
    if (isBroken)
        co_return AttemptEnd { .kind = delivery::EventKind::WrongStart, .detail = "an event is missing" };
    co_return std::nullopt;
}

http::Task<AttemptEnd> Attempt::relayEvents()
{
    http::EventSplitter splitter;
    http::Error reason;
    while (true) {
        this->stream->setReadTimeout(this->silenceLimit());
        const auto bytes = co_await this->stream->read(reason);
        if (!bytes)
            co_return this->lost(reason);
        if (bytes->empty())
            break;
        splitter.append(*bytes);
        if (auto end = co_await this->forwardEvents(splitter))
            co_return std::move(*end);
        if (splitter.rest().size() > this->services.options.attempts.maxEventBytes) {
            this->stream->cancel();
            co_return AttemptEnd { .kind = delivery::EventKind::StreamBroken, .detail = "an event is too long" };
        }
    }
    if (!splitter.rest().empty())
        co_return AttemptEnd { .kind = delivery::EventKind::StreamBroken, .detail = "the last event is incomplete" };
    const bool started = co_await this->startStream();
    if (!started)
        co_return internal::callerFailed();
    const bool finished = co_await this->writer.finish();
    co_return finished ? internal::complete() : internal::callerFailed();
}

} // namespace chivewinch::gateway
