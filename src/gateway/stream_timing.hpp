#pragma once

#include "base/clock.hpp"

#include <algorithm>
#include <chrono>
#include <optional>

namespace chivewinch::gateway {

/** Measures when the events of an answer are sent to the caller. */
class StreamTiming {
public:
    explicit StreamTiming(base::SteadyTime arrived) noexcept
        : arrived { arrived }
    {
    }

    /** Records that events are written now. */
    void recordWrite(base::SteadyTime now) noexcept
    {
        if (this->last)
            this->pause = std::max(this->pause, now - *this->last);
        else
            this->first = now - this->arrived;
        this->last = now;
    }

    /** Time from the arrival of the request to the first event; nullopt before the first event. */
    [[nodiscard]] std::optional<std::chrono::nanoseconds> firstEvent() const noexcept { return this->first; }
    /** Maximum time between two writes of events. */
    [[nodiscard]] std::chrono::nanoseconds longestPause() const noexcept { return this->pause; }

private:
    base::SteadyTime arrived;
    std::optional<base::SteadyTime> last;
    std::optional<std::chrono::nanoseconds> first;
    std::chrono::nanoseconds pause {};
};

} // namespace chivewinch::gateway
