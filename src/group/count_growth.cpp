#include "group/count_growth.hpp"

#include <cstddef>
#include <utility>

namespace chivewinch::group {

std::vector<double> CountGrowth::update(const ExpertCounts& counts, base::SteadyTime now)
{
    std::vector<double> growth(counts.tokens.size());
    const auto before = std::exchange(this->last, counts);
    const auto age = now - std::exchange(this->readAt, now);
    if (!before || before->epoch != counts.epoch || before->tokens.size() != growth.size() || age > this->maxAge)
        return growth;
    for (std::size_t index = 0; index < growth.size(); ++index) {
        if (counts.tokens[index] > before->tokens[index])
            growth[index] = static_cast<double>(counts.tokens[index] - before->tokens[index]);
    }
    return growth;
}

} // namespace chivewinch::group
