#include "expert/cost.hpp"

#include <algorithm>
#include <numeric>

namespace chivewinch::expert {

namespace internal {

__extension__ using Uint128 = unsigned __int128;

} // namespace internal

std::vector<OwnerCharge> attributeCost(std::uint64_t bytes, std::vector<OwnerPolicy> owners)
{
    std::ranges::sort(owners, {}, &OwnerPolicy::owner);
    internal::Uint128 total = 0;
    for (const auto& owner : owners)
        total += owner.usageTokens;
    if (total == 0) {
        for (auto& owner : owners)
            owner.usageTokens = 1;
        total = owners.size();
    }
    std::vector<OwnerCharge> charges;
    std::vector<internal::Uint128> remainders;
    auto left = bytes;
    for (const auto& owner : owners) {
        const auto exact = static_cast<internal::Uint128>(bytes) * owner.usageTokens;
        charges.push_back({ .owner = owner.owner, .bytes = static_cast<std::uint64_t>(exact / total) });
        remainders.push_back(exact % total);
        left -= charges.back().bytes;
    }
    std::vector<std::size_t> order(charges.size());
    std::iota(order.begin(), order.end(), 0);
    std::ranges::stable_sort(order, [&](auto a, auto b) { return remainders[a] > remainders[b]; });
    for (std::size_t i = 0; i < order.size() && left > 0; ++i, --left)
        ++charges[order[i]].bytes;
    return charges;
}

} // namespace chivewinch::expert
