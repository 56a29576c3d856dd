#include "group/map_planner.hpp"

#include <utility>

namespace chivewinch::group {

std::optional<PlannedMap> planMap(
    const GroupMap& present, const CountWindow& window, const EngineLimits& limits, const MapPlannerOptions& options)
{
    if (present.empty() || window.total() < options.minTokens)
        return std::nullopt;
    PlannedMap planned { .skewBefore = 0, .skewAfter = 0 };
    const auto layers = static_cast<double>(present.size());
    for (std::uint32_t layer = 0; layer < present.size(); ++layer) {
        auto plan = expert::improveEvenly(present[layer], window.loads(layer),
            { .slotsPerRank = limits.slotsPerRank,
                .maxNewPerRank = limits.newPerChange,
                .minImprovement = options.minImprovement,
                .paces = window.paces() });
        planned.skewBefore += plan.skewBefore / layers;
        planned.skewAfter += plan.skewAfter / layers;
        planned.loaded += plan.loaded;
        planned.map.push_back(std::move(plan.holding));
    }
    if (planned.skewAfter > planned.skewBefore * (1 - options.minGain))
        return std::nullopt;
    return planned;
}

} // namespace chivewinch::group
