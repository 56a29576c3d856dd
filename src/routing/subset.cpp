#include "routing/subset.hpp"

#include "base/hash.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace chivewinch::routing {

namespace internal {

/**
 * Indices of `size` candidates in ascending order. Prefers candidates that fewer than maxUses entries have chosen so
 * far, then those with the largest rendezvous hash for the key.
 */
std::vector<std::size_t> rankCandidates(std::uint64_t key, std::span<const std::uint64_t> candidates,
    std::span<const std::size_t> uses, std::size_t maxUses, std::size_t size)
{
    struct Rank {
        bool isFree = false;
        std::uint64_t score = 0;
        std::size_t index = 0;

        auto operator<=>(const Rank&) const = default;
    };

    std::vector<Rank> ranks;
    ranks.reserve(candidates.size());
    for (std::size_t i = 0; i < candidates.size(); ++i)
        ranks.push_back({ .isFree = uses[i] < maxUses, .score = base::combineHash(key, candidates[i]), .index = i });
    std::ranges::nth_element(ranks, ranks.begin() + static_cast<std::ptrdiff_t>(size), std::greater {});
    std::vector<std::size_t> chosen;
    chosen.reserve(size);
    for (std::size_t i = 0; i < size; ++i)
        chosen.push_back(ranks[i].index);
    std::ranges::sort(chosen);
    return chosen;
}

std::vector<std::size_t> allIndices(std::size_t count)
{
    std::vector<std::size_t> all(count);
    std::iota(all.begin(), all.end(), std::size_t { 0 });
    return all;
}

} // namespace internal

std::vector<std::size_t> chooseSubset(std::uint64_t key, std::span<const std::uint64_t> candidates, std::size_t size)
{
    if (candidates.size() <= size)
        return internal::allIndices(candidates.size());
    const std::vector<std::size_t> uses(candidates.size());
    return internal::rankCandidates(key, candidates, uses, 1, size);
}

std::vector<std::size_t> chooseEvenSubset(std::uint64_t key, std::span<const std::uint64_t> entries,
    std::span<const std::uint64_t> candidates, std::size_t size, double slack)
{
    if (candidates.size() <= size)
        return internal::allIndices(candidates.size());
    const auto mean = static_cast<double>(entries.size() * size) / static_cast<double>(candidates.size());
    const auto maxUses = static_cast<std::size_t>(std::ceil(slack * mean));
    std::vector<std::size_t> uses(candidates.size());
    // The subset of an entry depends only on the entries before it in the list, so all entries compute the same
    // assignment without exchanging messages.
    for (const auto entry : entries) {
        auto chosen = internal::rankCandidates(entry, candidates, uses, maxUses, size);
        if (entry == key)
            return chosen;
        for (const auto index : chosen)
            ++uses[index];
    }
    return chooseSubset(key, candidates, size);
}

} // namespace chivewinch::routing
