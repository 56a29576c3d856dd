#pragma once

#include "base/id.hpp"

namespace chivewinch::lease {

/**
 * Fence check at the receiver of side effects, one per lease: keeps the largest fencing number seen and refuses
 * smaller ones. For a target that ignores fencing numbers, the agent in front of it holds the guard.
 */
class FencingGuard {
public:
    /** A restarted receiver passes the number of the lease row, so that older commands stay refused. */
    explicit FencingGuard(base::FencingNumber largest = {}, bool enabled = true) noexcept
        : seen { largest }
        , enabled { enabled }
    {
    }

    /** Whether an effect with this number may be applied. */
    [[nodiscard]] bool admit(base::FencingNumber number) noexcept
    {
        if (this->enabled && number < this->seen)
            return false;
        this->seen = number;
        return true;
    }

    [[nodiscard]] base::FencingNumber largest() const noexcept { return this->seen; }

private:
    base::FencingNumber seen;
    bool enabled;
};

} // namespace chivewinch::lease
