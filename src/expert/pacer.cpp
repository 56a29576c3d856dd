#include "expert/pacer.hpp"

#include <algorithm>

namespace chivewinch::expert {

namespace internal {

constexpr double nanosecondsPerSecond = 1e9;

} // namespace internal

std::uint64_t WeightPacer::available(base::SteadyTime now) const
{
    const auto left = this->options.maxWait - (std::max(this->busyUntil, now) - now);
    if (left <= std::chrono::nanoseconds::zero())
        return 0;
    const auto seconds = static_cast<double>(left.count()) / internal::nanosecondsPerSecond;
    return static_cast<std::uint64_t>(seconds * static_cast<double>(this->options.bytesPerSecond));
}

std::chrono::nanoseconds WeightPacer::duration(std::uint64_t bytes) const
{
    const auto seconds = static_cast<double>(bytes) / static_cast<double>(this->options.bytesPerSecond);
    return std::chrono::nanoseconds { static_cast<std::int64_t>(seconds * internal::nanosecondsPerSecond) };
}

std::optional<Reservation> WeightPacer::reserve(std::uint64_t bytes, base::SteadyTime now)
{
    if (bytes > this->available(now))
        return std::nullopt;
    const auto start = std::max(this->busyUntil, now);
    this->busyUntil = start + this->duration(bytes);
    return Reservation { .start = start, .end = this->busyUntil };
}

} // namespace chivewinch::expert
