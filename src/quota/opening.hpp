#pragma once

#include "base/clock.hpp"

namespace chivewinch::quota {

/** Time at which this process may send a request to a target with a limit. */
struct Opening {
    base::SteadyTime at {};
    bool isOwn = false; ///< Part of the share of this process; otherwise an estimate for all processes together.
};

} // namespace chivewinch::quota
