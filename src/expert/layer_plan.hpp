#pragma once

#include "expert/layer_balance.hpp"

#include <cstdint>
#include <optional>
#include <span>

namespace chivewinch::expert {

/**
 * Computes a placement from scratch. Assigns the number of replicas by popularity, then places the replicas, heaviest
 * first, on the least loaded rank. Nullopt when not every expert gets a replica or the loads do not match the shape.
 */
[[nodiscard]] std::optional<LayerMap> solveLayer(const GroupShape& shape, std::span<const double> loads);

struct ImproveOptions {
    double targetSkew = 1.01; ///< The search stops at or below this skew.
    double minGainPerMove = 0; ///< Reduction of the skew that each move must bring on average.
    std::uint32_t maxMoves = 64;
    std::uint32_t patience = 12; ///< Stop after this many moves without a better trade-off of skew and moves.
    /** A replica is exchanged when the loads per replica of two experts differ by more than this factor. */
    double replicaRatio = 1.25;
    /** Skew reduction credited to even loads per replica, since they limit the skew when the estimate is wrong. */
    double replicaGain = 0.003;
    double coarseSkew = 1.1; ///< Above this skew the move with the best score is made without trying others.
    std::uint32_t coarseSweeps = 4; ///< Sweeps of balanceShares after a move above coarseSkew.
    std::uint32_t trialSweeps = 2; ///< Sweeps of balanceShares for each move that is tried.
    std::uint32_t sweeps = 20; ///< Sweeps of balanceShares after the best tried move.

    bool operator==(const ImproveOptions&) const = default;
};

struct LayerPlan {
    LayerMap layer;
    double skewBefore = 1;
    double skewAfter = 1;
    std::uint32_t moves = 0;
};

/** Balances the ranks of a layer under the given popularity by changing shares and moving a few replicas. */
[[nodiscard]] LayerPlan improveLayer(
    const GroupShape& shape, const LayerMap& layer, std::span<const double> loads, const ImproveOptions& options);

} // namespace chivewinch::expert
