#pragma once

#include "group/count_window.hpp"
#include "group/group_port.hpp"

#include <cstdint>
#include <optional>

namespace chivewinch::group {

struct MapPlannerOptions {
    double minTokens = 20'000; ///< Weighted tokens of a layer below which its popularity is not known.
    /** Least relative decrease of the mean skew; a change costs copies of weights, during which steps are slower. */
    double minGain = 0.10;
    double minImprovement = 0.03; ///< Of the planner's objective, for one more copy.

    bool operator==(const MapPlannerOptions&) const = default;
};

/** A map that is worth its cost. */
struct PlannedMap {
    GroupMap map;
    double skewBefore = 1; ///< Mean over the layers of the largest rank load divided by the mean.
    double skewAfter = 1;
    std::uint32_t loaded = 0; ///< Experts that ranks must load.
};

/** Plans the next map; nullopt if the present one is good enough or too little is known. */
[[nodiscard]] std::optional<PlannedMap> planMap(
    const GroupMap& present, const CountWindow& window, const EngineLimits& limits, const MapPlannerOptions& options);

} // namespace chivewinch::group
