#pragma once

#include "base/random.hpp"
#include "expert/layer_plan.hpp"
#include "expert/load_estimator.hpp"
#include "expert/map.hpp"

#include <algorithm>
#include <cmath>
#include <vector>

namespace chivewinch::expert {

inline std::vector<double> randomLoads(std::uint32_t experts, base::RandomSource& random)
{
    std::vector<double> loads(experts);
    double sum = 0;
    for (auto& load : loads)
        sum += load = std::exp(2 * random.unit());
    for (auto& load : loads)
        load /= sum;
    return loads;
}

/** Approximately normal with mean 0 and variance 1. */
inline double standardNormal(base::RandomSource& random)
{
    double sum = -6;
    for (int i = 0; i < 12; ++i)
        sum += random.unit();
    return sum;
}

inline ExpertMap solvedMap(const GroupShape& shape, const std::vector<double>& loads)
{
    const auto layer = improveLayer(shape, *solveLayer(shape, loads), loads, {}).layer;
    MapError error;
    return *ExpertMap::create(shape, std::vector<LayerMap>(shape.layers, layer), error);
}

/** Returns the reports of one interval with 5% noise. The ranks in `missing` send no report. */
inline std::vector<LoadReport> reportsOf(const ExpertMap& map, const std::vector<double>& loads, std::uint64_t interval,
    base::RandomSource& random, const std::vector<std::uint32_t>& missing = {})
{
    constexpr double tokens = 1e7;
    constexpr double noise = 0.05;
    std::vector<LoadReport> reports;
    for (std::uint32_t layer = 0; layer < map.shape().layers; ++layer) {
        std::vector<LoadReport> layerReports(map.shape().ranks);
        for (const auto& replica : map.layer(layer)) {
            const auto count
                = tokens * loads[replica.expert] * replica.share / shareUnit * (1 + noise * standardNormal(random));
            layerReports[replica.rank].tokens.push_back(static_cast<std::uint64_t>(count));
        }
        for (std::uint32_t rank = 0; rank < layerReports.size(); ++rank) {
            if (std::ranges::find(missing, rank) != missing.end())
                continue;
            layerReports[rank].rank = rank;
            layerReports[rank].layer = layer;
            layerReports[rank].interval = interval;
            reports.push_back(std::move(layerReports[rank]));
        }
    }
    return reports;
}

inline void observe(LoadEstimator& estimator, const ExpertMap& map, const std::vector<double>& loads,
    std::uint64_t interval, base::RandomSource& random, const std::vector<std::uint32_t>& missing = {})
{
    for (const auto& report : reportsOf(map, loads, interval, random, missing))
        (void)estimator.add(report, map);
    estimator.close(interval);
}

} // namespace chivewinch::expert
