#pragma once

#include "base/clock.hpp"

#include <chrono>
#include <cstdint>
#include <vector>

namespace chivewinch::group {

struct PopularityOptions {
    /** Time after which a reading counts half while the popularity stays the same. */
    std::chrono::milliseconds halfLife { 600 };
    /** Shorter readings are added up before they are compared: they hold too few requests. */
    std::chrono::milliseconds minReading { 80 };
    /**
     * Total variation distance of a reading from the earlier ones from which on the popularity has shifted, at least
     * and relative to the usual distance, which depends on the number of requests. On a group of 72 ranks with 260
     * requests a second the distance was 0.01 to 0.03, around a shift 0.08 to 0.2; on one of 32 ranks 0.06 to 0.08 and
     * 0.25 to 0.3. It is a mean over all layers and varies little.
     */
    double minShift = 0.06;
    double shiftFactor = 2.3;
    double usualDistance = 0.05; ///< Until it is known.
    /** The popularity is known if its expected distance from the true one is at most this. */
    double maxError = 0.11;
    bool forgetsOnShift = true; ///< Off: earlier readings only fade.

    bool operator==(const PopularityOptions&) const = default;
};

/**
 * Popularity of the experts of a group. It changes at once when callers turn to other topics; readings from before such
 * a shift would delay the map for the new popularity, and are forgotten.
 */
class Popularity {
public:
    /** @param experts Per layer. */
    Popularity(PopularityOptions options, std::uint32_t experts)
        : options { options }
        , experts { experts }
        , usual { options.usualDistance }
    {
    }

    /** Takes over the tokens by layer and expert since the last reading. Readings of another shape start anew. */
    void add(const std::vector<double>& reading, base::SteadyTime now);

    /** True if the tokens hold enough readings since the last shift for a plan. */
    [[nodiscard]] bool isKnown() const noexcept;
    /** Weighted tokens by layer and expert. */
    [[nodiscard]] const std::vector<double>& tokens() const noexcept { return this->earlier; }
    /** Distance that the last comparison found, and the usual one. */
    [[nodiscard]] double distance() const noexcept { return this->lastDistance; }
    [[nodiscard]] double usualDistance() const noexcept { return this->usual; }
    [[nodiscard]] std::uint64_t shifts() const noexcept { return this->shiftCount; }

private:
    PopularityOptions options;
    std::uint32_t experts;
    std::vector<double> earlier;
    double earlierReadings = 0; ///< Weighted like the tokens.
    std::vector<double> pending; ///< Readings that were not compared yet.
    base::SteadyTime comparedAt {};
    base::SteadyTime fadedAt {};
    double usual;
    double lastDistance = 0;
    std::uint64_t shiftCount = 0;

    void fade(base::SteadyTime now);
    void compare();
    [[nodiscard]] double distanceOfPending() const;
};

} // namespace chivewinch::group
