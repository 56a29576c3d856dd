#include "group/count_window.hpp"

#include <cmath>

namespace chivewinch::group {

void CountWindow::decay(base::SteadyTime now)
{
    const auto halves
        = static_cast<double>((now - this->decayedAt).count()) / static_cast<double>(this->halfLife.count());
    const auto factor = std::exp2(-halves);
    for (auto& load : this->sums)
        load *= factor;
    this->decayedAt = now;
}

void CountWindow::add(const ExpertCounts& counts, base::SteadyTime now)
{
    const bool comparable
        = this->last && this->last->epoch == counts.epoch && this->last->tokens.size() == counts.tokens.size();
    if (this->sums.size() != counts.tokens.size())
        this->sums.assign(counts.tokens.size(), 0.0);
    this->decay(now);
    if (comparable) {
        for (std::size_t index = 0; index < counts.tokens.size(); ++index) {
            if (counts.tokens[index] > this->last->tokens[index])
                this->sums[index] += static_cast<double>(counts.tokens[index] - this->last->tokens[index]);
        }
    }
    this->last = counts;
}

} // namespace chivewinch::group
