#pragma once

#include "group/group_port.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace chivewinch::group {

struct MapPlannerOptions {
    double minTokens = 20'000; ///< Weighted tokens of a layer below which its popularity is not known.
    /** Least relative decrease of the mean skew; a change costs copies of weights, during which steps are slower. */
    double minGain = 0.12;
    /**
     * Copies of one rank come one after the other, and the most relief comes with the first. On recorded loads of 8
     * ranks, whose copies take 0.15 s, all copies took 1.2 s to a skew of 1.06; two for each rank take 0.3 s to 1.33,
     * and the next change brings 1.15.
     */
    std::chrono::milliseconds maxCopyTime { 200 };
    std::uint32_t minCopiesPerRank = 2;
    /**
     * Of the planner's objective, for one more copy. On recorded loads of 192 ranks 0.03 gave a mean skew of 1.40 with
     * 196 copies, 0.005 gives 1.24 with 390, and 0.001 1.23 with 450.
     */
    double minImprovement = 0.005;

    bool operator==(const MapPlannerOptions&) const = default;
};

/** What a plan is made from. */
struct GroupLoads {
    std::vector<double> tokens; ///< By layer and expert, over all ranks.
    std::vector<double> paces; ///< By rank: its time for a unit of work, relative to a sound engine.

    bool operator==(const GroupLoads&) const = default;
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
    const GroupMap& present, const GroupLoads& loads, const EngineLimits& limits, const MapPlannerOptions& options);

} // namespace chivewinch::group
