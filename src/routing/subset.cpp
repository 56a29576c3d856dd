#include "routing/subset.hpp"

#include "base/hash.hpp"

#include <algorithm>
#include <numeric>
#include <utility>

namespace chivewinch::routing {

std::vector<std::size_t> chooseSubset(std::uint64_t key, std::span<const std::uint64_t> candidates, std::size_t size)
{
    if (candidates.size() <= size) {
        std::vector<std::size_t> all(candidates.size());
        std::iota(all.begin(), all.end(), std::size_t { 0 });
        return all;
    }
    std::vector<std::pair<std::uint64_t, std::size_t>> scores;
    scores.reserve(candidates.size());
    for (std::size_t i = 0; i < candidates.size(); ++i)
        scores.emplace_back(base::combineHash(key, candidates[i]), i);
    std::ranges::nth_element(scores, scores.begin() + static_cast<std::ptrdiff_t>(size), std::greater {});
    std::vector<std::size_t> chosen;
    chosen.reserve(size);
    for (std::size_t i = 0; i < size; ++i)
        chosen.push_back(scores[i].second);
    std::ranges::sort(chosen);
    return chosen;
}

} // namespace chivewinch::routing
