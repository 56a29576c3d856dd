#include "entry/caller_service.hpp"

#include "entry/stored_answer.hpp"
#include "http/disconnect_watch.hpp"
#include "logging/event.hpp"

#include <utility>

namespace chivewinch::entry {

namespace internal {

constexpr std::chrono::seconds noBundleRetryAfter { 1 };

} // namespace internal

CallerService::CallerService(Services& services, ClaimClient& claimClient)
    : services { services }
    , claimClient { claimClient }
    , completed { services.metrics.counter("chivewinch_requests_done_total", "Requests answered completely") }
{
}

http::Task<void> CallerService::serve(const http::Request& request, http::ResponseWriter& writer)
{
    const auto id = this->requestIds.with([](base::SeededRandom& random) { return base::randomRequestId(random); });
    auto snapshot = this->services.tables.snapshot();
    ApiError error;
    error.reason = base::RefusalReason::NoBundle;
    error.retryAfter = internal::noBundleRetryAfter;
    std::optional<CallerRequest> caller;
    const RequestLimits limits { .defaultDeadline = this->services.options.defaultDeadline,
        .maxDeadline = this->services.options.maxDeadline };
    if (snapshot)
        caller = readCallerRequest(request, std::move(snapshot), limits, this->services.clock, id, error);
    if (!caller) {
        co_await this->sendError(writer, error, base::toString(id));
        co_return;
    }
    const auto refused = this->admit(*caller);
    if (refused) {
        co_await this->sendError(writer, *refused, caller->shownId);
        co_return;
    }
    co_await this->runAdmitted(*caller, writer);
    this->services.tables.limits.with(
        [&](Limits& state) { state.teams.finished(caller->team->id, this->services.clock.now()); });
}

std::optional<ApiError> CallerService::admit(const CallerRequest& request)
{
    if (!this->usageAccepts)
        return ApiError { .reason = base::RefusalReason::UsageBacklog, .retryAfter = std::chrono::seconds { 5 } };
    const auto decision = this->services.tables.limits.with([&](Limits& limits) {
        const auto now = this->services.clock.now();
        const auto priority = static_cast<std::uint8_t>(request.priority * (limit::priorityCount - 1) / 9);
        auto decision = limits.teams.tryStart(request.team->id, now);
        if (!decision.admitted())
            return decision;
        decision = limits.shedder.admit(request.team->owner, priority, now);
        if (!decision.admitted())
            limits.teams.cancelStart(request.team->id);
        return decision;
    });
    if (decision.admitted())
        return std::nullopt;
    return ApiError { .reason = decision.reason, .retryAfter = decision.retryAfter };
}

http::Task<void> CallerService::sendError(
    http::ResponseWriter& writer, const ApiError& error, const std::string& shownId)
{
    this->services.metrics.refused(error.reason);
    auto response = toResponse(error);
    response.headers.emplace_back("X-Request-Id", shownId);
    (void)co_await writer.send(std::move(response));
}

http::Task<void> CallerService::sendAnswer(
    const CallerRequest& request, http::ResponseWriter& writer, http::Response answer)
{
    answer.headers.emplace_back("X-Request-Id", request.shownId);
    answer.headers.emplace_back("X-Chivewinch-Outcome", base::toString(base::Outcome::Done));
    (void)co_await writer.send(std::move(answer));
}

http::Task<void> CallerService::runAdmitted(const CallerRequest& request, http::ResponseWriter& writer)
{
    const auto executor = co_await boost::asio::this_coro::executor;
    const auto channel = std::make_shared<RequestChannel>(executor);
    http::DisconnectWatch watch { executor };
    watch.start(writer, [channel] { channel->push(CallerGone {}); });
    if (needsClaim(request)) {
        co_await this->runClaimed(request, writer, channel);
    } else {
        RequestRun run { this->services, request, writer, channel };
        auto result = co_await run.run();
        this->recordResult(request, result);
        if (result.outcome == base::Outcome::Done && !writer.started())
            co_await this->sendAnswer(request, writer, std::move(result.answer));
    }
    co_await watch.stop();
}

http::Task<void> CallerService::runClaimed(
    const CallerRequest& request, http::ResponseWriter& writer, std::shared_ptr<RequestChannel> channel)
{
    const auto claimed = co_await this->claimClient.claim(request, channel);
    if (const auto* granted = std::get_if<claim::Granted>(&claimed)) {
        co_await this->runGranted(request, writer, std::move(channel), granted->nonce);
        co_return;
    }
    if (const auto* repeat = std::get_if<claim::Repeat>(&claimed)) {
        co_await this->sendRepeat(request, writer, *repeat);
        co_return;
    }
    ApiError error;
    error.retryAfter = std::chrono::seconds { 1 };
    error.reason = base::RefusalReason::ClaimUnavailable;
    if (std::holds_alternative<claim::Conflict>(claimed)) {
        error.reason = base::RefusalReason::ClaimConflict;
        error.retryAfter = {};
    } else if (std::holds_alternative<claim::InProgress>(claimed)) {
        error.outcome = base::Outcome::Unknown;
        error.reason = base::RefusalReason::ClaimInProgress;
    }
    co_await this->sendError(writer, error, request.shownId);
}

http::Task<void> CallerService::runGranted(const CallerRequest& request, http::ResponseWriter& writer,
    std::shared_ptr<RequestChannel> channel, std::uint64_t nonce)
{
    RequestRun run { this->services, request, writer, std::move(channel) };
    auto result = co_await run.run();
    this->recordResult(request, result);
    claim::Settlement settlement;
    settlement.outcome = result.outcome;
    if (result.outcome == base::Outcome::Done)
        settlement.answer = encodeAnswer(result.answer);
    this->claimClient.settle(request, nonce, std::move(settlement));
    if (result.outcome == base::Outcome::Done)
        co_await this->sendAnswer(request, writer, std::move(result.answer));
}

http::Task<void> CallerService::sendRepeat(
    const CallerRequest& request, http::ResponseWriter& writer, const claim::Repeat& repeat)
{
    std::optional<http::Response> answer;
    if (repeat.outcome == base::Outcome::Done && repeat.answer)
        answer = decodeAnswer(*repeat.answer);
    if (answer) {
        answer->headers.emplace_back("X-Chivewinch-Replayed", "true");
        co_await this->sendAnswer(request, writer, std::move(*answer));
        co_return;
    }
    ApiError error;
    error.outcome = repeat.outcome;
    error.reason = base::RefusalReason::ClaimInProgress;
    error.message = repeat.outcome == base::Outcome::Done
        ? "the first request with this idempotency key was done, but its answer was not retained"
        : "the outcome of the first request with this idempotency key is unknown; it may have run";
    co_await this->sendError(writer, error, request.shownId);
}

void CallerService::recordResult(const CallerRequest& request, const RequestRun::Result& result)
{
    const std::chrono::duration<double> elapsed = this->services.clock.wallNow() - request.arrived;
    this->services.requestTime.Observe(elapsed.count());
    if (result.outcome == base::Outcome::Done)
        this->completed.Increment();
    else
        this->services.metrics.refused(result.reason);
    logging::Event { "request_ended" }
        .field("request", base::toString(request.id))
        .field("team", request.team->id)
        .field("pool", request.pool())
        .field("outcome", base::toString(result.outcome))
        .field("reason", base::toString(result.reason))
        .field("seconds", elapsed.count())
        .debug();
}

} // namespace chivewinch::entry
