#pragma once

#include "base/clock.hpp"

#include <algorithm>
#include <chrono>

namespace chivewinch::limit::internal {

/**
 * Spreads the return of refused callers over time, one per interval, so that they do not come back all at once.
 * Beyond the longest delay the spread starts again at the shortest one.
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
