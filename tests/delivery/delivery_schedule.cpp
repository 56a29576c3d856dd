#include "delivery/delivery_schedule.hpp"

#include <algorithm>
#include <utility>

namespace chivewinch::delivery {

using namespace std::chrono_literals;

namespace internal {

constexpr std::size_t agentCount = 3;
constexpr std::size_t requestCount = 4;
constexpr auto attemptTimeout = 2s;
constexpr auto requestDeadline = 12s;
constexpr auto attemptLifetime = 10s;
constexpr auto drainTime = 10min;

} // namespace internal

DeliverySchedule::DeliverySchedule(const ScheduleOptions& options)
    : options { options }
    , random { options.seed }
    , agents(internal::agentCount)
    , requests(internal::requestCount)
{
    // Scales the fault rates by a random factor between 0 and 1, so that every outcome is frequent.
    const auto intensity = this->random.unit();
    for (auto* rate : { &this->options.lossRate, &this->options.duplicateRate, &this->options.lateRate,
             &this->options.misroutedRate })
        *rate *= intensity * intensity;
    this->options.gate.maxConcurrent = 1 + static_cast<std::uint32_t>(this->random.below(3));
    for (std::size_t i = 0; i < this->agents.size(); ++i) {
        this->agents[i].gate = std::make_unique<Gate>(this->clock, base::Incarnation { 1 }, this->options.gate);
        this->scheduleFaults(i);
    }
    for (std::size_t i = 0; i < this->requests.size(); ++i)
        this->addRequest(i);
}

void DeliverySchedule::addRequest(std::size_t index)
{
    auto& request = this->requests[index];
    request.id = { .high = this->options.seed, .low = index + 1 };
    request.result.repeatable = this->chance(0.5);
    request.resumable = this->chance(0.5);
    request.deterministic = this->chance(0.7);
    request.tokens = 1 + this->random.below(12);
    request.checker = AnswerChecker { this->options.checker };
    const auto begin = std::chrono::milliseconds { this->random.below(4000) };
    request.plan = std::make_unique<DeliveryPlan>(request.id,
        PlanOptions { .repeatable = request.result.repeatable,
            .resumable = request.resumable && request.deterministic,
            .maxAttempts = 4,
            .deadline = this->clock.now() + begin + internal::requestDeadline,
            .requireProof = this->options.requireProof });
    this->scheduler.after(begin, [this, index] { this->attempt(index, AnswerStart::Fresh, 0); });
}

void DeliverySchedule::scheduleFaults(std::size_t index)
{
    auto& agent = this->agents[index];
    if (this->chance(this->options.crashRate))
        this->scheduler.after(std::chrono::milliseconds { this->random.below(10'000) }, [this, &agent] {
            agent.gate
                = std::make_unique<Gate>(this->clock, base::Incarnation { ++agent.incarnation }, this->options.gate);
        });
    if (this->chance(this->options.pauseRate))
        this->scheduler.after(std::chrono::milliseconds { this->random.below(10'000) }, [this, &agent] {
            agent.pausedUntil = this->clock.now() + std::chrono::milliseconds { this->random.below(40'000) };
        });
    if (this->chance(0.1))
        this->scheduler.after(
            std::chrono::milliseconds { this->random.below(10'000) }, [&agent] { agent.gate->drain(); });
}

std::chrono::nanoseconds DeliverySchedule::delay()
{
    const auto limit = this->chance(this->options.lateRate) ? 90'000'000U : 30'000U;
    return std::chrono::microseconds { 100 + this->random.below(limit) };
}

void DeliverySchedule::transmit(const std::function<void()>& deliver)
{
    const int copies = this->chance(this->options.duplicateRate) ? 2 : 1;
    for (int i = 0; i < copies; ++i)
        if (!this->chance(this->options.lossRate))
            this->scheduler.after(this->delay(), deliver);
}

void DeliverySchedule::attempt(std::size_t index, AnswerStart start, std::uint64_t fromToken)
{
    auto& request = this->requests[index];
    const auto target = this->random.below(this->agents.size());
    // After a restart, half of the attempts use the previous incarnation, as on a connection from before the restart.
    const auto known = this->agents[target].incarnation;
    const auto incarnation = known > 1 && this->chance(0.5) ? known - 1 : known;
    request.open = request.plan->begin(base::Incarnation { incarnation });
    request.checker.open(request.open, start);
    if (start == AnswerStart::Fresh)
        request.result.delivered.clear();
    if (this->chance(0.05)) {
        this->event(index, request.open, EventKind::NotWritten);
        return;
    }
    const Message message { .start = { .key = request.open,
                                .issued = this->clock.wallNow(),
                                .lifetime = internal::attemptLifetime,
                                .remaining = internal::requestDeadline },
        .fromToken = fromToken,
        .request = index };
    this->transmit([this, target, message] { this->arrive(target, message); });
    this->scheduler.after(
        internal::attemptTimeout, [this, index, target, message] { this->timeOut(index, target, message); });
}

/** Cancels half of the timed-out attempts first and waits up to 500 ms for the answer to the cancellation. */
void DeliverySchedule::timeOut(std::size_t index, std::size_t agent, const Message& message)
{
    const auto key = message.start.key;
    if (this->chance(0.5)) {
        this->event(index, key, EventKind::TimedOut);
        return;
    }
    const CancelRequest cancel { .key = key, .issued = message.start.issued };
    this->transmit([this, agent, cancel, index] { this->arriveCancel(agent, cancel, index); });
    this->scheduler.after(500ms, [this, index, key] { this->event(index, key, EventKind::ConnectionLost); });
}

void DeliverySchedule::arrive(std::size_t index, const Message& message)
{
    auto& agent = this->agents[index];
    if (this->clock.now() < agent.pausedUntil) {
        this->scheduler.after(
            agent.pausedUntil - this->clock.now(), [this, index, message] { this->arrive(index, message); });
        return;
    }
    const auto key = message.start.key;
    const auto admission = agent.gate->admit(message.start);
    if (!admission.admitted) {
        if (admission.notRun)
            this->recordProof(key, message.request);
        this->sendToEntry(message.request, [this, message, admission, key](Request&) {
            this->event(message.request, key, EventKind::Refused, admission.reason, admission.notRun);
        });
        return;
    }
    auto& request = this->requests[message.request];
    ++request.result.runs;
    request.result.maxRunsPerAttempt = std::max(request.result.maxRunsPerAttempt, ++this->runsByAttempt[key]);
    request.result.contradictedProof = request.result.contradictedProof || this->proofs.contains(key);
    auto run = std::make_shared<Run>();
    run->message = message;
    run->agent = index;
    run->incarnation = agent.incarnation;
    run->token = request.resumable && !this->chance(0.1) ? message.fromToken : 0;
    this->sendToEntry(message.request, [key, first = run->token, this, index = message.request](Request& entry) {
        if (entry.checker.head({ .key = key, .fromToken = first }) == FrameVerdict::WrongStart)
            this->event(index, key, EventKind::WrongStart);
    });
    this->step(run);
}

void DeliverySchedule::arriveCancel(std::size_t index, const CancelRequest& cancel, std::size_t request)
{
    const auto result = this->agents[index].gate->cancel(cancel);
    const bool notRun = result == CancelResult::NotRun;
    if (notRun)
        this->recordProof(cancel.key, request);
    this->sendToEntry(request, [this, key = cancel.key, request, notRun](Request&) {
        this->event(request, key, EventKind::Cancelled, base::RefusalReason::None, notRun);
    });
}

void DeliverySchedule::recordProof(const AttemptKey& key, std::size_t request)
{
    auto& result = this->requests[request].result;
    result.contradictedProof = result.contradictedProof || this->runsByAttempt.contains(key);
    this->proofs.emplace(key, request);
}

std::string DeliverySchedule::token(const Request& request, const AttemptKey& key, std::uint64_t index) const
{
    // A generation that is not deterministic differs from the fourth token on.
    const auto variant = !request.deterministic && index >= 3 ? key.attempt.number : 0;
    return std::to_string(request.id.low) + "." + std::to_string(index) + "/" + std::to_string(variant) + " ";
}

void DeliverySchedule::step(const std::shared_ptr<Run>& run)
{
    this->scheduler.after(std::chrono::microseconds { 1 + this->random.below(400'000) }, [this, run] {
        auto& agent = this->agents[run->agent];
        if (agent.incarnation != run->incarnation)
            return;
        auto& request = this->requests[run->message.request];
        if (run->token >= request.tokens) {
            this->end(run);
            return;
        }
        const auto key = run->message.start.key;
        const auto payload = this->token(request, key, run->token++);
        run->hash.update(payload);
        run->bytes += payload.size();
        const auto sequence = run->sequence++;
        const auto deliver = [this, key, sequence, payload](Request& entry) {
            this->frame(entry, { .key = key, .sequence = sequence, .payload = payload, .tokens = 1 });
        };
        this->sendToEntry(run->message.request, deliver);
        if (this->chance(this->options.misroutedRate))
            this->sendToEntry(this->random.below(this->requests.size()), deliver);
        this->step(run);
    });
}

void DeliverySchedule::end(const std::shared_ptr<Run>& run)
{
    auto& request = this->requests[run->message.request];
    std::string whole;
    for (std::uint64_t i = 0; i < request.tokens; ++i)
        whole += this->token(request, run->message.start.key, i);
    request.result.possibleAnswers.push_back(whole);
    this->agents[run->agent].gate->finish(run->message.start.key.attempt, base::Outcome::Done);
    const FinalFrame final {
        .key = run->message.start.key, .frames = run->sequence, .bytes = run->bytes, .digest = run->hash.digest()
    };
    this->sendToEntry(run->message.request, [this, final, index = run->message.request](Request& entry) {
        const auto verdict = entry.checker.finish(final);
        if (verdict == FrameVerdict::Complete)
            this->event(index, final.key, EventKind::Complete);
        else if (verdict == FrameVerdict::Incomplete)
            this->event(index, final.key, EventKind::StreamBroken);
    });
}

void DeliverySchedule::sendToEntry(std::size_t request, std::function<void(Request&)> deliver)
{
    this->transmit([this, request, deliver = std::move(deliver)] { deliver(this->requests[request]); });
}

void DeliverySchedule::frame(Request& request, const AnswerFrame& frame)
{
    const auto result = request.checker.accept(frame);
    request.result.delivered += result.forward;
    if (result.verdict == FrameVerdict::PrefixMismatch)
        this->event(static_cast<std::size_t>(&request - this->requests.data()), frame.key, EventKind::PrefixMismatch);
}

void DeliverySchedule::event(
    std::size_t index, const AttemptKey& key, EventKind kind, base::RefusalReason refusal, bool notRun)
{
    auto& request = this->requests[index];
    const auto action = request.plan->handle(
        { .key = key, .kind = kind, .refusal = refusal, .notRun = notRun, .delivered = request.checker.delivered() },
        this->clock.now());
    if (!action)
        return;
    request.checker.close();
    if (const auto* finish = std::get_if<Finish>(&*action))
        request.result.finish = *finish;
    else if (const auto* resume = std::get_if<Resume>(&*action))
        this->attempt(index, AnswerStart::Resumed, resume->fromToken);
    else
        this->attempt(index, std::get<Retry>(*action).replay ? AnswerStart::Replayed : AnswerStart::Fresh, 0);
}

std::vector<RequestResult> DeliverySchedule::run()
{
    this->scheduler.runFor(internal::drainTime);
    std::vector<RequestResult> results;
    for (auto& request : this->requests) {
        std::string whole;
        for (std::uint64_t i = 0; i < request.tokens; ++i)
            whole += this->token(request, request.open, i);
        if (request.deterministic)
            request.result.deliveredPrefix = whole.starts_with(request.result.delivered);
        results.push_back(request.result);
    }
    return results;
}

} // namespace chivewinch::delivery
