#include "expert/planner.hpp"

#include "expert/layer_plan.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace chivewinch::expert {

namespace internal {

constexpr std::array<std::string_view, static_cast<std::size_t>(DecisionReason::Count)> decisionNames {
    "changed",
    "balanced_enough",
    "too_few_reports",
    "within_noise",
    "gain_below_cost",
    "weight_store_busy",
    "no_owners",
};

} // namespace internal

std::string_view toString(DecisionReason reason) noexcept
{
    const auto index = static_cast<std::size_t>(reason);
    return index < internal::decisionNames.size() ? internal::decisionNames[index] : std::string_view { "invalid" };
}

/** State of one planning run. */
struct Planner::Draft {
    const ExpertMap& map;
    Weights weights;
    std::vector<LayerMap> layers;
    std::uint64_t movesLeft = 0;
    std::uint32_t belowCost = 0;
    bool storeLimited = false;
    Decision decision;

    /** Contribution of one layer's value to the mean over all layers. */
    [[nodiscard]] double perLayer(double value) const { return value / this->map.shape().layers; }

    [[nodiscard]] double allWeights() const
    {
        const auto& shape = this->map.shape();
        return static_cast<double>(shape.ranks) * shape.slotsPerRank * shape.layers;
    }
};

Decision Planner::decide(const ExpertMap& map, const LoadEstimator& estimator, const std::vector<OwnerPolicy>& owners,
    WeightPacer& pacer, base::SteadyTime now) const
{
    Draft draft { .map = map, .weights = combine(owners), .layers = map.layers(), .decision = {} };
    draft.movesLeft = pacer.available(now) / std::max<std::uint64_t>(this->options.bytesPerExpert, 1);
    draft.decision.skewNow = 0;
    draft.decision.skewProposed = 0;
    for (std::uint32_t index = 0; index < map.shape().layers; ++index)
        this->planLayer(draft, index, estimator.layer(index));
    if (owners.empty()) {
        draft.decision.reason = DecisionReason::NoOwners;
        return draft.decision;
    }
    this->finish(draft, owners, pacer, now);
    return std::move(draft.decision);
}

// Weights the settings of the owners by their usage of the group. Without any usage all owners count equally.
Planner::Weights Planner::combine(const std::vector<OwnerPolicy>& owners)
{
    double total = 0;
    for (const auto& owner : owners)
        total += static_cast<double>(owner.usageTokens);
    Weights weights;
    for (const auto& owner : owners) {
        const auto part
            = total > 0 ? static_cast<double>(owner.usageTokens) / total : 1.0 / static_cast<double>(owners.size());
        weights.skew += part * owner.skewWeight;
        weights.cost += part * owner.costWeight;
    }
    return weights;
}

void Planner::planLayer(Draft& draft, std::uint32_t index, const LayerEstimate& estimate) const
{
    const auto& shape = draft.map.shape();
    const auto& layer = draft.map.layer(index);
    auto& decision = draft.decision;
    const auto skewNow = LayerBalance { shape, layer, estimate.load }.skew();
    decision.skewNow += draft.perLayer(skewNow);
    const auto keep = [&] { decision.skewProposed += draft.perLayer(skewNow); };
    if (estimate.intervals < this->options.minIntervals) {
        ++decision.layersUnknown;
        return keep();
    }
    const bool drifting = estimate.drift != Drift::None;
    if (skewNow <= (drifting ? this->options.driftTolerableSkew : this->options.tolerableSkew))
        return keep();
    if (!this->significant(draft.map, index, estimate)) {
        ++decision.layersWithinNoise;
        return keep();
    }
    const auto gainPerSkew = draft.perLayer(draft.weights.skew * this->options.horizonIntervals);
    const auto costPerMove = draft.weights.cost / draft.allWeights();
    ImproveOptions improve { .targetSkew = this->options.targetSkew, .maxMoves = this->options.maxMovesPerLayer };
    improve.minGainPerMove = gainPerSkew > 0 ? costPerMove / gainPerSkew : skewNow;
    if (improve.maxMoves > draft.movesLeft) {
        improve.maxMoves = static_cast<std::uint32_t>(draft.movesLeft);
        draft.storeLimited = true;
    }
    auto plan = improveLayer(shape, layer, estimate.load, improve);
    const auto gain = gainPerSkew * (skewNow - plan.skewAfter);
    const auto cost = costPerMove * plan.moves;
    if (gain <= cost) {
        ++draft.belowCost;
        return keep();
    }
    decision.skewProposed += draft.perLayer(plan.skewAfter);
    decision.gain += gain;
    decision.cost += cost;
    decision.moves += plan.moves;
    draft.movesLeft -= std::min<std::uint64_t>(draft.movesLeft, plan.moves);
    ++decision.layersChanged;
    draft.layers[index] = std::move(plan.layer);
}

// Returns true if the load of a rank exceeds the tolerable load by more than the noise of its estimate explains.
bool Planner::significant(const ExpertMap& map, std::uint32_t index, const LayerEstimate& estimate) const
{
    std::vector<double> loads(map.shape().ranks);
    std::vector<double> variances(map.shape().ranks);
    for (const auto& replica : map.layer(index)) {
        const auto share = static_cast<double>(replica.share) / shareUnit;
        const auto deviation = share * estimate.deviation[replica.expert];
        loads[replica.rank] += share * estimate.load[replica.expert];
        variances[replica.rank] += deviation * deviation;
    }
    const bool drifting = estimate.drift != Drift::None;
    const auto tolerable = drifting ? this->options.driftTolerableSkew : this->options.tolerableSkew;
    // Noise that is measured over few intervals may be too low, so the limit is higher then.
    const auto fewIntervalsFactor
        = 1 + static_cast<double>(this->options.minIntervals) / static_cast<double>(estimate.intervals);
    const auto limit = drifting ? this->options.driftSignificance : this->options.significance * fewIntervalsFactor;
    const auto mean = 1.0 / map.shape().ranks;
    for (std::size_t rank = 0; rank < loads.size(); ++rank) {
        const auto excess = loads[rank] - mean * tolerable;
        if (excess > 0 && excess > limit * std::sqrt(variances[rank]))
            return true;
    }
    return false;
}

void Planner::finish(
    Draft& draft, const std::vector<OwnerPolicy>& owners, WeightPacer& pacer, base::SteadyTime now) const
{
    auto& decision = draft.decision;
    decision.cost += draft.weights.cost * this->options.changeCost;
    decision.bytes = decision.moves * this->options.bytesPerExpert;
    decision.transferTime = pacer.duration(decision.bytes);
    decision.charges = attributeCost(decision.bytes, owners);
    if (decision.layersChanged > 0 && decision.gain > decision.cost) {
        MapError error;
        decision.map = ExpertMap::create(draft.map.shape(), std::move(draft.layers), error);
        decision.transfer = pacer.reserve(decision.bytes, now);
        decision.reason = decision.map && decision.transfer ? DecisionReason::Changed : DecisionReason::WeightStoreBusy;
        if (decision.reason != DecisionReason::Changed)
            decision.map.reset();
        return;
    }
    if (draft.belowCost + decision.layersChanged > 0)
        decision.reason = draft.storeLimited ? DecisionReason::WeightStoreBusy : DecisionReason::GainBelowCost;
    else if (decision.layersWithinNoise > 0)
        decision.reason = DecisionReason::WithinNoise;
    else if (decision.layersUnknown > 0)
        decision.reason = DecisionReason::TooFewReports;
}

} // namespace chivewinch::expert
