#pragma once

#include <cstdint>
#include <span>
#include <vector>

namespace chivewinch::expert {

/**
 * Experts of one layer by rank, for engines whose ranks divide the tokens of an expert evenly between the ranks that
 * hold it. Experts of a rank are in ascending order.
 */
using LayerHolding = std::vector<std::vector<std::uint16_t>>;

struct EvenPlanOptions {
    std::uint32_t slotsPerRank = 0;
    std::uint32_t maxNewPerRank = 0; ///< Experts that a rank may load beside those that it has.
    std::uint32_t maxChanges = 96; ///< Bound on the search.
    /** Least relative improvement of the objective for one more loaded expert; a dropped one costs nothing. */
    double minImprovement = 0.01;
    /** Experts that a rank may load in all layers together; 0 for any number. The copies of a rank come one by one. */
    std::uint32_t maxCopiesPerRank = 0;
    std::vector<double> paces; ///< Time of each rank for a unit of load; 1 for all if empty. A slow rank gets less.

    bool operator==(const EvenPlanOptions&) const = default;
};

struct EvenPlan {
    LayerHolding holding;
    double skewBefore = 1; ///< Largest rank load divided by the mean.
    double skewAfter = 1;
    std::uint32_t loaded = 0; ///< Experts that ranks must load.

    bool operator==(const EvenPlan&) const = default;
};

/** Largest rank load divided by the mean, each load weighted by the rank's pace; 1 without any load. */
[[nodiscard]] double evenSkew(
    const LayerHolding& holding, std::span<const double> loads, const std::vector<double>& paces = {});

/** Searches for replicas that make the ranks even, one change at a time. Every expert keeps at least one rank. */
[[nodiscard]] EvenPlan improveEvenly(
    const LayerHolding& holding, std::span<const double> loads, const EvenPlanOptions& options);

/**
 * The same for all layers, in turns of one change each, so that a bound on the copies of a rank is spent on all of
 * them.
 * @param loads By layer, then by expert; as many layers as holdings.
 */
[[nodiscard]] std::vector<EvenPlan> improveLayers(
    const std::vector<LayerHolding>& holdings, std::span<const double> loads, const EvenPlanOptions& options);

} // namespace chivewinch::expert
