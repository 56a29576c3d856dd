#include "quota/token_bucket.hpp"

#include <algorithm>
#include <chrono>

namespace chivewinch::quota {

double TokenBucket::tokensAt(base::SteadyTime now) const noexcept
{
    const auto passed = std::chrono::duration<double> { now - this->refilledAt }.count();
    return std::min(this->size, this->tokens + std::max(passed, 0.0) * this->rate);
}

void TokenBucket::configure(double tokensPerSecond, double newSize, base::SteadyTime now) noexcept
{
    this->tokens = this->rate > 0 ? std::min(this->tokensAt(now), newSize) : newSize;
    this->refilledAt = now;
    this->rate = tokensPerSecond;
    this->size = newSize;
}

bool TokenBucket::take(base::SteadyTime now) noexcept
{
    this->tokens = this->tokensAt(now);
    this->refilledAt = now;
    if (this->tokens < 1)
        return false;
    this->tokens -= 1;
    return true;
}

base::SteadyTime TokenBucket::availableAt(std::size_t index, base::SteadyTime now) const noexcept
{
    const auto missing = static_cast<double>(index + 1) - this->tokensAt(now);
    if (missing <= 0)
        return now;
    return now + std::chrono::ceil<base::SteadyTime::duration>(std::chrono::duration<double> { missing / this->rate });
}

} // namespace chivewinch::quota
