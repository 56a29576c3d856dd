#pragma once

#include "base/clock.hpp"
#include "group/group_port.hpp"

#include <chrono>
#include <optional>
#include <vector>

namespace chivewinch::group {

/** Tokens that an engine has counted since its counts were read last. */
class CountGrowth {
public:
    /** @param maxAge The growth over a longer time says little about the present; it is left out. */
    explicit CountGrowth(std::chrono::nanoseconds maxAge)
        : maxAge { maxAge }
    {
    }

    /** Growth by layer and expert; all 0 for the first counts and for those after a restart of the engine. */
    [[nodiscard]] std::vector<double> take(const ExpertCounts& counts, base::SteadyTime now);

private:
    std::chrono::nanoseconds maxAge;
    std::optional<ExpertCounts> last;
    base::SteadyTime takenAt {};
};

} // namespace chivewinch::group
