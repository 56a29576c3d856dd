#pragma once

#include "base/id.hpp"

namespace chivewinch::lease {

/**
 * Checks fencing numbers at the receiver of side effects, one guard per lease. It stores the largest fencing number
 * received and refuses smaller ones. If a target ignores fencing numbers, the agent in front of it has the guard.
 */
class FencingGuard {
public:
    /** A restarted receiver passes the fencing number from the lease row, so that older commands are still refused. */
    explicit FencingGuard(base::FencingNumber largest = {}, bool enabled = true) noexcept
        : largestSeen { largest }
        , enabled { enabled }
    {
    }

    /** Returns true if an effect with this fencing number may be applied. */
    [[nodiscard]] bool admit(base::FencingNumber number) noexcept
    {
        if (this->enabled && number < this->largestSeen)
            return false;
        this->largestSeen = number;
        return true;
    }

    [[nodiscard]] base::FencingNumber largest() const noexcept { return this->largestSeen; }

private:
    base::FencingNumber largestSeen;
    bool enabled;
};

} // namespace chivewinch::lease
