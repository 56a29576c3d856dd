#include "limit/load_shedder.hpp"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace chivewinch::limit {

namespace internal {

constexpr double rateGain = 0.1; ///< Weight of the latest interval in the smoothed rates.
constexpr double minRate = 1; ///< Lower bound, per second, of the owner's rate used to space Retry-After.

void smooth(double& rate, double sample) noexcept { rate += rateGain * (sample - rate); }

} // namespace internal

LoadShedder::LoadShedder(ShedderOptions options)
    : options { std::move(options) }
{
    for (const auto& [owner, weight] : this->options.ownerWeights)
        this->owners[owner].weight = weight;
}

double LoadShedder::Owner::demand() const noexcept
{
    double sum = 0;
    for (const auto& level : this->levels)
        sum += level.rate;
    return sum;
}

LoadShedder::Owner& LoadShedder::findOrAddOwner(std::string_view name)
{
    const auto found = this->owners.find(name);
    return found != this->owners.end() ? found->second : this->owners[std::string { name }];
}

Decision LoadShedder::admit(std::string_view ownerName, std::uint8_t priority, base::SteadyTime now)
{
    this->update(now);
    auto& owner = this->findOrAddOwner(ownerName);
    auto& level = owner.levels[std::min<std::size_t>(priority, priorityCount - 1)];
    ++level.arrived;
    if (!this->active)
        return {};
    level.credit += level.admittedShare;
    if (level.credit < 1)
        return this->refuse(owner, now);
    level.credit -= 1;
    return {};
}

void LoadShedder::served(base::SteadyTime now)
{
    this->update(now);
    ++this->servedInInterval;
}

void LoadShedder::update(base::SteadyTime now)
{
    if (this->lastUpdate == base::SteadyTime {})
        this->lastUpdate = now;
    if (now - this->lastUpdate < this->options.interval)
        return;
    this->updateRates(std::chrono::duration<double>(now - this->lastUpdate).count());
    this->lastUpdate = now;
    this->updateActive();
    if (!this->active)
        return;
    const auto correction = std::chrono::duration<double>(this->options.correctionTime).count();
    const auto surplus = (this->targetQueue() - static_cast<double>(this->queued)) / correction;
    this->divideCapacity(std::max(this->servedRate + surplus, 0.0));
}

void LoadShedder::updateRates(double elapsedSeconds)
{
    internal::smooth(this->servedRate, std::exchange(this->servedInInterval, 0) / elapsedSeconds);
    for (auto& [name, owner] : this->owners)
        for (auto& level : owner.levels)
            internal::smooth(level.rate, std::exchange(level.arrived, 0) / elapsedSeconds);
}

double LoadShedder::targetQueue() const noexcept
{
    const auto delay = std::chrono::duration<double>(this->options.targetDelay).count();
    return std::max(this->servedRate * delay, static_cast<double>(this->options.minQueue));
}

void LoadShedder::updateActive()
{
    const auto targetLength = this->targetQueue();
    const auto length = static_cast<double>(this->queued);
    // Stops shedding before the queue is empty, so that no capacity stays unused while requests are refused.
    if (length > targetLength)
        this->active = this->options.enabled;
    else if (length < targetLength / 4)
        this->active = false;
}

void LoadShedder::divideCapacity(double capacity)
{
    if (!this->options.fairOwners) {
        this->divideInProportion(capacity);
        return;
    }
    std::vector<std::pair<double, Owner*>> order; // Demand divided by weight; ascending after the sort.
    double weights = 0;
    for (auto& [name, owner] : this->owners) {
        order.emplace_back(owner.demand() / owner.weight, &owner);
        weights += owner.weight;
    }
    std::ranges::sort(order);
    for (const auto& [relativeDemand, owner] : order) {
        owner->allowed = std::min(owner->demand(), capacity * owner->weight / weights);
        capacity -= owner->allowed;
        weights -= owner->weight;
        divideByPriority(*owner, this->options.usePriorities);
    }
}

void LoadShedder::divideInProportion(double capacity)
{
    double total = 0;
    for (const auto& [name, owner] : this->owners)
        total += owner.demand();
    for (auto& [name, owner] : this->owners) {
        owner.allowed = total > 0 ? owner.demand() * std::min(1.0, capacity / total) : 0;
        divideByPriority(owner, this->options.usePriorities);
    }
}

void LoadShedder::divideByPriority(Owner& owner, bool usePriorities)
{
    const auto demand = owner.demand();
    auto rest = owner.allowed;
    for (std::size_t i = priorityCount; i-- > 0;) {
        auto& level = owner.levels[i];
        if (!usePriorities)
            level.admittedShare = demand > 0 ? std::min(1.0, owner.allowed / demand) : 1;
        else
            level.admittedShare = level.rate > 0 ? std::min(1.0, rest / level.rate) : (rest > 0 ? 1 : 0);
        rest = std::max(0.0, rest - level.rate);
    }
}

Decision LoadShedder::refuse(Owner& owner, base::SteadyTime now) const
{
    const auto rate = std::max(owner.allowed, internal::minRate);
    const auto interval = this->options.spreadRetries
        ? std::chrono::nanoseconds { static_cast<std::int64_t>(1e9 / rate) }
        : std::chrono::nanoseconds { 0 };
    return { .reason = base::RefusalReason::Overload,
        .retryAfter = owner.retries.next(this->options.minRetryAfter, this->options.maxRetryAfter, interval, now) };
}

} // namespace chivewinch::limit
