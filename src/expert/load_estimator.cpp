#include "expert/load_estimator.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace chivewinch::expert {

namespace internal {

/** Variance of an exponential average relative to that of one observation. */
double averageFactor(double weight) { return weight / (2 - weight); }

/** Popularities of the experts that were seen; the others keep their previous value. */
std::vector<double> normalised(const std::vector<double>& tokens, const std::vector<double>& shares,
    const std::vector<double>& previous, std::vector<bool>& seen)
{
    std::vector<double> result(tokens.size());
    double total = 0;
    double kept = 0;
    for (std::size_t expert = 0; expert < tokens.size(); ++expert) {
        seen[expert] = shares[expert] > 0;
        if (seen[expert])
            total += result[expert] = tokens[expert] / shares[expert];
        else
            kept += previous[expert];
    }
    for (std::size_t expert = 0; expert < tokens.size(); ++expert) {
        if (seen[expert])
            result[expert] = total > 0 ? result[expert] * (1 - kept) / total : 0;
        else
            result[expert] = previous[expert];
    }
    return result;
}

void scaleToOne(std::vector<double>& values)
{
    const auto sum = std::accumulate(values.begin(), values.end(), 0.0);
    for (auto& value : values)
        value = sum > 0 ? value / sum : 1.0 / static_cast<double>(values.size());
}

} // namespace internal

LoadEstimator::LoadEstimator(const GroupShape& shape, EstimatorOptions options)
    : shape { shape }
    , options { options }
    , layers(shape.layers)
{
    for (auto& layer : this->layers) {
        layer.estimate.load.assign(shape.experts, 1.0 / shape.experts);
        layer.estimate.deviation.assign(shape.experts, 0);
    }
}

ReportResult LoadEstimator::add(const LoadReport& report, const ExpertMap& map)
{
    if (report.rank >= this->shape.ranks || report.layer >= this->shape.layers || map.shape() != this->shape)
        return ReportResult::Malformed;
    if (this->closed && report.interval <= *this->closed) {
        ++this->late;
        return ReportResult::TooLate;
    }
    // Bounds the memory that a rank with a wrong clock can use.
    if (this->current && report.interval > *this->current + 1 + this->options.lateIntervals)
        return ReportResult::Malformed;
    std::vector<Replica> replicas;
    std::ranges::copy_if(map.layer(report.layer), std::back_inserter(replicas),
        [&](const Replica& replica) { return replica.rank == report.rank; });
    if (replicas.size() != report.tokens.size())
        return ReportResult::Malformed;
    auto& interval = this->open(report.interval);
    auto& sums = interval.layers[report.layer];
    if (sums.ranks[report.rank])
        return ReportResult::Duplicate;
    sums.ranks[report.rank] = true;
    ++interval.reports;
    for (std::size_t i = 0; i < replicas.size(); ++i) {
        sums.tokens[replicas[i].expert] += static_cast<double>(report.tokens[i]);
        sums.shares[replicas[i].expert] += static_cast<double>(replicas[i].share) / shareUnit;
    }
    return ReportResult::Accepted;
}

void LoadEstimator::close(std::uint64_t interval)
{
    this->current = std::max(this->current.value_or(interval), interval);
    const auto allReports = this->shape.ranks * this->shape.layers;
    while (!this->pending.empty()) {
        const auto& first = this->pending.front();
        const bool overdue = first.number + this->options.lateIntervals <= interval;
        if (first.number > interval || (!overdue && first.reports < allReports))
            break;
        this->fold(first);
        this->pending.erase(this->pending.begin());
    }
}

void LoadEstimator::flush()
{
    for (const auto& interval : this->pending)
        this->fold(interval);
    this->pending.clear();
}

LoadEstimator::Interval& LoadEstimator::open(std::uint64_t number)
{
    const auto place = std::ranges::lower_bound(this->pending, number, {}, &Interval::number);
    if (place != this->pending.end() && place->number == number)
        return *place;
    Interval interval { .number = number, .layers = {}, .reports = 0 };
    interval.layers.assign(this->shape.layers, this->emptySums());
    return *this->pending.insert(place, std::move(interval));
}

LoadEstimator::Sums LoadEstimator::emptySums() const
{
    Sums sums;
    sums.tokens.assign(this->shape.experts, 0);
    sums.shares.assign(this->shape.experts, 0);
    sums.ranks.assign(this->shape.ranks, false);
    return sums;
}

void LoadEstimator::fold(const Interval& interval)
{
    for (std::uint32_t index = 0; index < this->shape.layers; ++index)
        this->foldLayer(this->layers[index], interval.layers[index]);
    this->closed = interval.number;
}

void LoadEstimator::foldLayer(Layer& layer, const Sums& sums) const
{
    const auto total = std::accumulate(sums.tokens.begin(), sums.tokens.end(), 0.0);
    if (total <= 0)
        return;
    std::vector<bool> seen(this->shape.experts);
    const auto& previous = layer.observations == 0 ? layer.estimate.load : layer.fast;
    const auto observed = internal::normalised(sums.tokens, sums.shares, previous, seen);
    this->observe(layer, observed, seen);
    this->publish(layer, this->classify(layer));
}

// Successive differences measure noise without being raised by a slow trend.
void LoadEstimator::observe(Layer& layer, const std::vector<double>& observed, const std::vector<bool>& seen) const
{
    ++layer.age;
    if (layer.observations++ == 0) {
        layer.fast = layer.slow = layer.previous = observed;
        layer.variance.assign(observed.size(), 0);
        return;
    }
    const auto noiseWeight = std::max(this->options.noiseWeight, 1 / static_cast<double>(layer.observations - 1));
    const auto slowWeight = std::max(this->options.slowWeight, 1 / static_cast<double>(layer.age));
    for (std::size_t expert = 0; expert < observed.size(); ++expert) {
        if (!seen[expert])
            continue;
        const auto step = observed[expert] - layer.previous[expert];
        layer.variance[expert] += noiseWeight * (step * step / 2 - layer.variance[expert]);
        layer.fast[expert] += this->options.fastWeight * (observed[expert] - layer.fast[expert]);
        layer.slow[expert] += slowWeight * (observed[expert] - layer.slow[expert]);
        layer.previous[expert] = observed[expert];
    }
}

// The squared distance of the short from the long average, divided by its expectation under noise alone, has mean 1
// and varies little because it is a mean over all experts of the layer.
Drift LoadEstimator::classify(Layer& layer) const
{
    constexpr std::uint64_t minAge = 4;
    if (layer.observations < 2 * minAge || layer.age < minAge)
        return Drift::None;
    const auto factor = internal::averageFactor(this->options.fastWeight) * (1 - this->options.slowWeight);
    double sum = 0;
    double count = 0;
    for (std::size_t expert = 0; expert < layer.fast.size(); ++expert) {
        const auto distance = layer.fast[expert] - layer.slow[expert];
        if (layer.variance[expert] <= 0)
            continue;
        sum += std::min(distance * distance / (layer.variance[expert] * factor), 100.0);
        ++count;
    }
    const auto ratio = count > 0 ? sum / count : 0;
    layer.driftRun = ratio > this->options.driftLimit ? layer.driftRun + 1 : 0;
    if (ratio > this->options.surgeLimit)
        return Drift::Surge;
    return layer.driftRun >= this->options.driftIntervals ? Drift::Slow : Drift::None;
}

// After a change the long average restarts from the short one and averages over the new intervals only.
void LoadEstimator::publish(Layer& layer, Drift drift) const
{
    constexpr std::uint64_t ageAfterDrift = 2;
    if (drift != Drift::None) {
        layer.slow = layer.fast;
        layer.age = ageAfterDrift;
        layer.driftRun = 0;
    }
    layer.estimate.drift = drift;
    layer.estimate.intervals = layer.observations;
    layer.estimate.load = layer.slow;
    internal::scaleToOne(layer.estimate.load);
    const auto factor = std::max(internal::averageFactor(this->options.slowWeight), 1 / static_cast<double>(layer.age));
    for (std::size_t expert = 0; expert < layer.variance.size(); ++expert)
        layer.estimate.deviation[expert] = std::sqrt(layer.variance[expert] * factor);
}

} // namespace chivewinch::expert
