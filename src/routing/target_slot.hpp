#pragma once

#include "base/clock.hpp"
#include "base/id.hpp"
#include "membership/target_state.hpp"
#include "routing/outlier.hpp"
#include "routing/request.hpp"

#include <algorithm>
#include <cstdint>

namespace chivewinch::routing::internal {

constexpr double usualLoadGain = 0.1; ///< Weight of the latest report in the moving average.

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
    double perCapacity = 0; ///< 1 / capacity; 0 if the capacity is unknown.
    double usualOthersLoad = 0; ///< Moving average of othersLoad.
    base::SteadyTime closedUntil {}; ///< The target asked for no attempts before this time.
    base::SteadyTime reportedAt {};
    Outlier outlier;

    /** Clears failures and loads, which do not apply to a new incarnation. */
    void forgetIncarnation() noexcept
    {
        this->outlier = {};
        this->closedUntil = {};
        this->othersLoad = 0;
        this->usualOthersLoad = 0;
    }

    void report(const LoadReport& load, base::SteadyTime now) noexcept
    {
        this->reportedAt = now;
        const auto total = load.inFlight + load.queued;
        this->othersLoad = total - std::min(total, this->ownInFlight);
        this->capacity = load.capacity;
        this->perCapacity = load.capacity == 0 ? 0 : 1.0 / load.capacity;
        this->usualOthersLoad += usualLoadGain * (this->othersLoad - this->usualOthersLoad);
    }
};

} // namespace chivewinch::routing::internal
