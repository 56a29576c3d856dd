#include "expert/held_activation.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace chivewinch::expert {

namespace internal {

constexpr std::array<std::string_view, static_cast<std::size_t>(MapOrderKind::Count)> orderNames { "prepare", "hold",
    "arm", "release" };
constexpr std::array<std::string_view, static_cast<std::size_t>(ActivationPhase::Count)> phaseNames { "idle",
    "preparing", "holding", "arming", "releasing" };

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
    this->holdConfirmed = false;
    this->releaseConfirmed = false;
    this->armedRanks.clear();
}

void HeldActivation::appendState(std::string& out) const
{
    out += static_cast<char>(this->holdConfirmed ? 1 : 0);
    out += static_cast<char>(this->releaseConfirmed ? 1 : 0);
    out += static_cast<char>(this->largestStep);
    for (const auto rank : this->armedRanks)
        out += static_cast<char>(rank);
}

void HeldActivation::confirm(const MapOrder& order)
{
    if (order.epoch != this->epoch || order.step != this->step)
        return;
    if (order.kind == MapOrderKind::Hold)
        this->holdConfirmed = true;
    else if (order.kind == MapOrderKind::Release)
        this->releaseConfirmed = true;
    else if (order.kind == MapOrderKind::Arm && order.version == this->targetVersion && !this->isArmed(order.rank))
        this->armedRanks.insert(std::ranges::lower_bound(this->armedRanks, order.rank), order.rank);
}

void HeldActivation::recover(const States& ranks, base::SteadyTime now)
{
    if (!ranks.front() || !ranks.front()->held)
        return;
    const auto& first = *ranks.front();
    this->epoch = first.epoch;
    this->setStep(*first.held);
    this->holdConfirmed = true;
    const bool allKnown
        = std::ranges::all_of(ranks, [&first](const auto& rank) { return rank && rank->epoch == first.epoch; });
    if (!allKnown)
        return;
    // Ranks are armed only after all of them have loaded the same map. If they have not, no rank can be armed for the
    // held step, so releasing it is safe. If they have, some rank may be armed, and only completing the change is safe.
    const bool samePrepared = first.prepared
        && std::ranges::all_of(ranks, [&first](const auto& rank) { return rank->prepared == first.prepared; });
    const bool mayBeArmed = samePrepared && *first.prepared != first.version;
    this->targetVersion = first.prepared.value_or(0);
    this->enter(
        mayBeArmed && this->options.checks.rollForward ? ActivationPhase::Arming : ActivationPhase::Releasing, now);
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
        this->recover(reported, now);
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
    std::vector<MapOrder> orders;
    for (std::uint32_t rank = 0; rank < ranks.size(); ++rank) {
        if (!ranks[rank] || ranks[rank]->prepared != this->targetVersion)
            orders.push_back(this->order(rank, MapOrderKind::Prepare));
    }
    if (orders.empty()) {
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
    if (this->step != 0 && (this->holdConfirmed || first.held == this->step)) {
        this->holdConfirmed = true;
        this->enter(ActivationPhase::Arming, now);
        return this->arm(ranks, now);
    }
    if (first.held) {
        // A late Hold order of a previous process took effect. No rank is armed yet, so the step can be released.
        auto orders = std::vector { this->order(0, MapOrderKind::Release) };
        orders.front().step = *first.held;
        this->largestStep = std::max(this->largestStep, *first.held);
        return orders;
    }
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
        if (!this->isArmed(rank) && (!ranks[rank] || ranks[rank]->armed != wanted))
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
    const bool isHeld = first.held == this->step || (this->holdConfirmed && !this->releaseConfirmed);
    return isHeld ? std::vector { this->order(0, MapOrderKind::Release) } : std::vector<MapOrder> {};
}

std::vector<MapOrder> completeHeldChange(const std::vector<std::optional<RankMapState>>& ranks)
{
    if (ranks.empty() || !ranks.front() || !ranks.front()->held || !ranks.front()->prepared)
        return {};
    const auto& first = *ranks.front();
    const ArmedMap wanted { .version = *first.prepared, .step = *first.held };
    // Ranks are armed only after all of them have loaded the map. Before that there is no change to complete.
    const bool canComplete = wanted.version != first.version && std::ranges::all_of(ranks, [&first](const auto& rank) {
        return rank && rank->epoch == first.epoch && rank->prepared == first.prepared;
    });
    if (!canComplete)
        return {};
    std::vector<MapOrder> orders;
    for (std::uint32_t rank = 0; rank < ranks.size(); ++rank) {
        if (ranks[rank]->armed != wanted)
            orders.push_back({ .rank = rank,
                .kind = MapOrderKind::Arm,
                .epoch = first.epoch,
                .version = wanted.version,
                .step = wanted.step });
    }
    if (orders.empty())
        orders.push_back({ .kind = MapOrderKind::Release, .epoch = first.epoch, .step = wanted.step });
    return orders;
}

} // namespace chivewinch::expert
