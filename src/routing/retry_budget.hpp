#pragma once

#include "base/clock.hpp"
#include "routing/options.hpp"
#include "routing/share_budget.hpp"

namespace chivewinch::routing {

/** Bounds retries to a share of the requests, so that failures do not multiply the load. */
class RetryBudget {
public:
    explicit RetryBudget(const RetryBudgetOptions& options) noexcept
        : enabled { options.enabled }
        , budget { options.share, options.constant, options.window }
    {
    }

    /** A request starts its first attempt. */
    void noteRequest(base::SteadyTime now) noexcept { this->budget.noteOrdinary(now); }

    /** Takes one retry from the budget; false when it is spent. */
    [[nodiscard]] bool tryRetry(base::SteadyTime now) noexcept
    {
        if (this->enabled && !this->budget.allows(now))
            return false;
        this->budget.noteExceptional(now);
        return true;
    }

private:
    bool enabled;
    internal::ShareBudget budget;
};

} // namespace chivewinch::routing
