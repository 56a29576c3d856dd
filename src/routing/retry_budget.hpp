#pragma once

#include "base/clock.hpp"
#include "routing/options.hpp"
#include "routing/share_budget.hpp"

#include <algorithm>
#include <optional>

namespace chivewinch::routing {

/**
 * Limits retries to a share of the requests, so that failures do not multiply the load. With a burst time, any window
 * has at most constant + share * (requests in the window + requests in the burst time before the window) retries.
 */
class RetryBudget {
public:
    explicit RetryBudget(const RetryBudgetOptions& options) noexcept
        : enabled { options.enabled }
        , share { options.share }
        , budget { options.share, options.constant, options.window }
    {
        if (options.burst.count() > 0)
            this->recent.emplace(options.burst);
    }

    /** Replaces the number of retries that are allowed in each window in addition to the share. */
    void setConstant(std::uint32_t changed) noexcept { this->budget.setConstant(changed); }

    /** Records the first attempt of a request. */
    void recordRequest(base::SteadyTime now) noexcept
    {
        this->budget.recordOrdinary(now);
        if (!this->recent)
            return;
        this->recent->add(now);
        this->credit += this->share;
        this->limitCredit(now);
    }

    /** Takes one retry from the budget; returns false if the budget is exhausted. */
    [[nodiscard]] bool tryRetry(base::SteadyTime now) noexcept
    {
        if (this->enabled && !this->allows(now))
            return false;
        if (this->recent && !this->budget.allowsWithoutShare(now))
            this->credit -= 1;
        this->budget.recordExceptional(now);
        return true;
    }

private:
    bool enabled;
    double share;
    internal::ShareBudget budget;
    std::optional<internal::SlidingWindowCounter> recent; ///< Requests in the last burst time.
    double credit = 0; ///< Retries that recent requests allow and that are not used yet.

    [[nodiscard]] bool allows(base::SteadyTime now) noexcept
    {
        if (!this->budget.allows(now))
            return false;
        if (!this->recent || this->budget.allowsWithoutShare(now))
            return true;
        this->limitCredit(now);
        return this->credit >= 1;
    }

    void limitCredit(base::SteadyTime now) noexcept
    {
        this->credit = std::min(this->credit, this->share * static_cast<double>(this->recent->total(now)));
    }
};

} // namespace chivewinch::routing
