#pragma once

#include "base/clock.hpp"
#include "base/id.hpp"
#include "membership/target_state.hpp"
#include "routing/outlier_detector.hpp"
#include "routing/request.hpp"

#include <algorithm>
#include <cstdint>

namespace chivewinch::routing::internal {

constexpr double averageLoadGain = 0.1; ///< Weight of the latest report in the moving average.

/** State of one target in the router. */
struct TargetSlot {
    base::TargetId target;
    base::ZoneId zone;
    base::Incarnation incarnation {};
    membership::TargetState state = membership::TargetState::Joining;
    bool held = false;
    std::uint64_t hash = 0;
    std::uint32_t ownInFlight = 0; ///< Running attempts of this entry.
    std::uint32_t othersLoad = 0; ///< Attempts of other entries at the time of the last report.
    std::uint32_t capacity = 0;
    double inverseCapacity = 0; ///< 1 / capacity; 0 if the capacity is unknown.
    double averageOthersLoad = 0; ///< Moving average of othersLoad.
    base::SteadyTime closedUntil {}; ///< The target asked for no attempts before this time.
    base::SteadyTime reportedAt {};
    OutlierDetector outlierDetector;

    /** Clears failures and loads, which do not apply to a new incarnation. */
    void resetForNewIncarnation() noexcept
    {
        this->outlierDetector = {};
        this->closedUntil = {};
        this->othersLoad = 0;
        this->averageOthersLoad = 0;
    }

    void report(const LoadReport& load, base::SteadyTime now) noexcept
    {
        this->reportedAt = now;
        const auto total = load.inFlight + load.queued;
        this->othersLoad = total - std::min(total, this->ownInFlight);
        this->capacity = load.capacity;
        this->inverseCapacity = load.capacity == 0 ? 0 : 1.0 / load.capacity;
        this->averageOthersLoad += averageLoadGain * (this->othersLoad - this->averageOthersLoad);
    }
};

} // namespace chivewinch::routing::internal
