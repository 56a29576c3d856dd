#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <iostream>
#include <optional>
#include <string>

namespace chivewinch::bench {

/** One measured figure. The benchmark runner adds the commit. */
struct Figure {
    std::string name;
    double value = 0;
    std::string unit;
    std::uint64_t size = 0; ///< Size of the measured system, e.g. the number of targets.
    std::optional<double> baseline; ///< Value of the baseline in the same run.
    std::string baselineName;
    std::string goal; ///< Stated goal, e.g. "<= 1.1"; empty when there is none.
};

/** Writes the figure as one JSON line on standard output. */
inline void report(const Figure& figure)
{
    nlohmann::ordered_json line { { "name", figure.name }, { "value", figure.value }, { "unit", figure.unit },
        { "size", figure.size } };
    if (figure.baseline) {
        line["baseline"] = *figure.baseline;
        line["baseline_name"] = figure.baselineName;
    }
    if (!figure.goal.empty())
        line["goal"] = figure.goal;
    std::cout << line.dump() << std::endl;
}

} // namespace chivewinch::bench
