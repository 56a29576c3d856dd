#pragma once

#include "base/clock.hpp"

#include <chrono>
#include <cstdint>
#include <optional>

namespace chivewinch::expert {

struct PacerOptions {
    std::uint64_t bytesPerSecond = 1'000'000'000; ///< Part of the weight store's bandwidth that rebalancing may use.
    std::chrono::nanoseconds maxWait = std::chrono::minutes { 10 }; ///< No reservation ends later than this.

    bool operator==(const PacerOptions&) const = default;
};

/** Transfer time reserved at the weight store. */
struct Reservation {
    base::SteadyTime start;
    base::SteadyTime end;

    bool operator==(const Reservation&) const = default;
};

/**
 * Schedules transfers from the weight store one after the other. The holder of the planning lease uses one pacer for
 * all groups, so that their transfers together do not exceed the rate.
 */
class WeightPacer {
public:
    explicit WeightPacer(PacerOptions options = {})
        : options { options }
    {
    }

    /** Bytes that can still be reserved now so that their transfer ends within maxWait. */
    [[nodiscard]] std::uint64_t available(base::SteadyTime now) const;
    /** Transfer time of the bytes at the full rate. */
    [[nodiscard]] std::chrono::nanoseconds duration(std::uint64_t bytes) const;
    /** Reserves a transfer. Nullopt when the bytes exceed available(now). */
    [[nodiscard]] std::optional<Reservation> reserve(std::uint64_t bytes, base::SteadyTime now);

private:
    PacerOptions options;
    base::SteadyTime busyUntil {};
};

} // namespace chivewinch::expert
