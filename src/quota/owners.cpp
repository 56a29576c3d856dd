#include "quota/owners.hpp"

#include "base/hash.hpp"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace chivewinch::quota {

namespace internal {

// With fewer owners, the loss of one would take away half of a small limit or all of it.
constexpr std::size_t minOwners = 3;

} // namespace internal

std::size_t ownerCount(double limit) noexcept
{
    // No fleet has more members; a larger number would not fit the type.
    constexpr double maxOwners = 1e6;
    return static_cast<std::size_t>(std::min(limit, maxOwners)) + internal::minOwners;
}

std::vector<std::string> chooseOwners(
    const base::TargetId& target, const base::ZoneId& zone, std::span<const Member> members, std::size_t count)
{
    const auto key = base::hash64(target);
    std::vector<std::pair<std::uint64_t, const Member*>> ranked;
    ranked.reserve(members.size());
    for (const auto& member : members)
        ranked.emplace_back(base::combineHash(key, base::hash64(member.instance)), &member);
    std::ranges::sort(ranked, std::greater {}, [](const auto& item) {
        return std::pair { item.first, item.second->instance };
    });
    const auto isInZone = [&zone](const auto& item) { return item.second->zone == zone; };
    count = std::min(count, ranked.size());
    auto fromZone = (count + 1) / 2;
    std::vector<std::string> owners;
    const auto take = [&owners](const auto& item) { owners.push_back(item.second->instance); };
    std::erase_if(ranked, [&](const auto& item) {
        if (fromZone == 0 || !isInZone(item))
            return false;
        --fromZone;
        take(item);
        return true;
    });
    for (auto next = ranked.begin(); owners.size() < count; ++next)
        take(*next);
    std::ranges::sort(owners);
    return owners;
}

} // namespace chivewinch::quota
