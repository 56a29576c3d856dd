#pragma once

#include "expert/planner.hpp"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace chivewinch::expert {

/** Load of every rank relative to the mean rank load, averaged over all layers, under the estimated popularity. */
[[nodiscard]] std::vector<double> rankLoads(const ExpertMap& map, const LoadEstimator& estimator);

struct BarOptions {
    std::uint32_t width = 50; ///< Characters of the longest bar.
    std::uint32_t maxRows = 32; ///< With more ranks, each row shows the largest load of a block of ranks.

    bool operator==(const BarOptions&) const = default;
};

/** Text bar chart, one row per rank or block of ranks. */
[[nodiscard]] std::string renderBars(std::span<const double> loads, const BarOptions& options = {});

/** Series of a plot; x and y have equal lengths. */
struct Series {
    std::string label;
    std::vector<double> x;
    std::vector<double> y;

    bool operator==(const Series&) const = default;
};

struct PlotOptions {
    std::string title;
    std::string xLabel;
    std::string yLabel;
    double width = 640; ///< Points.
    double height = 400; ///< Points.
    bool logarithmicX = false; ///< Values of 0 are drawn at the left edge.

    bool operator==(const PlotOptions&) const = default;
};

/** SVG line plot with markers; an empty string when cairo fails. */
[[nodiscard]] std::string renderSvg(std::span<const Series> series, const PlotOptions& options);

/** SVG bar chart of the load per rank, with a line at the mean; an empty string when cairo fails. */
[[nodiscard]] std::string renderSvg(std::span<const double> loads, const PlotOptions& options);

/** Text report of a decision: reason, current and proposed skew, bytes to move, transfer time and cost by owner. */
[[nodiscard]] std::string planReport(const Decision& decision);

} // namespace chivewinch::expert
