#pragma once

#include "base/clock.hpp"

#include <chrono>
#include <cstdint>
#include <vector>

namespace chivewinch::group {

struct PopularityOptions {
    /** Half-life of the weight of a reading while the popularity does not shift. */
    std::chrono::milliseconds halfLife { 600 };
    /**
     * Minimum duration of a reading. Shorter readings contain too few requests and are summed before they are compared.
     */
    std::chrono::milliseconds minReading { 80 };
    /**
     * Thresholds of the total variation distance between a reading and the earlier readings. A shift is detected if the
     * distance reaches both minShift and shiftFactor times the average distance, which depends on the number of
     * requests. On a group of 72 ranks with 260 requests a second the distance was 0.01 to 0.03, and 0.08 to 0.2 around
     * a shift. On a group of 32 ranks it was 0.06 to 0.08, and 0.25 to 0.3 around a shift. The distance is a mean over
     * all layers and varies little.
     */
    double minShift = 0.06;
    double shiftFactor = 2.3;
    double usualDistance = 0.05; ///< Initial value of the average distance.
    /** The popularity is known if its expected distance from the true popularity is at most this. */
    double maxError = 0.11;
    bool resetsOnShift = true; ///< If false, a shift does not discard earlier readings; they only decay.

    bool operator==(const PopularityOptions&) const = default;
};

/**
 * Popularity of the experts of a group. The popularity changes abruptly when callers turn to other topics. Readings
 * from before such a shift would delay the map for the new popularity, so they are discarded.
 */
class Popularity {
public:
    /** @param experts Per layer. */
    Popularity(PopularityOptions options, std::uint32_t experts)
        : options { options }
        , experts { experts }
        , averageDistance { options.usualDistance }
    {
    }

    /**
     * Adds the tokens by layer and expert since the last reading. A reading of another size discards the earlier
     * readings.
     */
    void add(const std::vector<double>& reading, base::SteadyTime now);

    /** True if there are enough readings since the last shift to plan a map. */
    [[nodiscard]] bool isKnown() const noexcept;
    /** Decayed sum of the tokens by layer and expert. */
    [[nodiscard]] const std::vector<double>& tokens() const noexcept { return this->decayedTokens; }
    /** Distance found by the last comparison; usualDistance returns the moving average of these distances. */
    [[nodiscard]] double distance() const noexcept { return this->lastDistance; }
    [[nodiscard]] double usualDistance() const noexcept { return this->averageDistance; }
    [[nodiscard]] std::uint64_t shifts() const noexcept { return this->shiftCount; }

private:
    PopularityOptions options;
    std::uint32_t experts;
    std::vector<double> decayedTokens;
    double decayedReadings = 0; ///< Number of readings, decayed like the tokens.
    std::vector<double> pending; ///< Sum of the readings that have not been compared yet.
    base::SteadyTime comparedAt {};
    base::SteadyTime decayedAt {};
    double averageDistance;
    double lastDistance = 0;
    std::uint64_t shiftCount = 0;

    void decay(base::SteadyTime now);
    void compare();
    [[nodiscard]] double pendingDistance() const;
};

} // namespace chivewinch::group
