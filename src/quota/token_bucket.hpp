#pragma once

#include "base/clock.hpp"

#include <cstddef>

namespace chivewinch::quota {

/** Starts of requests at a limited rate. Not thread-safe. */
class TokenBucket {
public:
    /**
     * Sets the rate in tokens per second, which must be positive, and the most tokens that the bucket holds. The tokens
     * collected so far are kept up to the new size; the first call fills the bucket.
     */
    void configure(double tokensPerSecond, double size, base::SteadyTime now) noexcept;

    [[nodiscard]] bool hasToken(base::SteadyTime now) const noexcept { return this->tokensAt(now) >= 1; }
    /** Takes one token; returns false if there is none. */
    bool take(base::SteadyTime now) noexcept;
    /** Earliest time at which this many more tokens than `index` have become available. */
    [[nodiscard]] base::SteadyTime availableAt(std::size_t index, base::SteadyTime now) const noexcept;

private:
    double rate = 0;
    double size = 0;
    double tokens = 0;
    base::SteadyTime refilledAt {};

    [[nodiscard]] double tokensAt(base::SteadyTime now) const noexcept;
};

} // namespace chivewinch::quota
