#pragma once

#include "base/clock.hpp"
#include "routing/options.hpp"
#include "routing/request.hpp"

#include <cstdint>

namespace chivewinch::routing::internal {

/** Tracks the failures and the ejection of one target. */
class OutlierDetector {
public:
    /** Records a result; returns true if the target should be ejected. Ignores refused and cancelled attempts. */
    [[nodiscard]] bool record(Result result, const EjectionOptions& options, base::SteadyTime now) noexcept;

    /** Ejects the target. The ejection time doubles with each consecutive ejection, up to a maximum. */
    void eject(const EjectionOptions& options, base::SteadyTime now) noexcept;

    [[nodiscard]] bool ejected(base::SteadyTime now) const noexcept { return now < this->ejectedUntil; }
    /** True from an ejection until the next success. Meanwhile the target gets one attempt at a time as a probe. */
    [[nodiscard]] bool probing() const noexcept { return this->awaitsProbeSuccess; }
    [[nodiscard]] bool hasFailuresInRow() const noexcept { return this->failuresInRow > 0; }
    /** Number of consecutive failures; 0 if the last failure is at least `window` old. */
    [[nodiscard]] std::uint32_t recentFailures(std::chrono::nanoseconds window, base::SteadyTime now) const noexcept
    {
        return now - this->lastFailure < window ? this->failuresInRow : 0;
    }

private:
    std::uint32_t failuresInRow = 0;
    std::uint32_t successesInRow = 0;
    std::uint32_t resultsSinceEjection = 0;
    std::uint32_t ejections = 0;
    double errorRate = 0;
    bool awaitsProbeSuccess = false;
    base::SteadyTime lastFailure {};
    base::SteadyTime ejectedUntil {};

    void recordSuccess(const EjectionOptions& options) noexcept;
};

} // namespace chivewinch::routing::internal
