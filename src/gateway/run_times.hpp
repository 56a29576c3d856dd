#pragma once

#include "base/clock.hpp"

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace chivewinch::gateway {

/** Estimates how long a run takes, from the start of the attempt to the end of its answer, by route. */
class RunTimes {
public:
    /** Runs that ended longer ago than twice this time do not count. */
    static constexpr std::chrono::seconds window { 30 };
    /** Recent runs that an estimate requires. */
    static constexpr std::size_t minRuns = 20;
    /** Estimate as a multiple of the longest recent run. */
    static constexpr int margin = 2;

    void record(const std::string& route, std::chrono::nanoseconds time, base::SteadyTime now);
    /** Time within which a run of the route very probably ends; nullopt if too little is known. */
    [[nodiscard]] std::optional<std::chrono::nanoseconds> estimate(const std::string& route, base::SteadyTime now);

private:
    struct Window {
        std::size_t runs = 0;
        std::chrono::nanoseconds longest { 0 };
    };
    struct Windows {
        base::SteadyTime begin {};
        Window current;
        Window previous;
    };

    std::map<std::string, Windows> routes;

    [[nodiscard]] Windows& windowsOf(const std::string& route, base::SteadyTime now);
};

} // namespace chivewinch::gateway
