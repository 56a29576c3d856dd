#include "routing/router.hpp"

#include "base/hash.hpp"
#include "routing/subset.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace chivewinch::routing {

using membership::TargetState;

namespace internal {

Choice choiceOf(const TargetSlot& slot, ChoiceKind kind)
{
    return { .target = slot.target, .incarnation = slot.incarnation, .kind = kind };
}

} // namespace internal

Router::Pool::Pool(std::string name, const RouterOptions& options)
    : name { std::move(name) }
    , retries { options.retryBudget }
    , spillBudget { options.spill.share, options.spill.constant, options.spill.window }
{
}

Router::Router(RouterOptions options, base::RandomSource& random)
    : options { std::move(options) }
    , random { random }
    , entryHash { base::hash64(this->options.entry) }
    , entryHashes { this->entryHash }
    , inverseReportHalfWeightAge { 1 / static_cast<double>(this->options.reportHalfWeightAge.count()) }
    , inverseAssumedCapacity { 1.0 / this->options.assumedCapacity }
{
}

void Router::setPools(std::span<const PoolSpec> specs)
{
    Table<std::unique_ptr<Pool>> next;
    for (const auto& spec : specs) {
        auto known = this->pools.find(spec.name);
        auto pool
            = known == this->pools.end() ? std::make_unique<Pool>(spec.name, this->options) : std::move(known->second);
        pool->targets = spec.targets;
        pool->hasLocalTargets = spec.hasLocalTargets;
        this->rebuild(*pool);
        next.insert_or_assign(spec.name, std::move(pool));
    }
    this->pools = std::move(next);
}

void Router::setPeers(std::span<const std::string> entries)
{
    std::vector<std::uint64_t> hashes { this->entryHash };
    for (const auto& entry : entries)
        hashes.push_back(base::hash64(entry));
    std::ranges::sort(hashes);
    hashes.erase(std::unique(hashes.begin(), hashes.end()), hashes.end());
    if (hashes == this->entryHashes)
        return;
    this->entryHashes = std::move(hashes);
    for (auto& [name, pool] : this->pools)
        this->rebuild(*pool);
}

void Router::setTargets(std::span<const membership::TargetView> views)
{
    for (auto& [target, slot] : this->slots)
        slot.state = TargetState::Gone;
    for (const auto& view : views) {
        auto& slot = this->slots.try_emplace(view.target).first->second;
        if (slot.incarnation != view.incarnation)
            slot.resetForNewIncarnation();
        slot.target = view.target;
        slot.zone = view.zone;
        slot.incarnation = view.incarnation;
        slot.state = view.state;
        slot.held = view.held;
        slot.hash = base::hash64(view.target);
    }
    std::erase_if(this->slots,
        [](const auto& item) { return item.second.state == TargetState::Gone && item.second.ownInFlight == 0; });
    for (auto& [name, pool] : this->pools)
        this->rebuild(*pool);
}

void Router::rebuild(Pool& pool)
{
    pool.local.clear();
    pool.remote.clear();
    pool.suspect.clear();
    for (const auto& target : pool.targets) {
        const auto found = this->slots.find(target);
        if (found == this->slots.end() || found->second.held)
            continue;
        auto& slot = found->second;
        const bool isLocal = slot.zone == this->options.zone || !this->options.spill.onlyWithoutLocalCapacity;
        if (slot.state == TargetState::Live)
            (isLocal ? pool.local : pool.remote).push_back(&slot);
        else if (slot.state == TargetState::Suspect && isLocal)
            pool.suspect.push_back(&slot);
    }
    this->limitToSubset(pool.local, this->entryHashes);
    this->limitToSubset(pool.suspect, this->entryHashes);
    this->limitToSubset(pool.remote, { &this->entryHash, 1 });
}

void Router::limitToSubset(std::vector<Slot*>& members, std::span<const std::uint64_t> entries) const
{
    if (!this->options.useSubset || members.size() <= this->options.subsetSize)
        return;
    std::vector<std::uint64_t> hashes;
    hashes.reserve(members.size());
    for (const auto* slot : members)
        hashes.push_back(slot->hash);
    if (!this->options.useEvenSubsets)
        entries = { &this->entryHash, 1 };
    const auto size = this->options.subsetSize;
    std::vector<Slot*> chosen;
    for (const auto index : chooseEvenSubset(this->entryHash, entries, hashes, size, this->options.subsetSlack))
        chosen.push_back(members[index]);
    members = std::move(chosen);
}

double Router::loadOf(const Slot& slot, base::SteadyTime now) const
{
    double load = slot.othersLoad;
    if (this->options.useReportAge) {
        // Weights the target's average load more as the report gets older.
        const auto age = static_cast<double>((now - slot.reportedAt).count()) * this->inverseReportHalfWeightAge;
        load = slot.averageOthersLoad + (load - slot.averageOthersLoad) / (1 + age);
    }
    if (this->options.useOwnInFlight)
        load += slot.ownInFlight;
    load *= slot.capacity == 0 ? this->inverseAssumedCapacity : slot.inverseCapacity;
    // Penalizes recent failures: a target that fails fast has little load and would otherwise attract all requests.
    if (this->options.useFailurePenalty && slot.outlierDetector.hasFailuresInRow())
        load += static_cast<double>(slot.outlierDetector.recentFailures(this->options.recentFailureWindow, now))
            / this->options.ejection.consecutiveFailures;
    return load;
}

bool Router::isFull(const Slot& slot, double limit) const
{
    const auto load = slot.othersLoad + (this->options.useOwnInFlight ? slot.ownInFlight : 0);
    return this->options.useCapacity && slot.capacity != 0 && load >= limit * slot.capacity;
}

bool Router::isOpen(const Slot& slot, const RouteRequest& request, base::SteadyTime now) const
{
    if (this->options.ejection.enabled) {
        if (slot.outlierDetector.ejected(now))
            return false;
        if (slot.outlierDetector.probing() && slot.ownInFlight > 0)
            return false;
    }
    return !isExcluded(slot, request) && this->acceptsAttempt(slot, now);
}

bool Router::acceptsAttempt(const Slot& slot, base::SteadyTime now) const
{
    return now >= slot.closedUntil && (this->limits == nullptr || this->limits->mayStart(slot.target, now));
}

bool Router::isExcluded(const Slot& slot, const RouteRequest& request)
{
    return std::ranges::find(request.excluded, slot.target) != request.excluded.end();
}

bool Router::collectCandidates(
    std::span<Slot* const> members, const RouteRequest& request, double limit, base::SteadyTime now)
{
    this->candidates.clear();
    bool anyOpen = false;
    for (auto* slot : members) {
        if (!this->isOpen(*slot, request, now))
            continue;
        anyOpen = true;
        if (!this->isFull(*slot, limit))
            this->candidates.push_back({ .slot = slot, .load = this->loadOf(*slot, now) });
    }
    return anyOpen;
}

Router::Slot* Router::pickByPrefix(std::uint64_t prefixHash)
{
    if (this->candidates.empty())
        return nullptr;
    double sum = 0;
    for (auto& candidate : this->candidates) {
        sum += candidate.load;
        candidate.score = base::combineHash(prefixHash, candidate.slot->hash);
    }
    const auto bound = this->affinityBoundFor(sum / static_cast<double>(this->candidates.size()));
    auto limit = std::numeric_limits<std::uint64_t>::max();
    for (std::size_t rank = 0; rank < this->options.affinityTargets; ++rank) {
        const Candidate* best = nullptr;
        for (const auto& candidate : this->candidates)
            if (candidate.score < limit && (best == nullptr || candidate.score > best->score))
                best = &candidate;
        if (best == nullptr)
            break;
        if (!this->options.useAffinityBound || best->load <= bound)
            return best->slot;
        limit = best->score;
    }
    return nullptr;
}

double Router::affinityBoundFor(double meanLoad) const noexcept
{
    // Loads are stale; the ceiling leaves capacity for requests of other entries that are not reported yet.
    const auto ceiling = std::max(this->options.affinityCeiling, meanLoad);
    return std::max(std::min(this->options.affinityBound * meanLoad, ceiling), this->options.affinityFloor);
}

Router::Slot* Router::pickByTwoChoices()
{
    const auto count = this->candidates.size();
    if (count == 0)
        return nullptr;
    if (this->options.compareAll)
        return this->pickLeastLoaded();
    const auto first = this->random.below(count);
    if (!this->options.useTwoChoices || count == 1)
        return this->candidates[first].slot;
    const auto second = (first + 1 + this->random.below(count - 1)) % count;
    return this->candidates[this->candidates[second].load < this->candidates[first].load ? second : first].slot;
}

Router::Slot* Router::pickLeastLoaded()
{
    const Candidate* best = nullptr;
    std::uint64_t tieCount = 0;
    for (const auto& candidate : this->candidates) {
        if (best == nullptr || candidate.load < best->load) {
            best = &candidate;
            tieCount = 1;
        } else if (candidate.load == best->load && this->random.below(++tieCount) == 0) {
            best = &candidate;
        }
    }
    return best == nullptr ? nullptr : best->slot;
}

std::optional<Choice> Router::chooseLocal(const RouteRequest& request)
{
    if (this->options.useAffinity && request.prefixHash != 0)
        if (const auto* slot = this->pickByPrefix(request.prefixHash))
            return internal::choiceOf(*slot, ChoiceKind::Affinity);
    if (const auto* slot = this->pickByTwoChoices())
        return internal::choiceOf(*slot, ChoiceKind::LeastLoaded);
    return std::nullopt;
}

std::optional<Choice> Router::chooseRemote(Pool& pool, const RouteRequest& request, base::SteadyTime now)
{
    const bool limited = this->options.spill.limitShare && pool.hasLocalTargets;
    if (!this->options.spill.enabled || (limited && !pool.spillBudget.allows(now)))
        return std::nullopt;
    (void)this->collectCandidates(pool.remote, request, this->options.spill.maxUtilization, now);
    if (const auto* slot = this->pickByTwoChoices())
        return internal::choiceOf(*slot, ChoiceKind::Spilled);
    return std::nullopt;
}

std::optional<Choice> Router::choose(const RouteRequest& request, base::SteadyTime now)
{
    const auto found = this->pools.find(request.pool);
    if (found == this->pools.end()) {
        this->reason = base::RefusalReason::UnknownModel;
        return std::nullopt;
    }
    auto& pool = *found->second;
    const bool anyLocal = this->collectCandidates(pool.local, request, this->options.maxLocalUtilization, now);
    if (auto choice = this->chooseLocal(request))
        return choice;
    if (auto choice = this->chooseRemote(pool, request, now))
        return choice;
    this->reason = base::RefusalReason::TargetBusy;
    if (anyLocal)
        return std::nullopt;
    if (auto choice = this->chooseLastResort(pool, request, now))
        return choice;
    this->reason = this->hasLimitedTargets(request) ? base::RefusalReason::TargetLimit : base::RefusalReason::NoTarget;
    return std::nullopt;
}

bool Router::hasLimitedTargets(const RouteRequest& request) const
{
    const auto found = this->pools.find(request.pool);
    if (this->limits == nullptr || found == this->pools.end())
        return false;
    const auto isLimited = [this, &request](const Slot* slot) {
        return !isExcluded(*slot, request) && this->limits->isLimited(slot->target);
    };
    const auto& pool = *found->second;
    return std::ranges::any_of(pool.local, isLimited) || std::ranges::any_of(pool.remote, isLimited);
}

std::optional<Choice> Router::chooseLastResort(const Pool& pool, const RouteRequest& request, base::SteadyTime now)
{
    // Includes ejected targets: maxShare is checked only on ejection, so all can be ejected once other targets leave.
    for (const auto* members : { &pool.local, &pool.suspect }) {
        this->candidates.clear();
        for (auto* slot : *members)
            if (!isExcluded(*slot, request) && this->acceptsAttempt(*slot, now))
                this->candidates.push_back({ .slot = slot, .load = this->loadOf(*slot, now) });
        if (const auto* slot = this->pickByTwoChoices())
            return internal::choiceOf(*slot, ChoiceKind::LastResort);
    }
    return std::nullopt;
}

void Router::started(const RouteRequest& request, const Choice& choice, base::SteadyTime now)
{
    ++this->starts[static_cast<std::size_t>(choice.kind)];
    if (const auto found = this->slots.find(choice.target); found != this->slots.end())
        ++found->second.ownInFlight;
    if (this->limits != nullptr)
        this->limits->recordStart(choice.target, now);
    const auto found = this->pools.find(request.pool);
    if (found == this->pools.end())
        return;
    if (request.attempt == 1)
        found->second->retries.recordRequest(now);
    found->second->spillBudget.recordOrdinary(now);
    if (choice.kind == ChoiceKind::Spilled)
        found->second->spillBudget.recordExceptional(now);
}

void Router::finished(
    const base::TargetId& target, Result result, const std::optional<LoadReport>& load, base::SteadyTime now)
{
    const auto found = this->slots.find(target);
    if (found == this->slots.end())
        return;
    auto& slot = found->second;
    slot.ownInFlight -= std::min(slot.ownInFlight, std::uint32_t { 1 });
    if (load)
        slot.report(*load, now);
    if (!slot.outlierDetector.record(result, this->options.ejection, now) || !this->mayEject(slot, now))
        return;
    slot.outlierDetector.eject(this->options.ejection, now);
    ++this->ejectionCount;
}

bool Router::mayEject(const Slot& slot, base::SteadyTime now) const
{
    if (!this->options.ejection.limitShare)
        return true;
    for (const auto& [name, pool] : this->pools) {
        if (std::ranges::find(pool->local, &slot) == pool->local.end())
            continue;
        const auto failing = std::ranges::count_if(pool->local, [this, now](const auto* member) {
            return member->outlierDetector.recentFailures(this->options.recentFailureWindow, now) > 0;
        });
        if (static_cast<double>(failing)
            > this->options.ejection.maxFailingShare * static_cast<double>(pool->local.size()))
            return false;
        const auto ejected = std::ranges::count_if(
            pool->local, [now](const auto* member) { return member->outlierDetector.ejected(now); });
        if (static_cast<double>(ejected + 1)
            > this->options.ejection.maxShare * static_cast<double>(pool->local.size()))
            return false;
    }
    return true;
}

void Router::reported(const base::TargetId& target, const LoadReport& load, base::SteadyTime now)
{
    if (const auto found = this->slots.find(target); found != this->slots.end())
        found->second.report(load, now);
}

void Router::closeUntil(const base::TargetId& target, base::SteadyTime until)
{
    if (const auto found = this->slots.find(target); found != this->slots.end())
        found->second.closedUntil = std::max(found->second.closedUntil, until);
}

std::optional<base::SteadyTime> Router::opensAt(
    const RouteRequest& request, std::size_t index, bool onlyOwn, base::SteadyTime now) const
{
    const auto found = this->pools.find(request.pool);
    if (found == this->pools.end())
        return std::nullopt;
    struct Next {
        const Slot* slot = nullptr;
        std::size_t used = 0;
        base::SteadyTime at {};
    };
    const auto openingOf = [this, onlyOwn, now](const Slot& slot, std::size_t used) -> std::optional<base::SteadyTime> {
        const auto opening = this->limits == nullptr ? std::nullopt : this->limits->opening(slot.target, used, now);
        if (!opening)
            return slot.closedUntil;
        if (onlyOwn && !opening->isOwn)
            return std::nullopt;
        return std::max(slot.closedUntil, opening->at);
    };
    std::vector<Next> next;
    for (const auto* members : { &found->second->local, &found->second->suspect, &found->second->remote }) {
        for (const auto* slot : *members) {
            if (isExcluded(*slot, request))
                continue;
            const bool isLimited = this->limits != nullptr && this->limits->isLimited(slot->target);
            if (!isLimited && now >= slot->closedUntil)
                return std::nullopt;
            if (const auto at = openingOf(*slot, 0))
                next.push_back({ .slot = slot, .at = *at });
        }
    }
    if (next.empty())
        return std::nullopt;
    for (;; --index) {
        auto& first = *std::ranges::min_element(next, {}, &Next::at);
        if (index == 0)
            return first.at;
        first.at = openingOf(*first.slot, ++first.used).value_or(first.at);
    }
}

void Router::setRetryConstant(std::uint32_t constant)
{
    this->options.retryBudget.constant = constant;
    for (auto& [name, pool] : this->pools)
        pool->retries.setConstant(constant);
}

bool Router::allowRetry(std::string_view pool, base::SteadyTime now)
{
    const auto found = this->pools.find(pool);
    return found != this->pools.end() && found->second->retries.tryRetry(now);
}

std::vector<base::TargetId> Router::subset(std::string_view pool) const
{
    std::vector<base::TargetId> targets;
    if (const auto found = this->pools.find(pool); found != this->pools.end())
        for (const auto* slot : found->second->local)
            targets.push_back(slot->target);
    return targets;
}

bool Router::isEjected(const base::TargetId& target, base::SteadyTime now) const
{
    const auto found = this->slots.find(target);
    return found != this->slots.end() && found->second.outlierDetector.ejected(now);
}

} // namespace chivewinch::routing
