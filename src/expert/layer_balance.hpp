#pragma once

#include "expert/map.hpp"

#include <cstdint>
#include <span>
#include <vector>

namespace chivewinch::expert {

/** Load of each rank and of each replica in one layer, under a given popularity of the experts. */
class LayerBalance {
public:
    /** Takes replicas and shares from the layer map. The loads must sum to 1. */
    LayerBalance(const GroupShape& shape, const LayerMap& layer, std::span<const double> loads);
    /** Creates a layer without replicas. */
    LayerBalance(const GroupShape& shape, std::span<const double> loads);

    /** Largest rank load divided by the mean. */
    [[nodiscard]] double skew() const;
    [[nodiscard]] const std::vector<double>& rankLoads() const noexcept { return this->ranks; }

    /**
     * Moves load between the replicas of each expert until the rank loads are as even as the placement allows, or for
     * at most `sweeps` passes over all experts. Each step distributes one expert by water-filling: it raises the least
     * loaded ranks that hold the expert to a common level, which lowers the sum of squared rank loads.
     */
    void balanceShares(std::uint32_t sweeps);
    /** Gives all replicas of an expert the same load. */
    void splitEqually();

    [[nodiscard]] bool holds(std::uint32_t expert, std::uint32_t rank) const;
    [[nodiscard]] std::uint32_t freeSlots(std::uint32_t rank) const;
    /** Adds a replica without load. The next call of balanceShares assigns load to it. */
    void addReplica(std::uint32_t expert, std::uint32_t rank);
    /** Removes a replica and moves its load to the other replicas of the expert. At least one other must exist. */
    void removeReplica(std::uint32_t expert, std::uint32_t rank);

    /** Returns the layer map; shares are integers that sum to shareUnit for each expert. */
    [[nodiscard]] LayerMap toLayer() const;

    struct Part {
        std::uint32_t rank = 0;
        double load = 0;
    };
    [[nodiscard]] const std::vector<Part>& parts(std::uint32_t expert) const { return this->experts[expert]; }
    [[nodiscard]] const std::vector<std::uint16_t>& expertsOn(std::uint32_t rank) const
    {
        return this->expertsByRank[rank];
    }
    [[nodiscard]] std::uint32_t expertCount() const { return static_cast<std::uint32_t>(this->experts.size()); }
    [[nodiscard]] double load(std::uint32_t expert) const { return this->expertLoads[expert]; }

private:
    /** Distributes one expert by water-filling. Returns the sum of the absolute load changes of its replicas. */
    double waterFill(std::uint32_t expert);

    std::uint32_t slots;
    std::vector<double> expertLoads;
    std::vector<std::vector<Part>> experts; ///< Replicas of each expert.
    std::vector<std::vector<std::uint16_t>> expertsByRank; ///< Experts of each rank.
    std::vector<double> ranks;
    std::vector<double> levels; ///< Scratch space of waterFill.
};

} // namespace chivewinch::expert
