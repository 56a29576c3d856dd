#include "entry/target_chooser.hpp"

#include <algorithm>
#include <utility>

namespace chivewinch::entry {

namespace internal {

// Shortest delay before a suspect request that cannot run yet is checked again.
constexpr std::chrono::milliseconds minSuspicionWait { 20 };

// Equal to the number of strikes at which a request is refused.
constexpr std::size_t maxUnresolvedLosses = 2;

std::uint8_t queuePriority(std::uint32_t priority)
{
    // Requests have priorities 0 to 9, the queue has priorities 0 to 7.
    return static_cast<std::uint8_t>(priority * 7 / 9);
}

} // namespace internal

http::Task<std::optional<routing::Choice>> TargetChooser::choose(std::uint32_t attempt)
{
    while (true) {
        const auto suspicion = this->checkSuspicion();
        this->reason = suspicion.refusal;
        if (suspicion.refusal == base::RefusalReason::None) {
            const auto without = this->withDisconnected(suspicion.excluded);
            auto choice = this->tryRouter(attempt, without);
            if (choice || this->reason != base::RefusalReason::TargetBusy)
                co_return choice;
            choice = co_await this->waitForTarget(attempt, without);
            if (!choice || this->isUsable(choice->target))
                co_return choice;
            this->releaseTarget(choice->target);
            continue;
        }
        if (suspicion.refusal != base::RefusalReason::SuspectBusy)
            co_return std::nullopt;
        const bool waited = co_await this->waitForSuspicion(suspicion.wait);
        if (!waited)
            co_return std::nullopt;
    }
}

std::vector<base::TargetId> TargetChooser::candidates() const
{
    const auto& pool = this->request.pool();
    const auto& targets = this->request.model.empty() ? this->request.snapshot->targetsByService(pool)
                                                      : this->request.snapshot->targetsByModel(pool);
    std::vector<base::TargetId> local;
    std::vector<base::TargetId> all;
    for (const auto* target : targets) {
        all.push_back(target->id);
        if (target->zone == this->services.options.zone)
            local.push_back(target->id);
    }
    // A pool without targets in the local zone uses targets of other zones; the strikes known here apply to them too.
    return local.empty() ? all : local;
}

TargetChooser::Suspicion TargetChooser::checkSuspicion() const
{
    const auto targets = this->candidates();
    const auto placement = this->services.tables.suspects.with([&](Suspects& suspects) {
        auto result = suspects.guard.place(this->request.fingerprint, targets, targets);
        // The request may have crashed two more targets; the losses are resolved soon.
        if (suspects.lostAgents.unresolvedLosses(this->request.fingerprint) >= internal::maxUnresolvedLosses)
            result.refusal = base::RefusalReason::SuspectBusy;
        return result;
    });
    Suspicion suspicion { .refusal = placement.refusal, .wait = placement.retryAfter, .excluded = this->excluded };
    // Nearly every request may run on all candidates. The comparison below takes quadratic time, so it is skipped then.
    if (placement.targets.size() == targets.size())
        return suspicion;
    for (const auto& target : targets) {
        if (std::ranges::find(placement.targets, target) == placement.targets.end())
            suspicion.excluded.push_back(target);
    }
    return suspicion;
}

std::vector<base::TargetId> TargetChooser::withDisconnected(std::vector<base::TargetId> without) const
{
    // An attempt on a lost connection fails at once and uses up one of the request's attempts.
    for (auto& target : this->services.disconnectedTargets())
        without.push_back(std::move(target));
    return without;
}

bool TargetChooser::isUsable(const base::TargetId& target) const
{
    const auto suspicion = this->checkSuspicion();
    const auto without = this->withDisconnected(suspicion.excluded);
    return suspicion.refusal == base::RefusalReason::None && std::ranges::find(without, target) == without.end();
}

void TargetChooser::releaseTarget(const base::TargetId& target)
{
    this->services.tables.routing.with([&](Routing& routing) {
        routing.router.finished(target, routing::Result::Cancelled, std::nullopt, this->services.clock.now());
    });
}

std::optional<routing::Choice> TargetChooser::tryRouter(std::uint32_t attempt, std::span<const base::TargetId> without)
{
    const routing::RouteRequest route {
        .pool = this->request.pool(), .prefixHash = this->request.prefixHash, .attempt = attempt, .excluded = without
    };
    return this->services.tables.routing.with([&](Routing& routing) -> std::optional<routing::Choice> {
        const auto now = this->services.clock.now();
        auto choice = routing.router.choose(route, now);
        this->reason = routing.router.lastReason();
        if (choice)
            routing.router.started(route, *choice, now);
        return choice;
    });
}

http::Task<bool> TargetChooser::waitForSuspicion(std::chrono::nanoseconds wait)
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
            this->isCallerGone = true;
            co_return false;
        }
    }
}

base::RefusalReason TargetChooser::enqueueRequest(std::uint32_t attempt, std::vector<base::TargetId> without)
{
    routing::PendingRequest pendingRequest;
    pendingRequest.request = { .id = this->request.id,
        .owner = this->request.team->owner,
        .priority = internal::queuePriority(this->request.priority),
        .deadline = this->request.deadline };
    pendingRequest.pool = this->request.pool();
    pendingRequest.prefixHash = this->request.prefixHash;
    pendingRequest.attempt = attempt;
    pendingRequest.excluded = std::move(without);
    pendingRequest.notify = [channel = this->channel](const std::optional<routing::Choice>& choice) {
        if (choice)
            channel->push(TargetGranted { .choice = *choice });
        else
            channel->push(QueueRefused { .reason = base::RefusalReason::QueueDeadline });
    };
    return this->services.tables.routing.with([&](Routing& routing) {
        return routing.waiting.enqueue(std::move(pendingRequest), this->services.clock.now());
    });
}

http::Task<std::optional<routing::Choice>> TargetChooser::waitForTarget(
    std::uint32_t attempt, std::vector<base::TargetId> without)
{
    this->reason = this->enqueueRequest(attempt, std::move(without));
    while (this->reason == base::RefusalReason::None) {
        const auto event = co_await this->channel->next(this->request.deadline);
        if (event && std::holds_alternative<TargetGranted>(*event))
            co_return std::get<TargetGranted>(*event).choice;
        if (!event) {
            this->reason = base::RefusalReason::QueueDeadline;
        } else if (const auto* refused = std::get_if<QueueRefused>(&*event)) {
            this->reason = refused->reason;
        } else if (std::holds_alternative<CallerGone>(*event)) {
            this->isCallerGone = true;
            this->reason = base::RefusalReason::CancelledBeforeStart;
        }
    }
    co_await this->removeQueuedRequest();
    co_return std::nullopt;
}

http::Task<void> TargetChooser::removeQueuedRequest()
{
    const auto now = this->services.clock.now();
    this->services.tables.routing.with(
        [&](Routing& routing) { routing.waiting.remove(this->request.pool(), this->request.id, now); });
    // A target may have been granted before the removal; its slot is released.
    auto late = co_await this->channel->next(now);
    while (late) {
        if (const auto* granted = std::get_if<TargetGranted>(&*late))
            this->releaseTarget(granted->choice.target);
        late = co_await this->channel->next(now);
    }
}

} // namespace chivewinch::entry
