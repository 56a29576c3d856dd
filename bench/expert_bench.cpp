#include "expert/layer_plan.hpp"
#include "expert/planner.hpp"
#include "expert_traces.hpp"
#include "report.hpp"

#include <chrono>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <iomanip>
#include <sstream>

namespace {

using namespace chivewinch;
using bench::Popularity;
using MapPointer = std::shared_ptr<const expert::ExpertMap>;

constexpr std::chrono::seconds intervalLength { 10 };

/** Outcome of one policy on one trace. Skew samples are one per interval and layer. */
struct Outcome {
    double meanSkew = 0;
    double p99Skew = 0;
    std::uint64_t moves = 0;
    std::uint64_t changes = 0;
};

/** Map for the next interval; nullopt keeps the present one. The delay counts intervals from the decision on. */
struct Step {
    std::optional<expert::ExpertMap> map;
    std::uint64_t delay = 1;
};

using Policy = std::function<Step(const expert::ExpertMap&, const expert::LoadEstimator&, std::uint64_t)>;

expert::ExpertMap solveAll(
    const expert::GroupShape& shape, const std::function<std::vector<double>(std::uint32_t)>& load, bool improve)
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

Outcome summarise(std::vector<double> samples)
{
    Outcome outcome;
    std::ranges::sort(samples);
    outcome.meanSkew = std::accumulate(samples.begin(), samples.end(), 0.0) / static_cast<double>(samples.size());
    outcome.p99Skew = samples[samples.size() * 99 / 100];
    return outcome;
}

/** The first map is solved on the true popularity of the first interval, for every policy. */
Outcome simulate(const bench::TraceOptions& options, const Policy& policy)
{
    bench::Trace trace { options };
    bench::Reporter reporter { {}, options.seed + 1000 };
    expert::LoadEstimator estimator { options.shape };
    std::vector<double> samples;
    std::uint64_t moves = 0;
    std::uint64_t changes = 0;
    MapPointer map;
    MapPointer next;
    std::uint64_t nextAt = 0;
    for (std::uint64_t interval = 0; interval < options.intervals; ++interval) {
        const auto loads = trace.next();
        if (!map)
            map = std::make_shared<expert::ExpertMap>(solveAll(
                options.shape, [&](auto layer) { return loads[layer]; }, true));
        if (next && interval >= nextAt)
            map = std::exchange(next, nullptr);
        for (std::uint32_t layer = 0; layer < options.shape.layers; ++layer)
            samples.push_back(bench::layerSkew(*map, layer, loads[layer]));
        reporter.report(map, loads, interval, estimator);
        if (std::getenv("DBG2") && interval % 6 == 0) {
            double m = 0;
            for (std::size_t k = samples.size() - options.shape.layers; k < samples.size(); ++k)
                m += samples[k] / options.shape.layers;
            std::cerr << options.kind << interval << " skew " << m << "\n";
        }
        if (std::getenv("DBG") && interval % 20 == 19) {
            double m = 0, x = 0, lo = 9;
            for (std::uint32_t l = 0; l < options.shape.layers; ++l) {
                const auto& e = estimator.layer(l);
                m += e.driftScore / options.shape.layers;
                x = std::max(x, e.driftScore);
                lo = std::min(lo, e.driftScore);
            }
            std::cerr << options.kind << " " << interval << " score min " << lo << " mean " << m << " max " << x
                      << "\n";
        }
        if (next)
            continue;
        auto step = policy(*map, estimator, interval);
        if (!step.map)
            continue;
        moves += expert::countMoves(*map, *step.map);
        ++changes;
        next = std::make_shared<expert::ExpertMap>(std::move(*step.map));
        nextAt = interval + step.delay;
    }
    auto outcome = summarise(std::move(samples));
    outcome.moves = moves;
    outcome.changes = changes;
    return outcome;
}

Policy staticMap()
{
    return [](const auto&, const auto&, auto) { return Step {}; };
}

/** Solves every layer anew in every interval; its weights are assumed to arrive within the interval. */
Policy resolveAlways()
{
    return [](const expert::ExpertMap& map, const expert::LoadEstimator& estimator, std::uint64_t) {
        if (estimator.layer(0).intervals < expert::PlannerOptions {}.minIntervals)
            return Step {};
        return Step { .map = solveAll(
                          map.shape(), [&](auto layer) { return estimator.layer(layer).load; }, false) };
    };
}

Policy planned(std::uint32_t skewWeight, std::uint32_t costWeight, std::shared_ptr<expert::WeightPacer> pacer)
{
    return [=](const expert::ExpertMap& map, const expert::LoadEstimator& estimator, std::uint64_t interval) {
        const std::vector<expert::OwnerPolicy> owners {
            { .owner = "owner", .skewWeight = skewWeight, .costWeight = costWeight, .usageTokens = 1 }
        };
        const base::SteadyTime now { intervalLength * interval };
        auto decision = expert::Planner {}.decide(map, estimator, owners, *pacer, now);
        const auto transfer = std::chrono::duration_cast<std::chrono::seconds>(decision.transferTime);
        const auto delay = 1 + static_cast<std::uint64_t>(transfer / intervalLength);
        return Step { .map = std::move(decision.map), .delay = delay };
    };
}

void print(const std::string& name, const Outcome& outcome)
{
    std::cerr << std::left << std::setw(34) << name << std::fixed << std::setprecision(4) << outcome.meanSkew << "  "
              << outcome.p99Skew << "  " << std::setw(10) << outcome.moves << outcome.changes << "\n";
}

constexpr std::uint32_t defaultSkewWeight = 1;
constexpr std::uint32_t defaultCostWeight = 1;

void compare(const std::string& kind, const expert::GroupShape& shape)
{
    const bench::TraceOptions options { .kind = kind, .shape = shape };
    if (!std::getenv("FAST")) {
        const auto fixed = simulate(options, staticMap());
        print(kind + " static", fixed);
        const auto full = simulate(options, resolveAlways());
        print(kind + " resolve", full);
    }
    const auto ours
        = simulate(options, planned(defaultSkewWeight, defaultCostWeight, std::make_shared<expert::WeightPacer>()));
    print(kind + " ours", ours);
}

} // namespace

int main()
{
    const expert::GroupShape shape { .ranks = 256, .experts = 128, .layers = 12, .slotsPerRank = 2 };
    for (const auto* kind : { "drift", "weekend", "alternating", "noise" })
        compare(kind, shape);
    return 0;
}
