#include "gateway/request_run.hpp"

#include "http/status.hpp"
#include "logging/event.hpp"
#include "suspect/strike.hpp"

#include <algorithm>
#include <array>
#include <exception>
#include <utility>

namespace chivewinch::gateway {

using base::RefusalReason;

namespace internal {

std::int64_t wholeMilliseconds(std::chrono::nanoseconds time)
{
    return std::chrono::floor<std::chrono::milliseconds>(time).count();
}

std::string joined(const std::vector<std::string_view>& texts)
{
    std::string all;
    for (const auto text : texts) {
        all += all.empty() ? "" : ",";
        all += text;
    }
    return all;
}

/** What a fingerprint contains of a request besides its team and body. */
std::string modelOf(const RequestHead& head, const http::Request& request)
{
    std::string model { http::view(request.method_string()) };
    model += ' ';
    model += head.host;
    model += http::view(request.target());
    return model;
}

} // namespace internal

RequestRun::RequestRun(boost::asio::any_io_executor executor, Services& services, const http::Request& request,
    http::ResponseWriter& writer)
    : services { services }
    , request { request }
    , writer { writer }
    , head { parseRequestHead(request, services.options.headers) }
    , arrived { services.clock.now() }
    , id { base::randomRequestId(services.random) }
    , targetWait { std::move(executor), services.clock, services.dispatcher }
    , events { this->head.lastEventId }
    , timing { this->arrived }
{
}

void RequestRun::handleCallerDisconnect()
{
    this->isCallerGone = true;
    this->targetWait.cancel();
    if (this->attempt)
        this->attempt->cancel();
}

void RequestRun::handleDrainEnd()
{
    this->isDrainOver = true;
    this->targetWait.cancel();
    if (this->attempt)
        this->attempt->cancel();
}

std::chrono::milliseconds RequestRun::sinceArrival() const
{
    return std::chrono::floor<std::chrono::milliseconds>(this->services.clock.now() - this->arrived);
}

std::optional<Refusal> RequestRun::admit()
{
    this->snapshot = this->services.snapshots.current();
    if (!this->snapshot) {
        return Refusal { .reason = RefusalReason::NoBundle,
            .retryAfter = this->services.options.attempts.retryAfterWithoutTarget };
    }
    this->route = this->snapshot->route(this->head.host, this->head.path);
    if (this->route == nullptr)
        return Refusal { .reason = RefusalReason::NoRoute };
    if (this->head.id.empty())
        return Refusal { .reason = RefusalReason::BadRequest };
    if (this->snapshot->configuration().hasTeams && !this->route->open) {
        this->team = this->snapshot->teamOf(this->head.key);
        if (this->team == nullptr)
            return Refusal { .reason = RefusalReason::UnknownTeam };
    }
    this->pool = Snapshot::pickPool(*this->route, this->services.random.unit());
    const auto timeLeft = std::min(this->head.timeLeft.value_or(this->route->timeout), this->route->timeout);
    this->deadline = this->arrived + timeLeft;
    if (this->team != nullptr)
        this->features.team = this->team->name;
    this->features.fingerprint
        = suspect::fingerprint(this->features.team, internal::modelOf(this->head, this->request), this->request.body());
    for (const auto part : this->head.sharedParts)
        this->features.all.push_back(suspect::partFeature(this->features.team, part));
    this->features.all.push_back(suspect::requestFeature(this->features.fingerprint));
    return std::nullopt;
}

bool RequestRun::isBlocked() const { return this->services.crashes.isBlocked(this->features, this->trial); }

std::optional<base::SteadyTime> RequestRun::latestStartInDrain() const
{
    const auto& end = this->services.drainEnd;
    if (!end)
        return std::nullopt;
    const auto now = this->services.clock.now();
    auto needed = std::max(this->deadline - now, base::SteadyTime::duration { 0 });
    // A request that must not run twice is only sent if its answer comes in time in any case.
    if (this->route->repeatable())
        needed = std::min(needed, this->services.runTimes.estimate(this->route->name, now).value_or(needed));
    return *end - needed;
}

bool RequestRun::canFinishBeforeDrainEnd() const
{
    const auto latest = this->latestStartInDrain();
    return !this->isDrainOver && (!latest || this->services.clock.now() <= *latest);
}

TargetRequest RequestRun::targetRequest(std::uint32_t attemptNumber) const
{
    const auto& options = this->services.options.attempts;
    const auto objective = std::chrono::duration<double> { this->route->latencyObjective } * options.queueShare;
    const auto latest = this->services.clock.now() + std::chrono::duration_cast<std::chrono::milliseconds>(objective);
    return { .id = this->id,
        .pool = this->pool,
        .team = this->team == nullptr ? std::string {} : this->team->name,
        .priority
        = this->team != nullptr ? this->team->priority.value_or(this->route->priority) : this->route->priority,
        .attempt = attemptNumber,
        .excluded = this->tried,
        .latestStart = std::min({ latest, this->deadline, this->latestStartInDrain().value_or(latest) }) };
}

std::vector<std::vector<base::TargetId>> RequestRun::targetsToAvoid() const
{
    const auto& crashes = this->services.crashes;
    if (this->trial && !this->trial->isOfFeature)
        return crashes.targetsToAvoidInTrial(
            this->features.fingerprint, this->services.dispatcher.usableTargets(this->pool));
    auto avoided = crashes.targetsToAvoid(this->features.fingerprint);
    if (avoided.empty())
        return {};
    return { std::move(avoided) };
}

http::Task<std::optional<routing::Choice>> RequestRun::acquireTarget(std::uint32_t attemptNumber)
{
    for (const auto& avoided : this->targetsToAvoid()) {
        auto preferred = this->targetRequest(attemptNumber);
        preferred.excluded.insert(preferred.excluded.end(), avoided.begin(), avoided.end());
        // A request that waits for few targets would delay all that wait behind it.
        preferred.mayWait = false;
        auto choice = co_await this->targetWait.acquire(std::move(preferred));
        if (choice)
            co_return choice;
    }
    co_return co_await this->targetWait.acquire(this->targetRequest(attemptNumber));
}

http::Task<void> RequestRun::run()
{
    if (const auto refusal = this->admit()) {
        co_await this->refuse(*refusal);
        co_return;
    }
    const auto verdict = co_await this->services.crashes.admit(this->features, this->trial);
    if (verdict == CrashVerdict::Blocked) {
        co_await this->refuse(
            { .reason = RefusalReason::SuspectRequest, .retryAfter = this->retryAfter(RefusalReason::SuspectRequest) });
        co_return;
    }
    delivery::DeliveryPlan plan { this->id,
        { .repeatable = this->route->repeatable(),
            .resumable = this->route->kind == RouteKind::Stream && this->route->resumable,
            .maxAttempts = this->route->maxAttempts,
            .deadline = this->deadline,
            .retryAfter = std::chrono::milliseconds { 0 } } };
    std::optional<delivery::Finish> last;
    while (!last)
        last = co_await this->runNextAttempt(plan);
    if (this->trial)
        this->services.crashes.endTrial(*this->trial, TrialEnd::Undecided);
    co_await this->finish(*last);
}

http::Task<std::optional<delivery::Finish>> RequestRun::runNextAttempt(delivery::DeliveryPlan& plan)
{
    const delivery::Progress progress { .tokens = this->events.delivered(), .bytes = this->events.delivered() };
    const auto number = plan.attempts() + 1;
    if (this->isBlocked())
        co_return plan.giveUp(RefusalReason::SuspectRequest, progress);
    if (!this->canFinishBeforeDrainEnd())
        co_return plan.giveUp(RefusalReason::Draining, progress);
    if (!this->events.canContinue())
        co_return plan.giveUp(RefusalReason::CannotResume, progress);
    if (number > 1 && !this->services.dispatcher.allowRetry(this->pool, this->services.clock.now()))
        co_return plan.giveUp(RefusalReason::RetryBudget, progress);
    const auto choice = co_await this->acquireTarget(number);
    if (!choice) {
        const auto reason = this->canFinishBeforeDrainEnd() ? this->targetWait.lastReason() : RefusalReason::Draining;
        co_return plan.giveUp(reason, progress);
    }
    // While the request was waiting, other processes may have reported crashes, and a drain may have begun.
    const bool isBlocked = this->isBlocked();
    if (isBlocked || !this->canFinishBeforeDrainEnd()) {
        this->services.dispatcher.finished(
            this->pool, choice->target, routing::Result::Cancelled, this->services.clock.now());
        co_return plan.giveUp(isBlocked ? RefusalReason::SuspectRequest : RefusalReason::Draining, progress);
    }
    const auto key = plan.begin(choice->incarnation);
    const AttemptInput input { .request = this->request,
        .head = this->head,
        .route = *this->route,
        .team = this->team == nullptr ? std::string_view {} : std::string_view { this->team->name },
        .deadline = this->deadline,
        .isLast = number >= this->route->maxAttempts };
    auto end = co_await this->runAttempt(this->services.dispatcher.findUsable(choice->target), input);
    this->recordAttempt(*choice, end, number);
    if (this->isCallerGone || end.callerFailed) {
        this->isCallerGone = true;
        co_return plan.giveUp(RefusalReason::CancelledBeforeStart, progress);
    }
    const auto action = plan.handle(this->toAttemptEvent(end, key), this->services.clock.now());
    if (const auto* finished = std::get_if<delivery::Finish>(&*action))
        co_return *finished;
    co_return std::nullopt;
}

http::Task<AttemptResult> RequestRun::runAttempt(const membership::ListedTarget* target, const AttemptInput& input)
{
    if (target == nullptr) {
        co_return AttemptResult {
            .kind = delivery::EventKind::ConnectFailed, .notRun = true, .detail = "the target is no longer listed"
        };
    }
    this->attempt = std::make_unique<Attempt>(this->services, input, this->events, this->timing, this->writer);
    // The target is copied because the list may change while the attempt runs.
    const auto copy = *target;
    this->services.crashes.started(this->features.fingerprint, copy.id);
    const auto started = this->services.clock.now();
    AttemptResult end;
    try {
        end = co_await this->attempt->run(copy);
    } catch (const std::exception& failure) {
        // Nothing is known of the target, but its place must be released below.
        end = { .result = routing::Result::Cancelled, .detail = failure.what() };
    }
    const auto now = this->services.clock.now();
    if (end.kind == delivery::EventKind::Complete)
        this->services.runTimes.record(this->route->name, now - started, now);
    this->services.crashes.finished(this->features.fingerprint, copy.id);
    this->attempt.reset();
    co_return end;
}

void RequestRun::recordAttempt(const routing::Choice& choice, AttemptResult& end, std::uint32_t number)
{
    const bool isCancelled = this->isCallerGone || this->isDrainOver;
    const auto result = isCancelled ? routing::Result::Cancelled : end.result;
    this->services.dispatcher.finished(this->pool, choice.target, result, this->services.clock.now());
    this->tried.push_back(choice.target);
    if (end.answer) {
        this->targetAnswer = std::move(end.answer);
        this->targetAnswerMemory = std::move(end.memory);
    }
    this->timedOut = end.kind == delivery::EventKind::TimedOut || this->isDrainOver;
    const bool isCrash = this->recordCrash(choice, end);
    if (end.kind == delivery::EventKind::Complete)
        return;
    logging::Event event { "attempt_failed" };
    event.field("request", this->head.id)
        .field("attempt", number)
        .field("target", choice.target)
        .field("not_run", end.notRun)
        .field("events", this->events.delivered())
        .field("ms", this->sinceArrival().count())
        .field("reason", end.detail);
    if (!end.notRun) {
        event.field("crash", isCrash)
            .field("incarnation", static_cast<std::uint64_t>(choice.incarnation))
            .field("fingerprint", suspect::fingerprintText(this->features.fingerprint))
            .field("strikes", this->services.crashes.strikeCount(this->features.fingerprint));
        if (!this->head.sharedParts.empty())
            event.field("parts", internal::joined(this->head.sharedParts));
        event.field("target_ended", end.targetEnded);
        if (end.writingTime)
            event.field("writing_ms", internal::wholeMilliseconds(*end.writingTime));
    }
    event.info();
}

bool RequestRun::recordCrash(const routing::Choice& choice, const AttemptResult& end)
{
    auto& crashes = this->services.crashes;
    // A failure that the target itself answers is no crash, but the request may have had no chance to crash the target.
    if (end.answer || end.notRun)
        return false;
    // A trial ends with the first target that may have run the request.
    const auto ended = std::exchange(this->trial, std::nullopt);
    const bool isHarmless
        = end.kind == delivery::EventKind::Complete || (end.writingTime && *end.writingTime >= longestTimeToCrash);
    if (isHarmless)
        crashes.recordRun(this->features.all);
    if (ended && (end.kind == delivery::EventKind::Complete || (ended->isOfFeature && isHarmless))) {
        crashes.endTrial(*ended, TrialEnd::Completed);
        return false;
    }
    if (end.kind == delivery::EventKind::Complete || this->isDrainOver)
        return false;
    if (end.crashed && !this->isCallerGone) {
        this->services.metrics.crashes.Increment();
        if (end.canBeCause)
            crashes.recordCrash(this->features,
                { .target = choice.target,
                    .incarnation = choice.incarnation,
                    .trial = ended,
                    .targetEnded = end.targetEnded });
        else if (ended)
            crashes.endTrial(*ended, TrialEnd::Undecided);
        return end.canBeCause;
    }
    // Silence speaks against the whole request only.
    const bool wasTrial = ended && !ended->isOfFeature;
    if (ended && ended->isOfFeature)
        crashes.endTrial(*ended, TrialEnd::Undecided);
    const auto now = this->services.clock.now();
    if (end.silentSince && (end.gaveUp || now - *end.silentSince >= SilenceWatch::minSilence)) {
        crashes.recordSilence({ .fingerprint = this->features.fingerprint,
            .target = choice.target,
            .incarnation = choice.incarnation,
            .lastAnswer = *end.silentSince,
            .givenUp = now,
            .isTrial = wasTrial });
    }
    return false;
}

delivery::AttemptEvent RequestRun::toAttemptEvent(const AttemptResult& end, const delivery::AttemptKey& key) const
{
    return { .key = key,
        .kind = end.kind,
        .refusal = RefusalReason::AttemptFailed,
        .notRun = end.notRun,
        .targetCrashed = end.crashed,
        .delivered = { .tokens = this->events.delivered(), .bytes = this->events.delivered() } };
}

http::Task<void> RequestRun::finish(const delivery::Finish& last)
{
    if (this->isCallerGone) {
        this->services.metrics.callersGone.Increment();
        this->logResult("caller_gone", "", 0);
        this->writer.abort();
        co_return;
    }
    if (last.outcome == base::Outcome::Done) {
        this->services.metrics.done.Increment();
        this->services.metrics.duration.Observe(
            std::chrono::duration<double> { this->services.clock.now() - this->arrived }.count());
        this->logResult("done", "", http::status::ok);
        co_return;
    }
    if (this->writer.started()) {
        // Aborting the connection shows the caller that the answer is incomplete.
        this->services.metrics.failed.Increment();
        this->logResult("cut", base::toString(last.reason), 0);
        this->writer.abort();
        co_return;
    }
    if (this->targetAnswer && last.outcome == base::Outcome::Unknown) {
        this->services.metrics.failed.Increment();
        this->logResult("target_failure", base::toString(last.reason), this->targetAnswer->status);
        (void)co_await this->writer.send(std::move(*this->targetAnswer));
        co_return;
    }
    Refusal refusal { .reason = last.reason, .outcome = last.outcome, .timedOut = this->timedOut };
    if (last.outcome == base::Outcome::NotRun)
        refusal.retryAfter = this->retryAfter(last.reason);
    co_await this->refuse(refusal);
}

std::chrono::milliseconds RequestRun::retryAfter(RefusalReason reason) const
{
    if (reason == RefusalReason::Draining)
        return this->services.options.drain.retryAfter;
    if (reason == RefusalReason::SuspectRequest)
        return this->services.crashes.retryAfter(this->features);
    const auto now = this->services.clock.now();
    return this->services.dispatcher.retryAfter(
        this->pool, std::chrono::floor<std::chrono::milliseconds>(this->deadline - now), now);
}

http::Task<void> RequestRun::refuse(const Refusal& refusal)
{
    this->services.metrics.registry.refused(refusal.reason);
    auto response = toResponse(refusal);
    this->logResult(base::toString(refusal.outcome), base::toString(refusal.reason), response.status);
    (void)co_await this->writer.send(std::move(response));
}

void RequestRun::logResult(std::string_view outcome, std::string_view reason, unsigned status) const
{
    logging::Event event { "request" };
    event.field("request", this->head.id).field("outcome", outcome).field("status", status);
    if (!reason.empty())
        event.field("reason", reason);
    if (this->route != nullptr)
        event.field("route", this->route->name).field("pool", this->pool);
    if (this->team != nullptr)
        event.field("team", this->team->name);
    event.field("version", this->snapshot ? this->snapshot->version() : 0)
        .field("attempts", this->tried.size())
        .field("events", this->events.delivered())
        .field("ms", this->sinceArrival().count());
    if (const auto first = this->timing.firstEvent()) {
        event.field("first_ms", internal::wholeMilliseconds(*first))
            .field("pause_ms", internal::wholeMilliseconds(this->timing.longestPause()));
    }
    if (!this->tried.empty())
        event.field("target", this->tried.back());
    if (reason == base::toString(RefusalReason::SuspectRequest)) {
        const auto blocked = this->services.crashes.blockedFeature(this->features);
        if (blocked && *blocked < this->head.sharedParts.size())
            event.field("part", this->head.sharedParts[*blocked]);
        event.field("fingerprint", suspect::fingerprintText(this->features.fingerprint))
            .field("strikes", this->services.crashes.strikeCount(this->features.fingerprint));
    }
    event.info();
}

} // namespace chivewinch::gateway
