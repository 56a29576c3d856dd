#include "gateway/dispatcher.hpp"

#include <algorithm>
#include <utility>

namespace chivewinch::gateway {

namespace internal {

// The queue uses priorities 0 to 7; a larger number is more important.
constexpr std::uint32_t highestRank = 7;

std::uint8_t rankOf(std::uint32_t priority)
{
    return static_cast<std::uint8_t>(highestRank - std::min(priority, highestRank));
}

routing::RouteRequest routeRequest(const Demand& demand)
{
    return { .pool = demand.pool, .attempt = demand.attempt, .excluded = demand.excluded };
}

} // namespace internal

Dispatcher::Dispatcher(DispatcherOptions options, base::RandomSource& random)
    : options { std::move(options) }
    , random { random }
    , router { this->options.router, random }
    , room { this->options.queue }
{
}

void Dispatcher::setTargets(const std::vector<membership::ListedTarget>& listed, base::SteadyTime now)
{
    this->notices.update(listed, now);
    this->useTargets(listed, now);
}

bool Dispatcher::targetLeaves(const base::TargetId& target, base::Incarnation incarnation, base::SteadyTime now)
{
    if (!this->notices.noteLeaving(target, incarnation, now))
        return false;
    std::vector<membership::ListedTarget> known;
    known.reserve(this->targets.size());
    for (const auto& [id, listed] : this->targets)
        known.push_back(listed);
    this->useTargets(known, now);
    return true;
}

void Dispatcher::targetCloses(
    const base::TargetId& target, base::Incarnation incarnation, base::SteadyTime until, base::SteadyTime now)
{
    this->notices.noteClosed(target, incarnation, until, now);
    if (const auto found = this->targets.find(target);
        found != this->targets.end() && found->second.incarnation == incarnation)
        this->router.closeUntil(target, until);
}

void Dispatcher::useTargets(const std::vector<membership::ListedTarget>& listed, base::SteadyTime now)
{
    std::vector<membership::TargetView> views;
    views.reserve(listed.size());
    std::map<std::string, routing::PoolSpec> pools;
    this->targets.clear();
    for (auto target : listed) {
        target.leaving = target.leaving || this->notices.isLeaving(target);
        views.push_back({ .target = target.id,
            .zone = target.zone,
            .address = settings::toString(target.endpoint),
            .incarnation = target.incarnation,
            .state = membership::TargetState::Live,
            .held = target.leaving });
        auto& pool = pools[target.pool];
        pool.name = target.pool;
        pool.targets.push_back(target.id);
        this->targets.insert_or_assign(target.id, target);
    }
    std::vector<routing::PoolSpec> specs;
    specs.reserve(pools.size());
    for (auto& [name, spec] : pools)
        specs.push_back(std::move(spec));
    this->router.setTargets(views);
    this->router.setPools(specs);
    for (const auto& target : listed) {
        this->router.reported(target.id, { .capacity = target.capacity }, now);
        if (const auto until = this->notices.closedUntil(target))
            this->router.closeUntil(target.id, *until);
    }
    this->advance(now);
}

const membership::ListedTarget* Dispatcher::usable(const base::TargetId& target) const
{
    const auto found = this->targets.find(target);
    return found == this->targets.end() || found->second.leaving ? nullptr : &found->second;
}

Dispatcher::Reply Dispatcher::request(const Demand& demand, Notify notify, base::SteadyTime now)
{
    const auto route = internal::routeRequest(demand);
    if (auto choice = this->router.choose(route, now)) {
        this->router.started(route, *choice, now);
        return { .choice = std::move(choice) };
    }
    const auto reason = this->router.lastReason();
    if (reason != base::RefusalReason::TargetBusy)
        return { .reason = reason == base::RefusalReason::UnknownModel ? base::RefusalReason::NoTarget : reason };
    routing::PendingRequest pendingRequest;
    pendingRequest.request = { .id = demand.id,
        .owner = demand.team,
        .priority = internal::rankOf(demand.priority),
        .deadline = demand.latestStart };
    pendingRequest.pool = demand.pool;
    pendingRequest.attempt = demand.attempt;
    pendingRequest.excluded = demand.excluded;
    pendingRequest.notify = std::move(notify);
    return { .reason = this->room.enqueue(std::move(pendingRequest), now) };
}

void Dispatcher::cancel(const Demand& demand, base::SteadyTime now) { this->room.remove(demand.pool, demand.id, now); }

void Dispatcher::finished(
    const std::string& pool, const base::TargetId& target, routing::Result result, base::SteadyTime now)
{
    if (result == routing::Result::Success)
        this->failuresInRow[pool] = 0;
    else if (result != routing::Result::Cancelled)
        ++this->failuresInRow[pool];
    this->router.finished(target, result, std::nullopt, now);
    this->room.served(pool, now);
    this->advance(now);
}

void Dispatcher::advance(base::SteadyTime now) { this->room.advance(this->router, now); }

bool Dispatcher::allowRetry(std::string_view pool, base::SteadyTime now) { return this->router.allowRetry(pool, now); }

std::chrono::milliseconds Dispatcher::retryAfter(
    const std::string& pool, std::chrono::milliseconds timeLeft, base::SteadyTime now)
{
    // A caller that retries before this time would be refused again.
    if (const auto opening = this->router.reopensAt(pool, now)) {
        const auto spread = static_cast<double>(this->options.maxRetryAfter.count()) * this->random.unit();
        return std::chrono::ceil<std::chrono::milliseconds>(*opening - now)
            + std::chrono::milliseconds { static_cast<std::int64_t>(spread) };
    }
    const auto left = static_cast<double>(std::max<std::int64_t>(timeLeft.count(), 0));
    const auto failures = this->failuresInRow.find(pool);
    const bool isOut = failures != this->failuresInRow.end() && failures->second >= this->options.outageFailures;
    const auto longest = left * this->options.maxRetryShare;
    const auto latest = isOut ? longest : std::min(longest, static_cast<double>(this->options.maxRetryAfter.count()));
    const auto earliest = isOut ? left * this->options.minRetryShareInOutage
                                : std::min(latest, static_cast<double>(this->options.minRetryAfter.count()));
    // The random part keeps callers that are refused together from retrying together.
    return std::chrono::milliseconds { static_cast<std::int64_t>(
        earliest + (latest - earliest) * this->random.unit()) };
}

} // namespace chivewinch::gateway
