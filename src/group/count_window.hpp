#pragma once

#include "base/clock.hpp"
#include "group/group_port.hpp"

#include <chrono>
#include <optional>
#include <vector>

namespace chivewinch::group {

/** Popularity of the experts among the requests of one rank, whose counts only grow. Newer requests weigh more. */
class CountWindow {
public:
    explicit CountWindow(std::chrono::nanoseconds halfLife)
        : halfLife { halfLife }
    {
    }

    /** The first counts, and those after a restart of the engine, only set the base. */
    void add(const ExpertCounts& counts, base::SteadyTime now);

    /** Weighted tokens by layer and expert; empty before the first counts. */
    [[nodiscard]] const std::vector<double>& loads() const noexcept { return this->sums; }

private:
    std::chrono::nanoseconds halfLife;
    std::optional<ExpertCounts> last;
    std::vector<double> sums;
    base::SteadyTime decayedAt {};

    void decay(base::SteadyTime now);
};

} // namespace chivewinch::group
