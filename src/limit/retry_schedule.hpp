#pragma once

#include "base/clock.hpp"

#include <algorithm>
#include <chrono>

namespace chivewinch::limit::internal {

/**
 * Assigns retry delays to refused callers, one caller per interval, so that they do not all retry at the same time.
 * When the longest delay is exceeded, the schedule starts again at the shortest delay.
 */
class RetrySchedule {
public:
    [[nodiscard]] std::chrono::milliseconds next(std::chrono::nanoseconds shortest, std::chrono::nanoseconds longest,
        std::chrono::nanoseconds interval, base::SteadyTime now) noexcept
    {
        const auto earliest = now + std::chrono::duration_cast<base::SteadyTime::duration>(shortest);
        this->slot += std::chrono::duration_cast<base::SteadyTime::duration>(interval);
        if (this->slot < earliest || this->slot > now + longest)
            this->slot = earliest;
        return std::chrono::ceil<std::chrono::milliseconds>(this->slot - now);
    }

private:
    base::SteadyTime slot {};
};

} // namespace chivewinch::limit::internal
