#pragma once

#include <cstdint>
#include <span>
#include <vector>

namespace chivewinch::expert {

/**
 * Experts of one layer by rank, for engines that split the tokens of an expert evenly between the ranks that hold it.
 * The experts of a rank are in ascending order.
 */
using LayerPlacement = std::vector<std::vector<std::uint16_t>>;

struct EvenSplitOptions {
    std::uint32_t slotsPerRank = 0;
    std::uint32_t maxNewPerRank = 0; ///< Experts per layer that a rank may load in addition to those it holds.
    std::uint32_t maxChanges = 96; ///< Largest number of changes that the search makes per layer.
    /** Smallest relative improvement of the objective that justifies loading one more expert. Dropping one is free. */
    double minImprovement = 0.01;
    /**
     * Experts that a rank may load in all layers together; 0 means no limit. The limit bounds the copy time of a rank,
     * which copies its experts one after the other.
     */
    std::uint32_t maxCopiesPerRank = 0;
    /** Time of each rank for one unit of load; empty means 1 for all. Slower ranks get less load. */
    std::vector<double> paces;

    bool operator==(const EvenSplitOptions&) const = default;
};

struct EvenSplitPlan {
    LayerPlacement placement;
    double skewBefore = 1; ///< Largest rank load divided by the mean.
    double skewAfter = 1;
    std::uint32_t loaded = 0; ///< Experts that ranks must load.

    bool operator==(const EvenSplitPlan&) const = default;
};

/**
 * Returns the largest product of rank load and pace, divided by the mean rank load without paces. Returns 1 without any
 * load.
 */
[[nodiscard]] double evenSplitSkew(
    const LayerPlacement& placement, std::span<const double> loads, const std::vector<double>& paces = {});

/** Balances the ranks of one layer by a greedy search, one change at a time. Every expert keeps at least one rank. */
[[nodiscard]] EvenSplitPlan planEvenSplit(
    const LayerPlacement& placement, std::span<const double> loads, const EvenSplitOptions& options);

/**
 * Does the same for all layers in rounds of one change per layer, so that the limit on the copies of a rank is divided
 * between the layers.
 * @param loads By layer, then by expert; as many layers as placements.
 */
[[nodiscard]] std::vector<EvenSplitPlan> planEvenSplitLayers(
    const std::vector<LayerPlacement>& placements, std::span<const double> loads, const EvenSplitOptions& options);

} // namespace chivewinch::expert
