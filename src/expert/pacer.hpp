#pragma once

#include "base/clock.hpp"

#include <chrono>
#include <cstdint>
#include <optional>

namespace chivewinch::expert {

struct PacerOptions {
    std::uint64_t bytesPerSecond = 1'000'000'000; ///< Share of the weight store's rate that rebalancing may use.
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
 * Queue of transfers from the weight store that all groups share. The holder of the planning lease keeps one pacer for
 * all groups, so that the sum of their transfers stays below the rate.
 */
class WeightPacer {
public:
    explicit WeightPacer(PacerOptions options = {})
        : options { options }
    {
    }

    /** Bytes that can be transferred before maxWait from now. */
    [[nodiscard]] std::uint64_t available(base::SteadyTime now) const;
    /** Time the bytes need at the full rate. */
    [[nodiscard]] std::chrono::nanoseconds duration(std::uint64_t bytes) const;
    /** Nullopt when more than the available bytes are asked for. */
    [[nodiscard]] std::optional<Reservation> reserve(std::uint64_t bytes, base::SteadyTime now);

private:
    PacerOptions options;
    base::SteadyTime busyUntil {};
};

} // namespace chivewinch::expert
