#pragma once

#include "expert/cost.hpp"
#include "expert/load_estimator.hpp"
#include "expert/map.hpp"
#include "expert/pacer.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chivewinch::expert {

struct PlannerOptions {
    std::uint64_t bytesPerExpert = 44'000'000; ///< Weights of one expert in one layer.
    double horizonIntervals = 30; ///< Intervals for which a gain is expected to last.
    double changeCost = 0.0005; ///< Fixed cost of a change, as a fraction of the cost of loading all weights.
    double significance = 6; ///< Standard deviations by which the load of a rank must exceed the tolerable load.
    double driftSignificance = 1; ///< The same for a layer that drifts.
    std::uint64_t minIntervals = 8; ///< A layer with fewer observed intervals is not changed.
    double targetSkew = 1.01;
    double tolerableSkew = 1.03; ///< A layer without drift is not changed up to this skew.
    double driftTolerableSkew = 1.015; ///< The same for a layer that drifts.
    std::uint32_t maxMovesPerLayer = 64;

    bool operator==(const PlannerOptions&) const = default;
};

/** Why a map is changed or kept. toString returns the names that metric labels and log values use. */
enum class DecisionReason : std::uint8_t {
    Changed,
    BalancedEnough,
    TooFewReports,
    WithinNoise,
    GainBelowCost,
    WeightStoreBusy,
    NoOwners,
    Count
};

[[nodiscard]] std::string_view toString(DecisionReason reason) noexcept;

/** Result of planning, with the figures that explain it to an operator. */
struct Decision {
    DecisionReason reason = DecisionReason::BalancedEnough;
    std::optional<ExpertMap> map; ///< Set when the reason is Changed.
    /** Expected skew of the step time with the map in use: mean over the layers of max/mean rank load. */
    double skewNow = 1;
    double skewProposed = 1;
    double gain = 0; ///< Weighted by the owners' settings; a change needs gain > cost.
    double cost = 0;
    std::uint32_t layersChanged = 0;
    std::uint32_t layersWithinNoise = 0;
    std::uint32_t layersUnknown = 0; ///< Layers with too few observed intervals.
    std::uint64_t moves = 0;
    std::uint64_t bytes = 0;
    std::chrono::nanoseconds transferTime {};
    std::optional<Reservation> transfer;
    std::vector<OwnerCharge> charges;
};

/** Decides whether a new expert map is worth its cost. */
class Planner {
public:
    explicit Planner(PlannerOptions options = {})
        : options { options }
    {
    }

    /** Plans a new map. Reserves the transfer at the pacer if the map is changed. */
    [[nodiscard]] Decision decide(const ExpertMap& map, const LoadEstimator& estimator,
        const std::vector<OwnerPolicy>& owners, WeightPacer& pacer, base::SteadyTime now) const;

private:
    struct Weights {
        double skew = 0;
        double cost = 0;
    };

    struct Draft;

    [[nodiscard]] static Weights combine(const std::vector<OwnerPolicy>& owners);
    void planLayer(Draft& draft, std::uint32_t index, const LayerEstimate& estimate) const;
    [[nodiscard]] bool significant(const ExpertMap& map, std::uint32_t index, const LayerEstimate& estimate) const;
    void finish(Draft& draft, const std::vector<OwnerPolicy>& owners, WeightPacer& pacer, base::SteadyTime now) const;

    PlannerOptions options;
};

} // namespace chivewinch::expert
