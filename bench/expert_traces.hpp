#pragma once

#include "base/random.hpp"
#include "expert/load_estimator.hpp"
#include "expert/map.hpp"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <memory>
#include <numeric>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace chivewinch::bench {

/** Popularity of the experts of each layer in one interval; each layer sums to 1. */
using Popularity = std::vector<std::vector<double>>;

struct TraceOptions {
    std::string kind; ///< drift, weekend, alternating or noise.
    expert::GroupShape shape;
    std::uint32_t intervals = 240;
    std::uint64_t seed = 1;
    double zipfExponent = 0.8;
    double driftPerInterval = 0.01; ///< Standard deviation of the random walk of the logarithmic popularity.
    double surgeFactor = 3;
    std::uint32_t surgeExperts = 12;
    double alternationFactor = 2;
    std::uint32_t teamExperts = 16;
    std::uint32_t alternationPeriod = 60;
};

/** Generates the popularity of consecutive intervals. Equal options give equal traces. */
class Trace {
public:
    explicit Trace(TraceOptions options)
        : options { std::move(options) }
        , engine { this->options.seed }
        , logs(this->options.shape.layers)
        , order(this->options.shape.layers)
    {
        for (std::uint32_t layer = 0; layer < this->options.shape.layers; ++layer)
            this->startLayer(layer);
    }

    [[nodiscard]] const TraceOptions& settings() const { return this->options; }

    Popularity next()
    {
        if (this->options.kind == "drift" && this->interval > 0)
            this->walk();
        Popularity result(this->options.shape.layers);
        for (std::uint32_t layer = 0; layer < result.size(); ++layer) {
            auto& loads = result[layer];
            for (std::uint32_t expert = 0; expert < this->options.shape.experts; ++expert)
                loads.push_back(std::exp(this->logs[layer][expert]) * this->factor(this->order[layer][expert]));
            const auto sum = std::accumulate(loads.begin(), loads.end(), 0.0);
            for (auto& load : loads)
                load /= sum;
        }
        ++this->interval;
        return result;
    }

private:
    void startLayer(std::uint32_t layer)
    {
        const auto experts = this->options.shape.experts;
        std::vector<std::uint32_t> places(experts);
        std::iota(places.begin(), places.end(), 0);
        std::ranges::shuffle(places, this->engine);
        for (std::uint32_t expert = 0; expert < experts; ++expert)
            this->logs[layer].push_back(-this->options.zipfExponent * std::log(places[expert] + 1.0));
        std::ranges::shuffle(places, this->engine);
        this->order[layer] = places;
    }

    void walk()
    {
        std::normal_distribution<double> step { 0, this->options.driftPerInterval };
        for (auto& layer : this->logs) {
            for (auto& value : layer)
                value += step(this->engine);
        }
    }

    /** Multiplier of the expert at the given position of a random order. The order makes the affected experts a random
     * set. */
    [[nodiscard]] double factor(std::uint32_t position) const
    {
        const auto time = static_cast<double>(this->interval);
        if (this->options.kind == "weekend" && position < this->options.surgeExperts)
            return 1 + (this->options.surgeFactor - 1) * ramp(time, 60, 90) * (1 - ramp(time, 160, 190));
        if (this->options.kind == "alternating" && position < 2 * this->options.teamExperts) {
            const bool firstTeam = position < this->options.teamExperts;
            const auto phase = 0.5 * (1 - std::cos(2 * M_PI * time / this->options.alternationPeriod));
            return 1 + (this->options.alternationFactor - 1) * (firstTeam ? phase : 1 - phase);
        }
        return 1;
    }

    static double ramp(double time, double from, double to)
    {
        return std::clamp((time - from) / (to - from), 0.0, 1.0);
    }

    TraceOptions options;
    std::mt19937_64 engine;
    std::vector<std::vector<double>> logs;
    std::vector<std::vector<std::uint32_t>> order;
    std::uint64_t interval = 0;
};

struct ReportFaults {
    double noise = 0.05; ///< Standard deviation of each token count, relative to the count.
    double missingShare = 0.05;
    double lateShare = 0.10; ///< Late reports arrive one or two intervals later.
    double repeatedShare = 0.01;
    double tokensPerInterval = 2e7;
};

/** Sends the reports of all ranks for one interval, with faults. A later call delivers the delayed reports. */
class Reporter {
public:
    Reporter(ReportFaults faults, std::uint64_t seed)
        : faults { faults }
        , engine { seed }
    {
    }

    void report(const std::shared_ptr<const expert::ExpertMap>& map, const Popularity& loads, std::uint64_t interval,
        expert::LoadEstimator& estimator)
    {
        for (auto& item : std::exchange(this->delayed, {})) {
            if (item.due > interval)
                this->delayed.push_back(std::move(item));
            else
                (void)estimator.add(item.report, *item.map);
        }
        for (std::uint32_t layer = 0; layer < map->shape().layers; ++layer) {
            for (auto& report : this->layerReports(*map, loads[layer], layer, interval))
                this->send(std::move(report), map, estimator);
        }
        estimator.close(interval);
    }

private:
    struct Delayed {
        std::uint64_t due = 0;
        expert::LoadReport report;
        std::shared_ptr<const expert::ExpertMap> map;
    };

    std::vector<expert::LoadReport> layerReports(
        const expert::ExpertMap& map, const std::vector<double>& loads, std::uint32_t layer, std::uint64_t interval)
    {
        std::vector<expert::LoadReport> reports(map.shape().ranks);
        for (std::uint32_t rank = 0; rank < reports.size(); ++rank) {
            reports[rank].rank = rank;
            reports[rank].layer = layer;
            reports[rank].interval = interval;
        }
        std::normal_distribution<double> noise { 1, this->faults.noise };
        for (const auto& replica : map.layer(layer)) {
            const auto share = static_cast<double>(replica.share) / expert::shareUnit;
            const auto tokens = this->faults.tokensPerInterval * loads[replica.expert] * share * noise(this->engine);
            reports[replica.rank].tokens.push_back(static_cast<std::uint64_t>(std::max(tokens, 0.0)));
        }
        return reports;
    }

    void send(expert::LoadReport report, const std::shared_ptr<const expert::ExpertMap>& map,
        expert::LoadEstimator& estimator)
    {
        std::uniform_real_distribution<double> unit { 0, 1 };
        if (unit(this->engine) < this->faults.missingShare)
            return;
        if (unit(this->engine) < this->faults.lateShare) {
            const auto due = report.interval + 1 + (unit(this->engine) < 0.5 ? 1 : 0);
            this->delayed.push_back({ .due = due, .report = std::move(report), .map = map });
            return;
        }
        (void)estimator.add(report, *map);
        if (unit(this->engine) < this->faults.repeatedShare)
            (void)estimator.add(report, *map);
    }

    ReportFaults faults;
    std::mt19937_64 engine;
    std::vector<Delayed> delayed;
};

/** Largest load of a rank divided by the mean load, for one layer. */
inline double layerSkew(const expert::ExpertMap& map, std::uint32_t layer, const std::vector<double>& loads)
{
    std::vector<double> ranks(map.shape().ranks);
    for (const auto& replica : map.layer(layer))
        ranks[replica.rank] += loads[replica.expert] * replica.share / expert::shareUnit;
    return *std::ranges::max_element(ranks) * map.shape().ranks;
}

} // namespace chivewinch::bench
