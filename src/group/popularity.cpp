#include "group/popularity.hpp"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <functional>
#include <numeric>
#include <span>
#include <utility>

namespace chivewinch::group {

namespace internal {

// Weight of a new distance in the moving average of the distances.
constexpr double distanceWeight = 0.1;

void addTo(std::vector<double>& sum, const std::vector<double>& part)
{
    if (sum.size() != part.size())
        sum = part;
    else
        std::ranges::transform(sum, part, sum.begin(), std::plus {});
}

double total(std::span<const double> layer) { return std::accumulate(layer.begin(), layer.end(), 0.0); }

/** Total variation distance between two layers; 0 if either has no tokens. */
double distanceOf(std::span<const double> left, std::span<const double> right)
{
    const auto leftTotal = total(left);
    const auto rightTotal = total(right);
    if (leftTotal <= 0 || rightTotal <= 0)
        return 0;
    double distance = 0;
    for (std::size_t expert = 0; expert < left.size(); ++expert)
        distance += std::abs(left[expert] / leftTotal - right[expert] / rightTotal) / 2;
    return distance;
}

} // namespace internal

void Popularity::decay(base::SteadyTime now)
{
    const auto halves = std::chrono::duration<double>(now - std::exchange(this->decayedAt, now))
        / std::chrono::duration<double>(this->options.halfLife);
    const auto factor = std::exp2(-halves);
    for (auto& load : this->decayedTokens)
        load *= factor;
    this->decayedReadings *= factor;
}

void Popularity::add(const std::vector<double>& reading, base::SteadyTime now)
{
    if (this->experts == 0 || reading.size() % this->experts != 0)
        return;
    if (this->decayedTokens.size() != reading.size()) {
        this->decayedTokens.assign(reading.size(), 0.0);
        this->decayedReadings = 0;
        this->pending.clear();
    }
    this->decay(now);
    internal::addTo(this->pending, reading);
    if (now - this->comparedAt < this->options.minReading || internal::total(this->pending) <= 0)
        return;
    this->compare();
    this->comparedAt = now;
    this->pending.clear();
}

void Popularity::compare()
{
    this->lastDistance = this->decayedReadings > 0 ? this->pendingDistance() : 0;
    const auto limit = std::max(this->options.minShift, this->options.shiftFactor * this->averageDistance);
    // The distance of a shift is capped before it enters the average. If all readings stay this far apart, the average
    // rises until they no longer count as shifts.
    if (this->lastDistance > 0)
        this->averageDistance
            += internal::distanceWeight * (std::min(this->lastDistance, limit) - this->averageDistance);
    if (this->options.resetsOnShift && this->lastDistance >= limit) {
        // The reading that reveals the shift started before the shift and mixes old and new popularity, so it is
        // discarded too.
        std::ranges::fill(this->decayedTokens, 0.0);
        this->decayedReadings = 0;
        ++this->shiftCount;
        return;
    }
    internal::addTo(this->decayedTokens, this->pending);
    this->decayedReadings += 1;
}

bool Popularity::isKnown() const noexcept
{
    return this->decayedReadings > 0
        && this->averageDistance / std::sqrt(this->decayedReadings) <= this->options.maxError;
}

double Popularity::pendingDistance() const
{
    const auto layers = this->pending.size() / this->experts;
    double distance = 0;
    for (std::size_t layer = 0; layer < layers; ++layer) {
        const auto first = layer * this->experts;
        distance += internal::distanceOf(std::span { this->pending }.subspan(first, this->experts),
            std::span { this->decayedTokens }.subspan(first, this->experts));
    }
    return layers == 0 ? 0 : distance / static_cast<double>(layers);
}

} // namespace chivewinch::group
