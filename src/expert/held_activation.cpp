#include "expert/held_activation.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace chivewinch::expert {

namespace internal {

constexpr std::array<std::string_view, static_cast<std::size_t>(MapOrderKind::Count)> orderNames { "prepare", "hold",
    "arm", "release", "disarm" };
constexpr std::array<std::string_view, static_cast<std::size_t>(ActivationPhase::Count)> phaseNames { "idle",
    "preparing", "holding", "arming", "releasing" };

using States = std::vector<std::optional<RankMapState>>;

/**
 * True if the first rank is armed for another step than the held one. It can hold one step at a time, so that the other
 * step has been released, and all ranks are armed for it.
 */
bool hasReleasedSwitch(const RankMapState& first, const HeldActivationChecks& checks)
{
    return checks.respectReleased && first.held && first.armed && first.armed->step != *first.held;
}

/** The order to release a held step that keeps a later, released switch from beginning; nullopt if there is none. */
std::optional<MapOrder> releaseBeforeSwitch(const RankMapState& first, const HeldActivationChecks& checks)
{
    if (!hasReleasedSwitch(first, checks) || first.armed->step < *first.held)
        return std::nullopt;
    return MapOrder { .kind = MapOrderKind::Release, .epoch = first.epoch, .step = *first.held };
}

bool areAllInEpoch(const States& ranks, std::uint64_t epoch)
{
    return std::ranges::all_of(ranks, [epoch](const auto& rank) { return rank && rank->epoch == epoch; });
}

/** The switch for which the step is held at the first rank; nullopt if the reports do not show one. */
std::optional<ArmedMap> findHeldChange(const States& ranks, const HeldActivationChecks& checks)
{
    if (ranks.empty() || !ranks.front() || !ranks.front()->held)
        return std::nullopt;
    const auto& first = *ranks.front();
    if (hasReleasedSwitch(first, checks) || !areAllInEpoch(ranks, first.epoch))
        return std::nullopt;
    // All ranks may have loaded a newer map since they were armed, but the step may have been released for this one.
    const bool allArmed = checks.replaceDeadOnly && first.armed
        && std::ranges::all_of(ranks, [&first](const auto& rank) { return rank->armed == first.armed; });
    if (allArmed)
        return first.armed;
    const bool canArm = first.prepared && *first.prepared != first.version
        && std::ranges::all_of(ranks, [&first](const auto& rank) { return rank->prepared == first.prepared; });
    return canArm ? std::optional { ArmedMap { .version = *first.prepared, .step = *first.held } } : std::nullopt;
}

/** Returns true if a rank that is not armed with the map has loaded a newer one, so that it can never be armed with it.
 */
bool isDead(const ArmedMap& armed, const States& ranks)
{
    return std::ranges::any_of(ranks, [&armed](const auto& rank) {
        const bool isArmed = rank && rank->armed && rank->armed->version == armed.version;
        return rank && !isArmed && rank->prepared && *rank->prepared > armed.version && rank->step < armed.step;
    });
}

} // namespace internal

std::string_view toString(MapOrderKind kind) noexcept { return internal::orderNames[static_cast<std::size_t>(kind)]; }

std::string_view toString(ActivationPhase phase) noexcept
{
    return internal::phaseNames[static_cast<std::size_t>(phase)];
}

void HeldActivation::enter(ActivationPhase phase, base::SteadyTime now) noexcept
{
    this->currentPhase = phase;
    this->phaseSince = now;
}

void HeldActivation::begin(std::uint64_t version, std::uint64_t groupEpoch, base::SteadyTime now) noexcept
{
    this->targetVersion = version;
    this->epoch = groupEpoch;
    this->setStep(0);
    this->enter(ActivationPhase::Preparing, now);
}

MapOrder HeldActivation::order(std::uint32_t rank, MapOrderKind kind) const noexcept
{
    const bool needsVersion = kind == MapOrderKind::Prepare || kind == MapOrderKind::Arm;
    return { .rank = rank,
        .kind = kind,
        .epoch = this->epoch,
        .version = needsVersion ? this->targetVersion : 0,
        .step = kind == MapOrderKind::Prepare ? 0 : this->step };
}

bool HeldActivation::hasNewEpoch(const States& ranks) const
{
    // In a new epoch the engines have dropped the state of the change and refuse orders of the earlier epoch.
    return std::ranges::any_of(ranks, [this](const auto& rank) { return rank && rank->epoch > this->epoch; });
}

void HeldActivation::setStep(std::uint64_t chosen)
{
    this->step = chosen;
    this->largestStep = std::max(this->largestStep, chosen);
    this->releaseConfirmed = false;
    this->armedRanks.clear();
}

void HeldActivation::appendState(std::string& out) const
{
    out += static_cast<char>(this->releaseConfirmed ? 1 : 0);
    out += static_cast<char>(this->largestStep);
    for (const auto rank : this->armedRanks)
        out += static_cast<char>(rank);
}

void HeldActivation::confirm(const MapOrder& order)
{
    if (order.epoch != this->epoch || order.step != this->step)
        return;
    if (order.kind == MapOrderKind::Release)
        this->releaseConfirmed = true;
    else if (order.kind == MapOrderKind::Arm && order.version == this->targetVersion && !this->isArmed(order.rank))
        this->armedRanks.insert(std::ranges::lower_bound(this->armedRanks, order.rank), order.rank);
}

void HeldActivation::adoptHeldChange(const States& ranks, base::SteadyTime now)
{
    const auto& checks = this->options.checks;
    if (!ranks.front() || !ranks.front()->held)
        return;
    const auto& first = *ranks.front();
    if (this->currentPhase == ActivationPhase::Idle && !checks.rollForward) {
        this->epoch = first.epoch;
        this->setStep(*first.held);
        this->enter(ActivationPhase::Releasing, now);
        return;
    }
    const auto change = internal::findHeldChange(ranks, checks);
    if (!change)
        return;
    this->epoch = first.epoch;
    this->targetVersion = change->version;
    this->setStep(change->step);
    this->enter(ActivationPhase::Arming, now);
}

HeldActivation::States HeldActivation::filterByEpoch(States ranks) const
{
    for (auto& rank : ranks) {
        if (rank && rank->epoch != this->epoch)
            rank.reset();
    }
    return ranks;
}

std::vector<MapOrder> HeldActivation::advance(States reported, base::SteadyTime now)
{
    if (reported.empty())
        return {};
    if (this->currentPhase != ActivationPhase::Idle && this->hasNewEpoch(reported))
        this->enter(ActivationPhase::Idle, now);
    if (this->currentPhase == ActivationPhase::Idle)
        this->adoptHeldChange(reported, now);
    if (reported.front()) {
        if (const auto release = internal::releaseBeforeSwitch(*reported.front(), this->options.checks))
            return { *release };
    }
    const auto ranks = this->filterByEpoch(std::move(reported));
    switch (this->currentPhase) {
    case ActivationPhase::Idle:
        return {};
    case ActivationPhase::Preparing:
        return this->prepare(ranks, now);
    case ActivationPhase::Holding:
        return this->hold(ranks, now);
    case ActivationPhase::Arming:
        return this->arm(ranks, now);
    case ActivationPhase::Releasing:
        return this->release(ranks, now);
    case ActivationPhase::Count:
        break;
    }
    return {};
}

std::vector<MapOrder> HeldActivation::prepare(const States& ranks, base::SteadyTime now)
{
    this->adoptHeldChange(ranks, now);
    if (this->currentPhase == ActivationPhase::Arming)
        return this->arm(ranks, now);
    std::vector<MapOrder> orders;
    bool isReady = true;
    for (std::uint32_t rank = 0; rank < ranks.size(); ++rank) {
        const auto& state = ranks[rank];
        const bool isLoaded = state && state->prepared == this->targetVersion;
        const bool isArmed = this->options.checks.replaceDeadOnly && state && state->armed
            && state->armed->version != this->targetVersion;
        isReady = isReady && isLoaded && !isArmed;
        if (isLoaded)
            continue;
        const bool canDisarm = state && state->armed
            && (!this->options.checks.replaceDeadOnly || internal::isDead(*state->armed, ranks));
        // An armed rank refuses to load a map, but the report may be outdated.
        if (canDisarm)
            orders.push_back(
                { .rank = rank, .kind = MapOrderKind::Disarm, .epoch = this->epoch, .version = state->armed->version });
        else
            orders.push_back(this->order(rank, MapOrderKind::Prepare));
    }
    if (isReady) {
        this->enter(ActivationPhase::Holding, now);
        return this->hold(ranks, now);
    }
    // The abandoned change leaves only loaded maps on the ranks. The next change replaces them.
    if (now - this->phaseSince >= this->options.prepareTimeout)
        this->enter(ActivationPhase::Idle, now);
    return orders;
}

std::vector<MapOrder> HeldActivation::hold(const States& ranks, base::SteadyTime now)
{
    if (!ranks.front())
        return {};
    const auto& first = *ranks.front();
    if (first.version == this->targetVersion) {
        // Another agent has completed the change at a step that a late order held.
        this->enter(ActivationPhase::Idle, now);
        return {};
    }
    if (first.held) {
        // All ranks have loaded the map, so the change can use the step, whichever process has held it.
        const ArmedMap wanted { .version = this->targetVersion, .step = *first.held };
        if (this->options.checks.respectReleased && first.armed && first.armed != wanted)
            return {};
        this->setStep(*first.held);
        this->enter(ActivationPhase::Arming, now);
        return this->arm(ranks, now);
    }
    // The switch of another agent has been released; its step begins with the next requests.
    if (first.armed && this->options.checks.respectReleased)
        return {};
    // Never hold a step twice: a late Release order for the first hold could end the second one.
    if (this->step == 0 || first.step >= this->step)
        this->setStep(std::max(first.step, this->largestStep) + this->options.leadSteps);
    if (!this->options.checks.holdBeforeArm)
        this->enter(ActivationPhase::Arming, now);
    return { this->order(0, MapOrderKind::Hold) };
}

std::vector<MapOrder> HeldActivation::arm(const States& ranks, base::SteadyTime now)
{
    std::vector<MapOrder> orders;
    const ArmedMap wanted { .version = this->targetVersion, .step = this->step };
    for (std::uint32_t rank = 0; rank < ranks.size(); ++rank) {
        const auto& state = ranks[rank];
        if (this->isArmed(rank) || (state && state->armed == wanted))
            continue;
        // Another agent has released the step, or the rank has loaded a newer map and refuses to be armed with this
        // one.
        const bool isOver = state && (state->step >= this->step || state->prepared > this->targetVersion);
        if (isOver) {
            this->enter(ActivationPhase::Idle, now);
            return {};
        }
        orders.push_back(this->order(rank, MapOrderKind::Arm));
    }
    if (!orders.empty() && this->options.checks.allArmed)
        return orders;
    this->enter(ActivationPhase::Releasing, now);
    auto releases = this->release(ranks, now);
    orders.insert(orders.end(), releases.begin(), releases.end());
    return orders;
}

std::vector<MapOrder> HeldActivation::release(const States& ranks, base::SteadyTime now)
{
    if (!ranks.front())
        return {};
    const auto& first = *ranks.front();
    // The group has begun the step after its release, so the change is complete.
    if (first.step >= this->step) {
        this->enter(ActivationPhase::Idle, now);
        return {};
    }
    const bool isHeld = first.held == this->step || !this->releaseConfirmed;
    return isHeld ? std::vector { this->order(0, MapOrderKind::Release) } : std::vector<MapOrder> {};
}

std::vector<MapOrder> completeHeldChange(
    const std::vector<std::optional<RankMapState>>& ranks, const HeldActivationChecks& checks)
{
    const auto wanted = internal::findHeldChange(ranks, checks);
    if (!wanted) {
        const bool isFirstKnown = !ranks.empty() && ranks.front();
        const auto release = isFirstKnown ? internal::releaseBeforeSwitch(*ranks.front(), checks) : std::nullopt;
        return release ? std::vector { *release } : std::vector<MapOrder> {};
    }
    const auto epoch = ranks.front()->epoch;
    std::vector<MapOrder> orders;
    for (std::uint32_t rank = 0; rank < ranks.size(); ++rank) {
        if (ranks[rank]->armed != wanted)
            orders.push_back({ .rank = rank,
                .kind = MapOrderKind::Arm,
                .epoch = epoch,
                .version = wanted->version,
                .step = wanted->step });
    }
    if (orders.empty())
        orders.push_back({ .kind = MapOrderKind::Release, .epoch = epoch, .step = wanted->step });
    return orders;
}

bool needsFurtherChange(const std::vector<std::optional<RankMapState>>& ranks)
{
    if (ranks.empty() || !ranks.front() || !ranks.front()->held)
        return false;
    const auto& first = *ranks.front();
    const HeldActivationChecks checks;
    return internal::areAllInEpoch(ranks, first.epoch) && !internal::hasReleasedSwitch(first, checks)
        && !internal::findHeldChange(ranks, checks);
}

} // namespace chivewinch::expert
