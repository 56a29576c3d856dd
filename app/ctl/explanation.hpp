#pragma once

#include "logging/line.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chivewinch::ctl {

/** What the logs of several processes say about one request. */
struct Explanation {
    std::vector<logging::Line> lines; ///< Of the request and of the state it met, by time.
    std::optional<std::size_t> deciding; ///< Line that decided the outcome; nullopt if the request completed.
    std::string outcome; ///< Empty if no line tells the end of the request.

    bool operator==(const Explanation&) const = default;
};

/**
 * Collects the lines of a request and, for each process that has one, the newest line of each kind of event that
 * changed the state of the process before the request ended. nullopt if no line names the request.
 */
[[nodiscard]] std::optional<Explanation> explain(std::string_view request, const std::vector<logging::Line>& all);

} // namespace chivewinch::ctl
