#pragma once

#include "expert/map.hpp"

#include <cstdint>
#include <span>
#include <vector>

namespace chivewinch::expert {

/** Load of every rank and the part of each replica, for one layer under a given popularity. */
class LayerBalance {
public:
    /** Starts from the shares of the layer map; loads sum to 1. */
    LayerBalance(const GroupShape& shape, const LayerMap& layer, std::span<const double> loads);
    /** Starts without replicas. */
    LayerBalance(const GroupShape& shape, std::span<const double> loads);

    /** Largest rank load divided by the mean. */
    [[nodiscard]] double skew() const;
    [[nodiscard]] const std::vector<double>& rankLoads() const noexcept { return this->ranks; }

    /**
     * Moves load between the replicas of each expert until the ranks are as even as the placement allows: each step
     * fills the least loaded ranks of one expert to a common level, which lowers the sum of squared rank loads.
     */
    void evenShares(std::uint32_t sweeps);
    /** Gives all replicas of an expert the same part. */
    void splitEqually();

    [[nodiscard]] bool holds(std::uint32_t expert, std::uint32_t rank) const;
    [[nodiscard]] std::uint32_t freeSlots(std::uint32_t rank) const;
    /** The new replica gets no load before the next evenShares. */
    void addReplica(std::uint32_t expert, std::uint32_t rank);
    /** The load goes to the other replicas of the expert, of which there must be at least one. */
    void removeReplica(std::uint32_t expert, std::uint32_t rank);

    /** Layer map with shares rounded to shareUnit. */
    [[nodiscard]] LayerMap toLayer() const;

    struct Part {
        std::uint32_t rank = 0;
        double load = 0;
    };
    [[nodiscard]] const std::vector<Part>& parts(std::uint32_t expert) const { return this->experts[expert]; }
    [[nodiscard]] const std::vector<std::uint16_t>& expertsOn(std::uint32_t rank) const { return this->held[rank]; }
    [[nodiscard]] std::uint32_t expertCount() const { return static_cast<std::uint32_t>(this->experts.size()); }
    [[nodiscard]] double load(std::uint32_t expert) const { return this->expertLoads[expert]; }

private:
    /** Returns the load that changed its rank. */
    double fill(std::uint32_t expert);

    std::uint32_t slots;
    std::vector<double> expertLoads;
    std::vector<std::vector<Part>> experts; ///< Replicas of each expert.
    std::vector<std::vector<std::uint16_t>> held; ///< Experts of each rank.
    std::vector<double> ranks;
    std::vector<double> levels; ///< Scratch space of fill.
};

} // namespace chivewinch::expert
