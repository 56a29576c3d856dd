#include "group/map_planner.hpp"

#include <algorithm>
#include <numeric>
#include <span>
#include <utility>

namespace chivewinch::group {

namespace internal {

constexpr double maxPace = 20;

/** Clamps the paces to the valid range. A pace below 1 or above maxPace is an error of the sender. */
std::vector<double> clampPaces(std::vector<double> paces)
{
    for (auto& pace : paces)
        pace = std::clamp(pace, 1.0, maxPace);
    return paces;
}

/** Experts that a rank may copy in one change; 0 for no limit. */
std::uint32_t copiesPerRank(const EngineLimits& limits, const MapPlannerOptions& options)
{
    if (limits.copyTime.count() <= 0)
        return 0;
    return std::max(static_cast<std::uint32_t>(options.maxCopyTime / limits.copyTime), options.minCopiesPerRank);
}

} // namespace internal

std::optional<PlannedMap> planMap(
    const GroupMap& present, const GroupLoads& loads, const EngineLimits& limits, const MapPlannerOptions& options)
{
    if (present.empty() || loads.tokens.size() != present.size() * limits.experts)
        return std::nullopt;
    const std::span tokens { loads.tokens };
    const auto firstLayer = tokens.first(limits.experts);
    if (std::accumulate(firstLayer.begin(), firstLayer.end(), 0.0) < options.minTokens)
        return std::nullopt;
    const auto paces = internal::clampPaces(loads.paces);
    const auto layers = static_cast<double>(present.size());
    PlannedMap planned { .skewBefore = 0, .skewAfter = 0 };
    for (std::size_t layer = 0; layer < present.size(); ++layer) {
        const auto ofLayer = tokens.subspan(layer * limits.experts, limits.experts);
        planned.skewBefore += expert::evenSplitSkew(present[layer], ofLayer, paces) / layers;
    }
    // The skew of a map is at least 1, so no plan can reach the minimum gain.
    if (planned.skewBefore * (1 - options.minGain) < 1)
        return std::nullopt;
    const auto plans = expert::planEvenSplitLayers(present, tokens,
        { .slotsPerRank = limits.slotsPerRank,
            .maxNewPerRank = limits.newPerChange,
            .minImprovement = options.minImprovement,
            .maxCopiesPerRank = internal::copiesPerRank(limits, options),
            .paces = paces });
    for (const auto& plan : plans) {
        planned.skewAfter += plan.skewAfter / layers;
        planned.loaded += plan.loaded;
        planned.map.push_back(plan.placement);
    }
    if (planned.skewAfter > planned.skewBefore * (1 - options.minGain))
        return std::nullopt;
    return planned;
}

} // namespace chivewinch::group
