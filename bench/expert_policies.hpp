#pragma once

#include "expert/layer_plan.hpp"
#include "expert/planner.hpp"
#include "expert_traces.hpp"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace chivewinch::bench {

constexpr std::chrono::seconds intervalLength { 10 };

/** Outcome of one policy on one trace. The skew is sampled once per interval and layer. */
struct Outcome {
    double meanSkew = 0;
    double p99Skew = 0;
    std::uint64_t moves = 0;
    std::uint64_t changes = 0;
    std::vector<double> skewOverTime; ///< Mean over the layers, one per interval.
};

/** Next map, or nullopt to keep the current one. The delay is the number of intervals until the map applies. */
struct PolicyDecision {
    std::optional<expert::ExpertMap> map;
    std::uint64_t delay = 1;
};

using Policy = std::function<PolicyDecision(const expert::ExpertMap&, const expert::LoadEstimator&, std::uint64_t)>;
using LayerLoads = std::function<std::vector<double>(std::uint32_t)>;

inline expert::ExpertMap solveAll(const expert::GroupShape& shape, const LayerLoads& load, bool improve)
{
    std::vector<expert::LayerMap> layers;
    for (std::uint32_t layer = 0; layer < shape.layers; ++layer) {
        layers.push_back(*expert::solveLayer(shape, load(layer)));
        if (improve)
            layers.back() = expert::improveLayer(shape, layers.back(), load(layer), {}).layer;
    }
    expert::MapError error;
    return *expert::ExpertMap::create(shape, std::move(layers), error);
}

inline void summarise(std::vector<double> samples, Outcome& outcome)
{
    std::ranges::sort(samples);
    outcome.meanSkew = std::accumulate(samples.begin(), samples.end(), 0.0) / static_cast<double>(samples.size());
    outcome.p99Skew = samples[samples.size() * 99 / 100];
}

/** Runs a policy on a trace. The first map is always solved from the true popularity of the first interval. */
inline Outcome simulate(const TraceOptions& options, const Policy& policy)
{
    Trace trace { options };
    Reporter reporter { {}, options.seed + 1000 };
    expert::LoadEstimator estimator { options.shape };
    Outcome outcome;
    std::vector<double> samples;
    std::shared_ptr<const expert::ExpertMap> map;
    std::shared_ptr<const expert::ExpertMap> next;
    std::uint64_t nextAt = 0;
    for (std::uint64_t interval = 0; interval < options.intervals; ++interval) {
        const auto loads = trace.next();
        if (!map) {
            const auto first = [&](std::uint32_t layer) { return loads[layer]; };
            map = std::make_shared<expert::ExpertMap>(solveAll(options.shape, first, true));
        }
        if (next && interval >= nextAt)
            map = std::exchange(next, nullptr);
        outcome.skewOverTime.push_back(0);
        for (std::uint32_t layer = 0; layer < options.shape.layers; ++layer) {
            samples.push_back(layerSkew(*map, layer, loads[layer]));
            outcome.skewOverTime.back() += samples.back() / options.shape.layers;
        }
        reporter.report(map, loads, interval, estimator);
        auto step = next ? PolicyDecision {} : policy(*map, estimator, interval);
        if (!step.map)
            continue;
        outcome.moves += expert::countMoves(*map, *step.map);
        ++outcome.changes;
        next = std::make_shared<expert::ExpertMap>(std::move(*step.map));
        nextAt = interval + step.delay;
    }
    summarise(std::move(samples), outcome);
    return outcome;
}

inline Policy staticMap()
{
    return [](const auto&, const auto&, auto) { return PolicyDecision {}; };
}

/** Solves every layer anew in every interval and, if `improve` is true, then runs the planner's search. Moved weights
 * are assumed to arrive within the interval. */
inline Policy resolveEveryInterval(bool improve)
{
    return [improve](const expert::ExpertMap& map, const expert::LoadEstimator& estimator, std::uint64_t) {
        if (estimator.layer(0).intervals < expert::PlannerOptions {}.minIntervals)
            return PolicyDecision {};
        const auto estimate = [&](std::uint32_t layer) { return estimator.layer(layer).load; };
        return PolicyDecision { .map = solveAll(map.shape(), estimate, improve) };
    };
}

/** The planner of src/expert, limited by the transfer rate of the weight store. */
inline Policy plannerPolicy(std::uint32_t skewWeight, std::uint32_t costWeight)
{
    auto pacer = std::make_shared<expert::WeightPacer>();
    return [=](const expert::ExpertMap& map, const expert::LoadEstimator& estimator, std::uint64_t interval) {
        const std::vector<expert::OwnerPolicy> owners {
            { .owner = "owner", .skewWeight = skewWeight, .costWeight = costWeight, .usageTokens = 1 }
        };
        const base::SteadyTime now { intervalLength * interval };
        auto decision = expert::Planner {}.decide(map, estimator, owners, *pacer, now);
        const auto transfer = std::chrono::duration_cast<std::chrono::seconds>(decision.transferTime);
        const auto delay = 1 + static_cast<std::uint64_t>(transfer / intervalLength);
        return PolicyDecision { .map = std::move(decision.map), .delay = delay };
    };
}

} // namespace chivewinch::bench
