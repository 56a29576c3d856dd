#pragma once

#include "base/clock.hpp"
#include "routing/sliding_counter.hpp"

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
        , exceptional { SlidingCounter::covering(window) }
    {
    }

    void setConstant(std::uint32_t changed) noexcept { this->constant = changed; }

    void noteOrdinary(base::SteadyTime now) noexcept { this->ordinary.add(now); }
    void noteExceptional(base::SteadyTime now) noexcept { this->exceptional.add(now); }

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
    SlidingCounter ordinary;
    SlidingCounter exceptional;
};

} // namespace chivewinch::routing::internal
