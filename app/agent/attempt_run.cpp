#include "agent/attempt_run.hpp"

#include "agent/agent.hpp"
#include "logging/event.hpp"
#include "protocol/convert.hpp"
#include "wire/parse.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <exception>
#include <utility>

namespace chivewinch::agent {

namespace asio = boost::asio;

namespace internal {

// While more bytes than this are queued for the entry, the run stops reading from the target.
constexpr std::size_t highWaterBytes = 256U << 10;

bool isEventStream(const http::ResponseStream& response)
{
    return response.header("Content-Type").starts_with("text/event-stream");
}

/**
 * Sets include_usage in a streaming request, so that the engine always reports usage. Returns whether the caller had
 * already set it.
 */
bool requestUsage(std::string& body)
{
    auto json = wire::parseJson<nlohmann::ordered_json>(body);
    if (!json.is_object())
        return false;
    auto& options = json["stream_options"];
    if (!options.is_object())
        options = nlohmann::ordered_json::object();
    const auto includeUsage = options.find("include_usage");
    if (includeUsage != options.end() && includeUsage->is_boolean() && includeUsage->get<bool>())
        return true;
    options["include_usage"] = true;
    body = json.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
    return false;
}

} // namespace internal

AttemptRun::AttemptRun(Agent& agent, std::shared_ptr<transport::Session> session, transport::StreamId stream)
    : agent { agent }
    , session { std::move(session) }
    , stream { stream }
    , writable { this->session->executor() }
    , deadlineTimer { this->session->executor() }
{
}

void AttemptRun::onData(std::string_view bytes)
{
    this->session->consume(this->stream, bytes.size());
    const bool valid = this->reader.read<wire::AttemptStart>(
        bytes, [this](const wire::AttemptStart& start, std::size_t) { this->begin(start); });
    if (!valid) {
        logging::Event { "malformed_message" }.field("stream", "attempt").warning();
        this->session->reset(this->stream);
    }
}

void AttemptRun::onClose(const transport::Error&)
{
    this->isClosed = true;
    this->cancel();
}

void AttemptRun::cancel()
{
    this->isCancelled = true;
    this->writable.cancel();
    this->cancellation.cancel();
    if (this->upstream)
        this->upstream->cancel();
}

void AttemptRun::begin(const wire::AttemptStart& start)
{
    if (std::exchange(this->hasStart, true))
        return;
    this->message = start;
    this->key = protocol::keyOf(start);
    const auto admission = this->agent.gate().admit(protocol::toAttemptStart(start));
    if (!admission.admitted) {
        this->refuse(admission.reason, admission.notRun, false);
        return;
    }
    this->deadline = admission.deadline;
    this->agent.guard().started(start.fingerprint());
    this->agent.addRun(this->key.attempt, this->shared_from_this());
    asio::co_spawn(
        this->session->executor(), [self = this->shared_from_this()] { return self->run(self); }, asio::detached);
}

void AttemptRun::startDeadlineTimer()
{
    this->deadlineTimer.expires_at(this->deadline);
    this->deadlineTimer.async_wait([weak = this->weak_from_this()](const boost::system::error_code& error) {
        const auto self = weak.lock();
        if (error || !self)
            return;
        self->deadlinePassed = true;
        self->cancel();
    });
}

http::Request AttemptRun::targetRequest() const
{
    auto request = http::makeRequest(
        this->message.method(), this->message.path(), this->message.body(), this->message.content_type());
    request.set("X-Request-Id", base::toString(this->key.attempt.request));
    request.set("X-Request-Time", std::to_string(this->message.issued_unix_ms() / 1000));
    request.set("X-Priority", std::to_string(this->message.priority()));
    if (this->message.resume_from_token() > 0)
        request.set("X-Resume-From-Token", std::to_string(this->message.resume_from_token()));
    return request;
}

http::Task<void> AttemptRun::run(std::shared_ptr<AttemptRun> self)
{
    // The coroutine frame holds this parameter and so keeps the object alive until the coroutine ends.
    (void)self;
    this->startDeadlineTimer();
    std::optional<AnswerRelay> relay;
    RunResult runResult;
    try {
        runResult = co_await this->runOnTarget(relay);
    } catch (const std::exception& error) {
        // The result must still be reported below, otherwise the attempt's place at the gate is never released.
        runResult.detail = error.what();
    }
    this->deadlineTimer.cancel();
    this->reportResult(runResult, relay ? &*relay : nullptr);
    this->agent.removeRun(this->key.attempt);
}

http::Task<AttemptRun::RunResult> AttemptRun::failureResult(http::Error reason)
{
    RunResult runResult;
    runResult.detail = reason.detail;
    if (reason.code == http::ErrorCode::NotSent)
        runResult.outcome = base::Outcome::NotRun;
    if (!this->isCancelled)
        runResult.targetCrashed = co_await this->agent.monitor().probe();
    co_return runResult;
}

http::Task<AttemptRun::RunResult> AttemptRun::runOnTarget(std::optional<AnswerRelay>& relay)
{
    auto request = this->targetRequest();
    bool showUsage = true;
    if (this->message.stream())
        showUsage = internal::requestUsage(request.body());
    http::SendOptions options;
    options.freshConnection = !this->message.repeatable();
    options.cancellation = &this->cancellation;
    http::Error reason;
    this->upstream = co_await this->agent.target().open(std::move(request), options, reason);
    if (!this->upstream)
        co_return co_await this->failureResult(reason);
    if (this->isCancelled)
        co_return RunResult {};
    AnswerRelay::Options relayOptions;
    relayOptions.isEventStream = internal::isEventStream(*this->upstream);
    relayOptions.showUsage = showUsage;
    relay.emplace(relayOptions);
    this->sendHead();
    const bool complete = co_await this->relayBody(*relay, reason);
    if (!complete)
        co_return co_await this->failureResult(reason);
    RunResult runResult;
    runResult.outcome = base::Outcome::Done;
    runResult.complete = true;
    co_return runResult;
}

http::Task<bool> AttemptRun::relayBody(AnswerRelay& relay, http::Error& reason)
{
    reason = { .code = http::ErrorCode::NoResponse, .detail = "the answer of the target is incomplete" };
    while (!this->isCancelled) {
        const auto bytes = co_await this->upstream->read(reason);
        if (!bytes)
            co_return false;
        if (bytes->empty())
            co_return relay.finish();
        const auto chunk = relay.append(*bytes);
        if (chunk.payload.empty())
            continue;
        this->sendFrame(relay, chunk);
        co_await this->waitForBufferSpace();
    }
    co_return false;
}

http::Task<void> AttemptRun::waitForBufferSpace()
{
    while (!this->isCancelled && this->session->queuedBytes(this->stream) > internal::highWaterBytes) {
        this->writable.expires_at(boost::asio::steady_timer::time_point::max());
        co_await this->writable.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

void AttemptRun::sendHead()
{
    wire::AttemptReply reply;
    auto& head = *reply.mutable_head();
    protocol::assignKey(head, this->key);
    head.set_status(this->upstream->status());
    head.set_content_type(std::string { this->upstream->header("Content-Type") });
    head.set_from_token(this->message.resume_from_token());
    *head.mutable_load() = this->agent.loadReport();
    this->send(reply);
}

void AttemptRun::sendFrame(AnswerRelay& relay, const AnswerRelay::Chunk& chunk)
{
    wire::AttemptReply reply;
    auto& frame = *reply.mutable_frame();
    protocol::assignKey(frame, this->key);
    frame.set_sequence(relay.frames());
    frame.set_payload(chunk.payload);
    frame.set_tokens(chunk.tokens);
    relay.recordFrame(chunk);
    this->send(reply);
}

void AttemptRun::reportResult(const RunResult& runResult, const AnswerRelay* relay)
{
    this->agent.gate().finish(this->key.attempt, runResult.outcome);
    this->agent.guard().finished(this->message.fingerprint(), runResult.complete);
    if (!runResult.complete) {
        const bool notRun = runResult.outcome == base::Outcome::NotRun;
        const auto failedResult = this->isCancelled ? usage::Result::Cancelled : usage::Result::Broken;
        this->recordUsage(notRun ? usage::Result::Refused : failedResult, relay);
        logging::Event { "attempt_failed" }
            .field("request", base::toString(this->key.attempt.request))
            .field("attempt", this->key.attempt.number)
            .field("not_run", notRun)
            .field("crashed", runResult.targetCrashed)
            .field("detail", runResult.detail)
            .info();
        const auto reason
            = this->deadlinePassed ? base::RefusalReason::DeadlinePassed : base::RefusalReason::TargetDown;
        this->refuse(reason, notRun, runResult.targetCrashed);
        return;
    }
    this->recordUsage(usage::Result::Done, relay);
    wire::AttemptReply reply;
    auto& final = *reply.mutable_final();
    protocol::assignKey(final, this->key);
    final.set_frames(relay->frames());
    final.set_bytes(relay->bytes());
    final.set_digest(relay->digest());
    *final.mutable_load() = this->agent.loadReport();
    *final.mutable_usage() = relay->usage();
    this->send(reply);
    this->session->finish(this->stream);
}

void AttemptRun::refuse(base::RefusalReason reason, bool notRun, bool targetCrashed)
{
    this->agent.metrics().refused(reason);
    wire::AttemptReply reply;
    auto& refusal = *reply.mutable_refusal();
    protocol::assignKey(refusal, this->key);
    refusal.set_reason(static_cast<std::uint32_t>(reason));
    refusal.set_not_run(notRun);
    refusal.set_target_crashed(targetCrashed);
    *refusal.mutable_load() = this->agent.loadReport();
    this->send(reply);
    this->session->finish(this->stream);
}

void AttemptRun::send(const wire::AttemptReply& reply)
{
    if (!this->isClosed)
        this->session->send(this->stream, wire::frame(reply));
}

void AttemptRun::recordUsage(usage::Result result, const AnswerRelay* relay)
{
    const auto counts = relay != nullptr ? relay->usage() : wire::UsageCount {};
    const auto& entry = this->agent.peerOf(*this->session);
    usage::RecordView record;
    record.result = result;
    record.id = this->key.attempt;
    record.owner = this->message.owner();
    record.team = this->message.team();
    record.model = this->message.model().empty() ? this->message.service() : this->message.model();
    record.peerInstance = entry.instance();
    record.peerIncarnation = base::Incarnation { entry.incarnation() };
    record.issued = usage::toMillis(protocol::fromUnixMillis(this->message.issued_unix_ms()));
    record.finished = usage::toMillis(this->agent.clock().wallNow());
    record.counts.promptTokens = static_cast<std::uint32_t>(counts.prompt_tokens());
    record.counts.cachedTokens = static_cast<std::uint32_t>(counts.cached_tokens());
    record.counts.generatedTokens = static_cast<std::uint32_t>(counts.generated_tokens());
    record.counts.resumedTokens = static_cast<std::uint32_t>(this->message.resume_from_token());
    record.counts.serviceCalls = !this->message.service().empty() && result == usage::Result::Done ? 1 : 0;
    record.counts.spillOvers = this->message.spilled() ? 1 : 0;
    this->agent.ledger().add(record);
}

} // namespace chivewinch::agent
