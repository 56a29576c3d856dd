#pragma once

#include "base/clock.hpp"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace chivewinch::routing::internal {

/** Counts the events in a sliding window, using ten buckets. */
class SlidingWindowCounter {
public:
    explicit SlidingWindowCounter(std::chrono::nanoseconds window) noexcept
        : bucketTime { window / bucketCount }
    {
    }

    /**
     * Window with which a counter keeps each event for at least the given time. A counter discards a whole bucket at
     * once, so the oldest events of its window may already be discarded.
     */
    [[nodiscard]] static constexpr std::chrono::nanoseconds windowCovering(std::chrono::nanoseconds time) noexcept
    {
        return time * bucketCount / (bucketCount - 1) + std::chrono::nanoseconds { bucketCount };
    }

    void add(base::SteadyTime now, std::uint32_t events = 1) noexcept
    {
        this->roll(now);
        this->buckets[static_cast<std::size_t>(this->epoch % bucketCount)] += events;
        this->sum += events;
    }

    [[nodiscard]] std::uint64_t total(base::SteadyTime now) noexcept
    {
        this->roll(now);
        return this->sum;
    }

private:
    static constexpr std::int64_t bucketCount = 10;

    std::chrono::nanoseconds bucketTime;
    std::array<std::uint32_t, bucketCount> buckets {};
    std::int64_t epoch = 0;
    std::uint64_t sum = 0;

    void roll(base::SteadyTime now) noexcept
    {
        const std::int64_t current = now.time_since_epoch() / this->bucketTime;
        if (current - this->epoch >= bucketCount) {
            this->buckets.fill(0);
            this->sum = 0;
            this->epoch = current;
        }
        while (this->epoch < current) {
            ++this->epoch;
            auto& bucket = this->buckets[static_cast<std::size_t>(this->epoch % bucketCount)];
            this->sum -= bucket;
            bucket = 0;
        }
    }
};

} // namespace chivewinch::routing::internal
