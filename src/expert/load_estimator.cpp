#include "expert/load_estimator.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace chivewinch::expert {

namespace internal {

constexpr std::size_t longDifferenceIntervals = 4; ///< Span of the longer difference.
constexpr double trendWeight = 0.4;

/** Returns the popularity of every expert. Experts without a report keep their previous value. */
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
    // Bounds the memory that reports of a rank with a wrong clock occupy.
    if (this->current && report.interval > *this->current + 1 + this->options.lateIntervals)
        return ReportResult::Malformed;
    std::vector<Replica> replicas;
    std::ranges::copy_if(map.layer(report.layer), std::back_inserter(replicas),
        [&](const Replica& replica) { return replica.rank == report.rank; });
    if (replicas.size() != report.tokens.size())
        return ReportResult::Malformed;
    auto& interval = this->findOrCreate(report.interval);
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
    const auto quorum = this->options.quorum * this->shape.ranks * this->shape.layers;
    while (!this->pending.empty()) {
        const auto& first = this->pending.front();
        const bool overdue = first.number + this->options.lateIntervals <= interval;
        if (first.number > interval || (!overdue && first.reports < quorum))
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

LoadEstimator::Interval& LoadEstimator::findOrCreate(std::uint64_t number)
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
    this->poolDrift();
    this->closed = interval.number;
}

void LoadEstimator::foldLayer(Layer& layer, const Sums& sums) const
{
    const auto total = std::accumulate(sums.tokens.begin(), sums.tokens.end(), 0.0);
    if (total <= 0)
        return;
    std::vector<bool> seen(this->shape.experts);
    const auto& previous = layer.observations == 0 ? layer.estimate.load : layer.level;
    const auto observed = internal::normalised(sums.tokens, sums.shares, previous, seen);
    if (layer.observations++ == 0)
        this->initialize(layer, observed);
    this->measureNoise(layer, observed, seen);
    layer.surge = false;
    for (std::uint32_t expert = 0; expert < observed.size(); ++expert) {
        if (seen[expert] && this->updateLevel(layer, expert, observed[expert]) >= this->options.surgeGain)
            layer.surge = true;
        layer.estimate.deviation[expert] = std::sqrt(layer.variance[expert]);
    }
    this->publish(layer);
}

void LoadEstimator::initialize(Layer& layer, const std::vector<double>& observed) const
{
    layer.level = observed;
    layer.noise.assign(observed.size(), 0);
    layer.variance.assign(observed.size(), 0);
    layer.trend.assign(observed.size(), 0);
    layer.slope.assign(observed.size(), 0);
}

void LoadEstimator::measureNoise(Layer& layer, const std::vector<double>& observed, const std::vector<bool>& seen) const
{
    constexpr double maxScore = 10; // Keeps a single expert from dominating the score of the layer.
    const auto count = static_cast<double>(layer.observations);
    const auto noiseWeight = std::max(this->options.noiseWeight, 1 / count);
    const bool scored = layer.observations > this->options.warmUpIntervals;
    double excess = 0;
    double score = 0;
    for (std::size_t expert = 0; expert < observed.size() && !layer.history.empty(); ++expert) {
        const auto shortStep = observed[expert] - layer.history.back()[expert];
        const auto longStep = observed[expert] - layer.history.front()[expert];
        const auto growth = longStep * longStep - shortStep * shortStep;
        if (layer.level[expert] > 0)
            excess += growth / (layer.level[expert] * layer.level[expert]);
        // Uses the noise measured before this interval. Including the new difference would bias the score.
        if (layer.noise[expert] > 0)
            score += std::clamp(growth / (2 * layer.noise[expert]), -maxScore, maxScore);
        // A value that is kept because no report arrived does not measure noise.
        if (seen[expert] && layer.seen[expert])
            layer.noise[expert] += noiseWeight * (shortStep * shortStep / 2 - layer.noise[expert]);
    }
    layer.seen = seen;
    layer.history.push_back(observed);
    if (layer.history.size() <= internal::longDifferenceIntervals)
        return;
    layer.history.erase(layer.history.begin());
    if (!scored)
        return;
    const auto weight = std::max(this->options.driftWeight, 1 / (count - this->options.warmUpIntervals));
    const auto experts = static_cast<double>(observed.size());
    layer.drift += weight * (excess / (experts * (internal::longDifferenceIntervals - 1)) - layer.drift);
    layer.score += weight * (score / experts - layer.score);
}

/**
 * Returns the slope shrunk towards 0 according to its variance, so that experts without a trend are not extrapolated.
 */
double LoadEstimator::shrunkSlope(const Layer& layer, std::uint32_t expert, double gain) const
{
    const auto weight = this->options.slopeWeight;
    const auto change = gain * gain * (layer.variance[expert] + layer.noise[expert]);
    const auto variance = change * weight / (2 - weight);
    const auto slope = layer.slope[expert];
    const auto doubt = this->options.slopeShrinkage * variance;
    return slope * slope > doubt ? slope * (1 - doubt / (slope * slope)) : 0;
}

/** Moves the level of an expert towards the observation. Returns the gain. */
double LoadEstimator::updateLevel(Layer& layer, std::uint32_t expert, double observed) const
{
    auto& level = layer.level[expert];
    auto& variance = layer.variance[expert];
    const auto noise = layer.noise[expert];
    if (layer.observations == 1)
        return 0;
    if (layer.observations == 2)
        variance = noise;
    const bool layerDrifts = layer.score >= this->options.layerDriftLimit * this->earlyLimitFactor();
    const auto drift = std::max(this->pooledDrift, layerDrifts ? layer.drift : 0);
    variance += drift * level * level;
    auto gain = noise > 0 ? variance / (variance + noise) : 1;
    gain = std::max(gain, this->options.minGain);
    const auto before = level;
    level = std::max(0.0, level + (drift > 0 ? this->shrunkSlope(layer, expert, gain) : 0));
    const auto innovation = observed - level;
    if (noise > 0) {
        auto& trend = layer.trend[expert];
        trend += internal::trendWeight * (innovation / std::sqrt(variance + noise) - trend);
        const auto spread = std::sqrt(internal::trendWeight / (2 - internal::trendWeight));
        if (std::abs(trend) > this->options.surgeDeviations * spread)
            gain = std::max(gain, this->options.surgeGain);
    }
    level += gain * innovation;
    variance = gain * noise;
    layer.slope[expert] += this->options.slopeWeight * (level - before - layer.slope[expert]);
    const auto lead = drift > 0 ? this->options.leadIntervals * this->shrunkSlope(layer, expert, gain) : 0;
    layer.estimate.load[expert] = std::max(0.0, level + lead);
    return gain;
}

void LoadEstimator::publish(Layer& layer) const
{
    layer.estimate.driftScore = layer.score;
    layer.estimate.intervals = layer.observations;
    if (layer.observations == 1)
        layer.estimate.load = layer.level;
    internal::scaleToOne(layer.estimate.load);
}

// The score of the first intervals varies more than the mean of many, so the limits start higher.
double LoadEstimator::earlyLimitFactor() const
{
    const auto count = this->layers.front().observations;
    const auto scored = count > this->options.warmUpIntervals ? count - this->options.warmUpIntervals : 1;
    return 1 + this->options.earlyLimitIntervals / static_cast<double>(scored);
}

// Popularity drifts in all layers at once, and the mean score of all layers varies less than the score of one layer.
void LoadEstimator::poolDrift()
{
    double score = 0;
    double drift = 0;
    for (const auto& layer : this->layers) {
        score += layer.score / this->shape.layers;
        drift += layer.drift / this->shape.layers;
    }
    const bool groupDrifts = score >= this->options.driftLimit * this->earlyLimitFactor();
    this->pooledDrift = groupDrifts ? std::max(0.0, drift) : 0;
    for (auto& layer : this->layers) {
        const bool drifts = groupDrifts || layer.score >= this->options.layerDriftLimit * this->earlyLimitFactor();
        layer.estimate.drift = !drifts ? Drift::None : layer.surge ? Drift::Surge : Drift::Slow;
    }
}

} // namespace chivewinch::expert
