#include "gateway/run_times.hpp"

#include <algorithm>

namespace chivewinch::gateway {

RunTimes::Windows& RunTimes::windowsOf(const std::string& route, base::SteadyTime now)
{
    auto& windows = this->routes[route];
    if (now - windows.begin >= 2 * window)
        windows = { .begin = now };
    else if (now - windows.begin >= window)
        windows = { .begin = windows.begin + window, .previous = windows.current };
    return windows;
}

void RunTimes::record(const std::string& route, std::chrono::nanoseconds time, base::SteadyTime now)
{
    auto& current = this->windowsOf(route, now).current;
    ++current.runs;
    current.longest = std::max(current.longest, time);
}

std::optional<std::chrono::nanoseconds> RunTimes::estimate(const std::string& route, base::SteadyTime now)
{
    const auto& windows = this->windowsOf(route, now);
    if (windows.current.runs + windows.previous.runs < minRuns)
        return std::nullopt;
    return margin * std::max(windows.current.longest, windows.previous.longest);
}

} // namespace chivewinch::gateway
