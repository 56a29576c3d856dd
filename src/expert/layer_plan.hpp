#pragma once

#include "expert/layer_balance.hpp"

#include <cstdint>
#include <optional>
#include <span>

namespace chivewinch::expert {

/** Placement from scratch: replicas by popularity, then the heaviest replica to the least loaded rank. */
[[nodiscard]] std::optional<LayerMap> solveLayer(const GroupShape& shape, std::span<const double> loads);

struct ImproveOptions {
    double targetSkew = 1.01; ///< No more moves below this skew.
    double minGainPerMove = 0; ///< Reduction of the skew that one moved weight must bring on average.
    std::uint32_t maxMoves = 64;
    std::uint32_t patience = 12; ///< Moves without a better balance of gain and moves before the search stops.
    double replicaRatio = 1.25; ///< Loads per replica may differ by this factor before a replica is exchanged.
    double replicaGain = 0.003; ///< What even replicas are worth: less skew when the estimate is wrong.
    double coarseSkew = 1.1; ///< Above this skew the most promising move is made without trying others.
    std::uint32_t coarseSweeps = 4; ///< Of evenShares after such a move.
    std::uint32_t trialSweeps = 2; ///< Of evenShares for each move that is tried.
    std::uint32_t sweeps = 20; ///< Of evenShares after the best of them.

    bool operator==(const ImproveOptions&) const = default;
};

struct LayerPlan {
    LayerMap layer;
    double skewBefore = 1;
    double skewAfter = 1;
    std::uint32_t moves = 0;
};

/** Changes the shares and a few placements of a layer so that the ranks are even under the given popularity. */
[[nodiscard]] LayerPlan improveLayer(
    const GroupShape& shape, const LayerMap& layer, std::span<const double> loads, const ImproveOptions& options);

} // namespace chivewinch::expert
