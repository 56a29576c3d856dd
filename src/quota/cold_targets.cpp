#include "quota/cold_targets.hpp"

#include <algorithm>
#include <limits>

namespace chivewinch::quota {

namespace internal {

/** Owners of shares, each of which may send one request at once. */
std::size_t coldOwnerCount(double rate) noexcept
{
    return std::max(static_cast<std::size_t>(rate / 2), std::size_t { 1 });
}

} // namespace internal

void ColdTargets::setRates(std::map<std::string, ColdRate> byPool, base::SteadyTime now)
{
    std::erase_if(byPool, [](const auto& item) { return item.second.requestsPerSecond <= 0; });
    if (byPool == this->rates)
        return;
    this->rates = std::move(byPool);
    this->refresh(now);
}

void ColdTargets::setTargets(const std::map<base::TargetId, LimitedTarget>& listed, base::SteadyTime now)
{
    std::erase_if(this->coldUntil, [this, &listed](const auto& item) {
        const auto before = this->targets.find(item.first);
        const auto after = listed.find(item.first);
        return after == listed.end()
            || (before != this->targets.end() && before->second.incarnation != after->second.incarnation);
    });
    this->targets = listed;
    this->refresh(now);
}

void ColdTargets::refresh(base::SteadyTime now)
{
    for (const auto& [target, listed] : this->targets)
        this->update(target, now);
    for (auto share = this->shares.begin(); share != this->shares.end();) {
        const auto current = share++;
        if (!this->targets.contains(current->first))
            this->end(current);
    }
}

void ColdTargets::report(const base::TargetId& target, const LimitedTarget& listed, std::chrono::milliseconds remaining,
    base::SteadyTime now)
{
    this->targets.insert_or_assign(target, listed);
    if (remaining.count() > 0)
        this->coldUntil.insert_or_assign(target, now + remaining);
    else
        this->coldUntil.erase(target);
    this->update(target, now);
}

void ColdTargets::markZone(const base::ZoneId& zone, base::SteadyTime now)
{
    for (const auto& [target, listed] : this->targets) {
        const auto rate = this->rates.find(listed.pool);
        if (listed.zone != zone || rate == this->rates.end())
            continue;
        auto& until = this->coldUntil[target];
        until = std::max(until, now + rate->second.duration);
        this->update(target, now);
    }
}

void ColdTargets::advance(base::SteadyTime now)
{
    if (this->coldUntil.empty())
        return;
    std::vector<base::TargetId> ended;
    for (const auto& [target, until] : this->coldUntil) {
        if (until <= now)
            ended.push_back(target);
    }
    for (const auto& target : ended) {
        this->coldUntil.erase(target);
        this->update(target, now);
    }
}

void ColdTargets::update(const base::TargetId& target, base::SteadyTime now)
{
    const auto until = this->coldUntil.find(target);
    const auto listed = this->targets.find(target);
    const auto share = this->shares.find(target);
    const bool isLimited = until != this->coldUntil.end() && until->second > now && listed != this->targets.end()
        && this->rates.contains(listed->second.pool);
    if (!isLimited) {
        if (share != this->shares.end())
            this->end(share);
        return;
    }
    const bool isNew = share == this->shares.end();
    auto& current = this->shares[target];
    current.coldUntil = until->second;
    this->configure(target, listed->second, current, now);
    if (isNew)
        this->changes.push_back(
            { .target = target, .isCold = true, .owners = current.owners, .isOwner = current.isOwner });
}

void ColdTargets::configure(
    const base::TargetId& target, const LimitedTarget& listed, Share& share, base::SteadyTime now) const
{
    share.rate = this->rates.at(listed.pool).requestsPerSecond;
    const auto maxOwners
        = this->dividesRates ? internal::coldOwnerCount(share.rate) : std::numeric_limits<std::size_t>::max();
    const auto owners = this->shareOwners.of(target, listed.zone, maxOwners);
    share.owners = owners.size();
    share.isOwner = this->shareOwners.isOwner(owners);
    if (!share.isOwner)
        return;
    share.usableFrom = this->shareOwners.usableFrom(target, listed.zone, maxOwners, false);
    share.bucket.configure(
        this->dividesRates ? share.rate / 2 / static_cast<double>(owners.size()) : share.rate, 1, now);
    if (!std::exchange(share.hasBucket, true) && this->shareOwners.mayBeUsedUp(now))
        (void)share.bucket.take(now);
}

void ColdTargets::end(std::map<base::TargetId, Share>::iterator share)
{
    this->changes.push_back({ .target = share->first });
    this->shares.erase(share);
}

bool ColdTargets::mayStart(const base::TargetId& target, base::SteadyTime now) const
{
    const auto share = this->shares.find(target);
    if (share == this->shares.end())
        return true;
    const auto& own = share->second;
    return own.isOwner && now >= own.usableFrom && own.bucket.hasToken(now);
}

void ColdTargets::recordStart(const base::TargetId& target, base::SteadyTime now)
{
    if (const auto share = this->shares.find(target); share != this->shares.end())
        (void)share->second.bucket.take(now);
}

std::optional<Opening> ColdTargets::opening(const base::TargetId& target, std::size_t index, base::SteadyTime now) const
{
    const auto share = this->shares.find(target);
    if (share == this->shares.end())
        return std::nullopt;
    const auto& own = share->second;
    const auto end = std::max(own.coldUntil, now);
    if (!own.isOwner)
        return Opening { end, false };
    return Opening { std::min(own.bucket.availableAt(index, std::max(now, own.usableFrom)), end), true };
}

} // namespace chivewinch::quota
