#include "group/count_window.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace chivewinch::group {

namespace internal {

constexpr double maxPace = 20;

} // namespace internal

CountWindow::CountWindow(std::uint32_t ranks, const EngineLimits& limits, std::chrono::nanoseconds halfLife)
    : limits { limits }
    , halfLife { halfLife }
    , last(ranks)
    , sums(limits.layers, std::vector<double>(limits.experts))
    , rankPaces(ranks, 1.0)
{
}

void CountWindow::decay(base::SteadyTime now)
{
    if (this->decayedAt) {
        const auto halves
            = static_cast<double>((now - *this->decayedAt).count()) / static_cast<double>(this->halfLife.count());
        const auto factor = std::exp2(-halves);
        for (auto& layer : this->sums) {
            for (auto& load : layer)
                load *= factor;
        }
    }
    this->decayedAt = now;
}

void CountWindow::add(std::uint32_t rank, const ExpertCounts& counts, base::SteadyTime now)
{
    if (rank >= this->last.size() || counts.tokens.size() != std::size_t { this->limits.layers } * this->limits.experts)
        return;
    this->decay(now);
    // A pace below 1 or beyond reason is a mistake of its sender.
    this->rankPaces[rank] = std::clamp(counts.pace, 1.0, internal::maxPace);
    auto& before = this->last[rank];
    if (before && before->epoch == counts.epoch) {
        for (std::size_t index = 0; index < counts.tokens.size(); ++index) {
            const auto present = counts.tokens[index];
            const auto then = before->tokens[index];
            if (present > then)
                this->sums[index / this->limits.experts][index % this->limits.experts]
                    += static_cast<double>(present - then);
        }
    }
    before = counts;
}

double CountWindow::total() const
{
    return this->sums.empty() ? 0 : std::accumulate(this->sums.front().begin(), this->sums.front().end(), 0.0);
}

} // namespace chivewinch::group
