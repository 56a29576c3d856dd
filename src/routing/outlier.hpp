#pragma once

#include "base/clock.hpp"
#include "routing/options.hpp"
#include "routing/request.hpp"

#include <cstdint>

namespace chivewinch::routing::internal {

/** Failures of one target, and the time until which it is ejected. */
class Outlier {
public:
    /** Takes a result into account; true when the target should be ejected. */
    [[nodiscard]] bool note(Result result, const EjectionOptions& options, base::SteadyTime now) noexcept;

    /** Ejects the target; the time doubles with each ejection in a row. */
    void eject(const EjectionOptions& options, base::SteadyTime now) noexcept;

    [[nodiscard]] bool ejected(base::SteadyTime now) const noexcept { return now < this->ejectedUntil; }
    /** True after an ejection until the first success: the target gets one attempt at a time. */
    [[nodiscard]] bool probing() const noexcept { return this->onProbation; }
    [[nodiscard]] bool hasFailed() const noexcept { return this->failuresInRow > 0; }
    /** Failures in a row, 0 when the last one is older than the given time. */
    [[nodiscard]] std::uint32_t recentFailures(std::chrono::nanoseconds memory, base::SteadyTime now) const noexcept
    {
        return now - this->lastFailure < memory ? this->failuresInRow : 0;
    }

private:
    std::uint32_t failuresInRow = 0;
    std::uint32_t successesInRow = 0;
    std::uint32_t results = 0;
    std::uint32_t ejections = 0;
    double errorRate = 0;
    bool onProbation = false;
    base::SteadyTime lastFailure {};
    base::SteadyTime ejectedUntil {};

    void noteSuccess(const EjectionOptions& options) noexcept;
};

} // namespace chivewinch::routing::internal
