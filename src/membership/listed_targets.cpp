#include "membership/listed_targets.hpp"

#include <algorithm>
#include <utility>

namespace chivewinch::membership {

void ListedTargets::replace(const std::vector<ListedTarget>& listed, base::SteadyTime now)
{
    std::vector<base::TargetId> missing;
    for (const auto& [id, entry] : this->entries) {
        if (std::ranges::find(listed, id, &ListedTarget::id) == listed.end())
            missing.push_back(id);
    }
    for (const auto& id : missing)
        this->remove(id, now);
    for (const auto& target : listed)
        this->put(target, now);
}

void ListedTargets::put(const ListedTarget& target, base::SteadyTime /*now*/)
{
    auto& entry = this->entries[target.id];
    const Entry changed { .target = target };
    if (entry == changed)
        return;
    entry = changed;
    ++this->changes;
}

void ListedTargets::remove(const base::TargetId& target, base::SteadyTime now)
{
    const auto found = this->entries.find(target);
    if (found == this->entries.end())
        return;
    // A missing target that was leaving has left. Only the entry of a target that was not leaving can have expired.
    if (this->options.keepExpired && now < this->recoveryEnd && !found->second.target.leaving) {
        if (!found->second.removeAt)
            found->second.removeAt = this->recoveryEnd;
        return;
    }
    this->entries.erase(found);
    ++this->changes;
}

void ListedTargets::markDisconnected(base::SteadyTime now) noexcept
{
    if (!this->disconnectedAt)
        this->disconnectedAt = now;
}

std::optional<base::SteadyTime> ListedTargets::markReconnected(
    base::SteadyTime now, base::SteadyTime unavailableAt) noexcept
{
    const auto begin = std::exchange(this->disconnectedAt, std::nullopt);
    if (begin && now - *begin >= this->options.minOutage)
        this->recoveryEnd = std::min(now + this->options.recoveryTime, unavailableAt + this->options.maxKeepTime);
    return begin;
}

void ListedTargets::advance(base::SteadyTime now)
{
    const auto dropped = std::erase_if(
        this->entries, [now](const auto& item) { return item.second.removeAt && *item.second.removeAt <= now; });
    if (dropped > 0)
        ++this->changes;
}

std::set<base::ZoneId> ListedTargets::zonesWithMissing() const
{
    std::set<base::ZoneId> zones;
    for (const auto& [id, entry] : this->entries) {
        if (entry.removeAt)
            zones.insert(entry.target.zone);
    }
    return zones;
}

std::size_t ListedTargets::removeMissing(const base::ZoneId& zone)
{
    const auto removed = std::erase_if(
        this->entries, [&zone](const auto& item) { return item.second.removeAt && item.second.target.zone == zone; });
    if (removed > 0)
        ++this->changes;
    return removed;
}

std::vector<ListedTarget> ListedTargets::snapshot() const
{
    std::vector<ListedTarget> all;
    all.reserve(this->entries.size());
    for (const auto& [id, entry] : this->entries)
        all.push_back(entry.target);
    return all;
}

const ListedTarget* ListedTargets::find(const base::TargetId& target) const
{
    const auto found = this->entries.find(target);
    return found == this->entries.end() ? nullptr : &found->second.target;
}

} // namespace chivewinch::membership
