#include "gateway/dispatcher.hpp"

#include <algorithm>
#include <utility>

namespace chivewinch::gateway {

namespace internal {

// The queue uses priorities 0 to 7; a larger number is more important.
constexpr std::uint32_t maxQueuePriority = 7;

// Number of future starts that are computed for a pool whose targets have used up their limits.
constexpr std::size_t maxPlannedStarts = 256;

std::uint8_t queuePriority(std::uint32_t priority)
{
    return static_cast<std::uint8_t>(maxQueuePriority - std::min(priority, maxQueuePriority));
}

/**
 * Targets at whose address a later one has started. Their entries expire only after several report intervals, and the
 * later target would refuse their requests.
 */
std::set<base::TargetId> replacedTargets(const std::vector<membership::ListedTarget>& listed)
{
    std::map<settings::Endpoint, base::Incarnation> newest;
    for (const auto& target : listed) {
        auto& incarnation = newest.try_emplace(target.endpoint, target.incarnation).first->second;
        incarnation = std::max(incarnation, target.incarnation);
    }
    std::set<base::TargetId> replaced;
    for (const auto& target : listed) {
        if (target.incarnation < newest.at(target.endpoint))
            replaced.insert(target.id);
    }
    return replaced;
}

quota::LimitedTarget limitedTarget(const membership::ListedTarget& target)
{
    return { .incarnation = target.incarnation, .zone = target.zone, .pool = target.pool };
}

routing::RouteRequest routeRequest(const TargetRequest& targetRequest)
{
    return { .pool = targetRequest.pool, .attempt = targetRequest.attempt, .excluded = targetRequest.excluded };
}

} // namespace internal

Dispatcher::Dispatcher(DispatcherOptions options, base::RandomSource& random)
    : options { std::move(options) }
    , random { random }
    , limits { this->options.limits }
    , router { this->options.router, random }
    , waitQueue { this->options.queue }
{
    this->router.setTargetLimits(this->limits);
}

void Dispatcher::setTargets(const std::vector<membership::ListedTarget>& listed, base::SteadyTime now)
{
    this->notices.update(listed, now);
    std::map<base::TargetId, quota::LimitedTarget> limited;
    for (const auto& target : listed)
        limited.emplace(target.id, internal::limitedTarget(target));
    this->limits.setTargets(std::move(limited), now);
    this->rebuildRouter(listed, now);
}

bool Dispatcher::markTargetLeaving(const base::TargetId& target, base::Incarnation incarnation, base::SteadyTime now)
{
    if (!this->notices.recordLeaving(target, incarnation, now))
        return false;
    this->rebuildRouter(now);
    return true;
}

void Dispatcher::setEvacuatedZones(const std::set<base::ZoneId>& zones, base::SteadyTime now)
{
    if (this->evacuatedZones == zones)
        return;
    for (const auto& zone : std::exchange(this->evacuatedZones, zones)) {
        if (!zones.contains(zone))
            this->limits.coldTargets().markZone(zone, now);
    }
    this->rebuildRouter(now);
}

void Dispatcher::recordColdTime(const membership::ListedTarget& target, base::SteadyTime now)
{
    this->limits.coldTargets().report(target.id, internal::limitedTarget(target), target.coldFor, now);
}

bool Dispatcher::isUsable(const membership::ListedTarget& target) const
{
    return !target.leaving && !this->evacuatedZones.contains(target.zone) && !this->replacedTargets.contains(target.id);
}

void Dispatcher::rebuildRouter(base::SteadyTime now)
{
    std::vector<membership::ListedTarget> known;
    known.reserve(this->targets.size());
    for (const auto& [id, listed] : this->targets)
        known.push_back(listed);
    this->rebuildRouter(known, now);
}

void Dispatcher::markTargetClosed(
    const base::TargetId& target, base::Incarnation incarnation, base::SteadyTime until, base::SteadyTime now)
{
    this->notices.recordClosed(target, incarnation, until, now);
    if (const auto found = this->targets.find(target);
        found != this->targets.end() && found->second.incarnation == incarnation)
        this->router.closeUntil(target, until);
}

bool Dispatcher::isGroupClosed(const membership::ListedTarget& target, base::SteadyTime now) const
{
    const auto closed = this->closedGroups.find({ target.pool, target.group });
    return closed != this->closedGroups.end() && now < closed->second;
}

bool Dispatcher::closeGroup(const base::TargetId& id, base::SteadyTime now)
{
    const auto found = this->targets.find(id);
    if (found == this->targets.end() || found->second.group.empty() || this->isGroupClosed(found->second, now))
        return false;
    const auto target = found->second;
    const bool hasOthers = std::ranges::any_of(this->targets, [&](const auto& item) {
        const auto& other = item.second;
        return other.pool == target.pool && other.group != target.group && this->isUsable(other)
            && !this->isGroupClosed(other, now);
    });
    // Without another target, each request is offered: the group may run again at any moment.
    if (!hasOthers)
        return false;
    const auto until = now + this->options.groupRetryTime;
    this->closedGroups.insert_or_assign({ target.pool, target.group }, until);
    for (const auto& [otherId, other] : this->targets) {
        if (other.pool == target.pool && other.group == target.group)
            this->router.closeUntil(otherId, until);
    }
    return true;
}

void Dispatcher::rebuildRouter(const std::vector<membership::ListedTarget>& listed, base::SteadyTime now)
{
    this->replacedTargets = internal::replacedTargets(listed);
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
            .held = !this->isUsable(target) });
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

const membership::ListedTarget* Dispatcher::findUsable(const base::TargetId& target) const
{
    const auto found = this->targets.find(target);
    return found == this->targets.end() || !this->isUsable(found->second) ? nullptr : &found->second;
}

std::vector<base::TargetId> Dispatcher::usableTargets(std::string_view pool) const
{
    std::vector<base::TargetId> usable;
    for (const auto& [id, target] : this->targets)
        if (target.pool == pool && this->isUsable(target))
            usable.push_back(id);
    return usable;
}

Dispatcher::Reply Dispatcher::request(const TargetRequest& targetRequest, Notify notify, base::SteadyTime now)
{
    const auto route = internal::routeRequest(targetRequest);
    // Requests that wait for a limited target come before this one.
    if (this->waitQueue.waitingCount(targetRequest.pool) > 0 && this->router.hasLimitedTargets(route))
        this->advance(now);
    if (auto choice = this->router.choose(route, now)) {
        this->router.started(route, *choice, now);
        return { .choice = std::move(choice) };
    }
    const auto reason = this->router.lastReason();
    const bool waitsForLimit = reason == base::RefusalReason::TargetLimit && this->opensInTime(targetRequest, now);
    if (!targetRequest.mayWait || (reason != base::RefusalReason::TargetBusy && !waitsForLimit))
        return { .reason = reason == base::RefusalReason::UnknownModel ? base::RefusalReason::NoTarget : reason };
    routing::PendingRequest pendingRequest;
    pendingRequest.request = { .id = targetRequest.id,
        .owner = targetRequest.team,
        .priority = internal::queuePriority(targetRequest.priority),
        .deadline = targetRequest.latestStart };
    pendingRequest.pool = targetRequest.pool;
    pendingRequest.attempt = targetRequest.attempt;
    pendingRequest.excluded = targetRequest.excluded;
    pendingRequest.notify = std::move(notify);
    return { .reason = this->waitQueue.enqueue(std::move(pendingRequest), now) };
}

bool Dispatcher::opensInTime(const TargetRequest& targetRequest, base::SteadyTime now) const
{
    const auto waiting = this->waitQueue.waitingCount(targetRequest.pool);
    if (waiting >= internal::maxPlannedStarts)
        return false;
    const auto opening = this->router.opensAt(internal::routeRequest(targetRequest), waiting, true, now);
    return opening && *opening <= targetRequest.latestStart;
}

void Dispatcher::cancel(const TargetRequest& targetRequest, base::SteadyTime now)
{
    this->waitQueue.remove(targetRequest.pool, targetRequest.id, now);
}

void Dispatcher::finished(
    const std::string& pool, const base::TargetId& target, routing::Result result, base::SteadyTime now)
{
    if (result == routing::Result::Success)
        this->consecutiveFailures[pool] = 0;
    else if (result != routing::Result::Cancelled)
        ++this->consecutiveFailures[pool];
    this->router.finished(target, result, std::nullopt, now);
    this->waitQueue.served(pool, now);
    this->advance(now);
}

void Dispatcher::advance(base::SteadyTime now) { this->waitQueue.advance(this->router, now); }

bool Dispatcher::allowRetry(std::string_view pool, base::SteadyTime now) { return this->router.allowRetry(pool, now); }

std::chrono::milliseconds Dispatcher::planReturn(const std::string& pool, base::SteadyTime now)
{
    // Each caller returns in its own turn, after the requests that wait and the callers that were refused before.
    auto& planned = this->plannedReturns[pool];
    while (!planned.empty() && planned.front() <= now)
        planned.pop_front();
    const auto index = std::min(planned.size() + this->waitQueue.waitingCount(pool), internal::maxPlannedStarts);
    const auto opening = this->router.opensAt({ .pool = pool }, index, false, now).value_or(now);
    if (planned.size() < internal::maxPlannedStarts)
        planned.push_back(opening);
    return std::max(this->options.minRetryAfter, std::chrono::ceil<std::chrono::milliseconds>(opening - now));
}

std::chrono::milliseconds Dispatcher::retryAfter(
    const std::string& pool, std::chrono::milliseconds timeLeft, base::SteadyTime now)
{
    const routing::RouteRequest route { .pool = pool };
    if (!this->router.hasLimitedTargets(route))
        this->plannedReturns.erase(pool);
    else if (this->router.opensAt(route, 0, false, now))
        return this->planReturn(pool, now);
    // A caller that retries before this time would be refused again.
    if (const auto opening = this->router.opensAt(route, 0, false, now)) {
        const auto spread = static_cast<double>(this->options.maxRetryAfter.count()) * this->random.unit();
        return std::chrono::ceil<std::chrono::milliseconds>(*opening - now)
            + std::chrono::milliseconds { static_cast<std::int64_t>(spread) };
    }
    const auto left = static_cast<double>(std::max<std::int64_t>(timeLeft.count(), 0));
    const auto failures = this->consecutiveFailures.find(pool);
    const bool isOutage
        = failures != this->consecutiveFailures.end() && failures->second >= this->options.outageThreshold;
    const auto longest = left * this->options.maxRetryShare;
    const auto latest
        = isOutage ? longest : std::min(longest, static_cast<double>(this->options.maxRetryAfter.count()));
    const auto earliest = isOutage ? left * this->options.minRetryShareInOutage
                                   : std::min(latest, static_cast<double>(this->options.minRetryAfter.count()));
    // The random part keeps callers that are refused together from retrying together.
    return std::chrono::milliseconds { static_cast<std::int64_t>(
        earliest + (latest - earliest) * this->random.unit()) };
}

} // namespace chivewinch::gateway
