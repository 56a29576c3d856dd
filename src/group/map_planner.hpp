#pragma once

#include "group/group_port.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace chivewinch::group {

struct MapPlannerOptions {
    double minTokens = 20'000; ///< Minimum of weighted tokens in a layer. With fewer, the popularity is unknown.
    /** Minimum relative decrease of the mean skew. A change copies weights, and steps are slower during the copies. */
    double minGain = 0.12;
    /**
     * Limit of the time that one rank copies. A rank copies one expert after the other, and the first copies reduce the
     * skew most. On recorded loads of 8 ranks, where a copy takes 0.15 s, making all copies took 1.2 s and reached a
     * skew of 1.06. Two copies for each rank take 0.3 s and reach 1.33; the next change reaches 1.15.
     */
    std::chrono::milliseconds maxCopyTime { 200 };
    std::uint32_t minCopiesPerRank = 2;
    /**
     * Minimum improvement of the planner's objective for one more copy. On recorded loads of 192 ranks, 0.03 gave a
     * mean skew of 1.40 with 196 copies, 0.005 gives 1.24 with 390, and 0.001 gives 1.23 with 450.
     */
    double minImprovement = 0.005;

    bool operator==(const MapPlannerOptions&) const = default;
};

/** Input of the planner. */
struct GroupLoads {
    std::vector<double> tokens; ///< Tokens by layer and expert, summed over all ranks.
    std::vector<double> paces; ///< Time that each rank takes for a unit of work, relative to a healthy engine.

    bool operator==(const GroupLoads&) const = default;
};

/** A planned map whose gain justifies its cost. */
struct PlannedMap {
    GroupMap map;
    double skewBefore = 1; ///< Mean over the layers of (largest rank load / mean rank load).
    double skewAfter = 1;
    std::uint32_t loaded = 0; ///< Experts that ranks must load.
};

/** Plans the next map. Returns nullopt if the present map is good enough or the load data is insufficient. */
[[nodiscard]] std::optional<PlannedMap> planMap(
    const GroupMap& present, const GroupLoads& loads, const EngineLimits& limits, const MapPlannerOptions& options);

} // namespace chivewinch::group
