#pragma once

#include "logging/line.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chivewinch::ctl {

/** Log lines of several processes that explain the outcome of one request. */
struct Explanation {
    std::vector<logging::Line> lines; ///< Lines of the request and of the process state, ordered by time.
    std::optional<std::size_t> deciding; ///< Line that decided the outcome; nullopt if there is none, e.g. on success.
    std::string outcome; ///< Empty if the end of the request was not logged.

    bool operator==(const Explanation&) const = default;
};

/**
 * Collects the log lines of a request. For each process that logged one of them, also collects the newest line of each
 * kind of state event that is not later than the last line of the request. Returns nullopt if no line contains the
 * request.
 */
[[nodiscard]] std::optional<Explanation> explain(std::string_view request, const std::vector<logging::Line>& all);

} // namespace chivewinch::ctl
