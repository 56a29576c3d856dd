#pragma once

#include "base/clock.hpp"
#include "routing/sliding_window_counter.hpp"

#include <chrono>
#include <cstdint>

namespace chivewinch::routing::internal {

/** Limits exceptional actions in a sliding window to a share of the ordinary actions plus a constant. */
class ShareBudget {
public:
    ShareBudget(double share, std::uint32_t constant, std::chrono::nanoseconds window) noexcept
        : share { share }
        , constant { constant }
        , ordinary { window }
        , exceptional { SlidingWindowCounter::windowCovering(window) }
    {
    }

    void setConstant(std::uint32_t changed) noexcept { this->constant = changed; }

    void recordOrdinary(base::SteadyTime now) noexcept { this->ordinary.add(now); }
    void recordExceptional(base::SteadyTime now) noexcept { this->exceptional.add(now); }

    [[nodiscard]] bool allows(base::SteadyTime now) noexcept
    {
        const auto used = static_cast<double>(this->exceptional.total(now) + 1);
        return used <= this->share * static_cast<double>(this->ordinary.total(now)) + this->constant;
    }

    /** Whether the constant alone allows one more exceptional action. */
    [[nodiscard]] bool allowsWithoutShare(base::SteadyTime now) noexcept
    {
        return this->exceptional.total(now) < this->constant;
    }

private:
    double share;
    std::uint32_t constant;
    SlidingWindowCounter ordinary;
    SlidingWindowCounter exceptional;
};

} // namespace chivewinch::routing::internal
