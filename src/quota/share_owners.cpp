#include "quota/share_owners.hpp"

#include <algorithm>
#include <utility>

namespace chivewinch::quota {

ShareOwners::ShareOwners(std::string instance, std::chrono::nanoseconds settleTime)
    : ownInstance { std::move(instance) }
    , settleTime { settleTime }
{
}

bool ShareOwners::setMembers(std::vector<Member> newMembers, base::SteadyTime now)
{
    if (this->startedAt == base::SteadyTime {})
        this->startedAt = now;
    std::ranges::sort(newMembers);
    if (newMembers == this->members)
        return false;
    std::erase_if(
        this->pastMembers, [this, now](const auto& past) { return now - past.replacedAt >= this->settleTime; });
    this->pastMembers.push_back({ std::exchange(this->members, std::move(newMembers)), now });
    return true;
}

std::vector<std::string> ShareOwners::of(
    const base::TargetId& target, const base::ZoneId& zone, std::size_t maxOwners) const
{
    return chooseOwners(target, zone, this->members, maxOwners);
}

bool ShareOwners::mayBeUsedUp(base::SteadyTime now) const noexcept
{
    constexpr std::chrono::seconds window { 1 };
    return this->isRegisteredBefore && now - this->startedAt < window;
}

bool ShareOwners::isOwner(const std::vector<std::string>& owners) const
{
    return std::ranges::find(owners, this->ownInstance) != owners.end();
}

base::SteadyTime ShareOwners::usableFrom(
    const base::TargetId& target, const base::ZoneId& zone, std::size_t maxOwners, bool countsStart) const
{
    base::SteadyTime from {};
    for (const auto& past : this->pastMembers) {
        if (past.members.empty() && this->isRegisteredBefore && !countsStart)
            continue;
        if (!this->isOwner(chooseOwners(target, zone, past.members, maxOwners)))
            from = std::max(from, past.replacedAt + this->settleTime);
    }
    return from;
}

} // namespace chivewinch::quota
