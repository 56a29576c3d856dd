#include "group/count_delta.hpp"

#include <cstddef>
#include <utility>

namespace chivewinch::group {

std::vector<double> CountDelta::update(const ExpertCounts& counts, base::SteadyTime now)
{
    std::vector<double> delta(counts.tokens.size());
    const auto before = std::exchange(this->last, counts);
    const auto age = now - std::exchange(this->readAt, now);
    if (!before || before->epoch != counts.epoch || before->tokens.size() != delta.size() || age > this->maxAge)
        return delta;
    for (std::size_t index = 0; index < delta.size(); ++index) {
        if (counts.tokens[index] > before->tokens[index])
            delta[index] = static_cast<double>(counts.tokens[index] - before->tokens[index]);
    }
    return delta;
}

} // namespace chivewinch::group
