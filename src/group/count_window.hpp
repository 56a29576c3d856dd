#pragma once

#include "base/clock.hpp"
#include "group/group_port.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace chivewinch::group {

/** Popularity of the experts from counts that only grow, with the newest requests weighing most. */
class CountWindow {
public:
    CountWindow(std::uint32_t ranks, const EngineLimits& limits, std::chrono::nanoseconds halfLife);

    /** Counts of a rank; the first ones of a rank, and those after a restart of its engine, only set its base. */
    void add(std::uint32_t rank, const ExpertCounts& counts, base::SteadyTime now);

    /** Weighted tokens by expert of one layer. */
    [[nodiscard]] const std::vector<double>& loads(std::uint32_t layer) const { return this->sums.at(layer); }
    /** Newest paces by rank. */
    [[nodiscard]] const std::vector<double>& paces() const noexcept { return this->rankPaces; }
    /** Weighted tokens of one layer over all experts. */
    [[nodiscard]] double total() const;

private:
    EngineLimits limits;
    std::chrono::nanoseconds halfLife;
    std::vector<std::optional<ExpertCounts>> last;
    std::vector<std::vector<double>> sums;
    std::vector<double> rankPaces;
    std::optional<base::SteadyTime> decayedAt;

    void decay(base::SteadyTime now);
};

} // namespace chivewinch::group
