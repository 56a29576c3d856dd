#pragma once

#include "base/clock.hpp"
#include "group/group_port.hpp"

#include <chrono>
#include <optional>
#include <vector>

namespace chivewinch::group {

/** Tokens that an engine has counted since the previous reading of its counts. */
class CountGrowth {
public:
    /**
     * @param maxAge Longest time between two readings. A difference over a longer time says little about the present
     * load and is reported as 0.
     */
    explicit CountGrowth(std::chrono::nanoseconds maxAge)
        : maxAge { maxAge }
    {
    }

    /**
     * Returns the difference from the previous counts, by layer and expert. All values are 0 for the first counts and
     * for the first counts after a restart of the engine.
     */
    [[nodiscard]] std::vector<double> update(const ExpertCounts& counts, base::SteadyTime now);

private:
    std::chrono::nanoseconds maxAge;
    std::optional<ExpertCounts> last;
    base::SteadyTime readAt {};
};

} // namespace chivewinch::group
