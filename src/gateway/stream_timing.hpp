#pragma once

#include "base/clock.hpp"

#include <algorithm>
#include <chrono>
#include <optional>

namespace chivewinch::gateway {

/** When the events of an answer went to the caller. */
class StreamTiming {
public:
    explicit StreamTiming(base::SteadyTime arrived) noexcept
        : arrived { arrived }
    {
    }

    /** Events are being written. */
    void note(base::SteadyTime now) noexcept
    {
        if (this->last)
            this->pause = std::max(this->pause, now - *this->last);
        else
            this->first = now - this->arrived;
        this->last = now;
    }

    /** From the request's arrival to its first event; nullopt before it. */
    [[nodiscard]] std::optional<std::chrono::nanoseconds> firstEvent() const noexcept { return this->first; }
    /** Longest time between two writes of events. */
    [[nodiscard]] std::chrono::nanoseconds longestPause() const noexcept { return this->pause; }

private:
    base::SteadyTime arrived;
    std::optional<base::SteadyTime> last;
    std::optional<std::chrono::nanoseconds> first;
    std::chrono::nanoseconds pause {};
};

} // namespace chivewinch::gateway
