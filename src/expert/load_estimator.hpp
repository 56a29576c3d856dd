#pragma once

#include "expert/map.hpp"

#include <cstdint>
#include <optional>
#include <set>
#include <vector>

namespace chivewinch::expert {

/** Tokens that the replicas of one rank and layer processed in one interval. */
struct LoadReport {
    std::uint32_t rank = 0;
    std::uint32_t layer = 0;
    std::uint64_t interval = 0;
    std::vector<std::uint64_t> tokens; ///< One count per replica of the rank, in the order of the layer map.

    bool operator==(const LoadReport&) const = default;
};

enum class ReportResult : std::uint8_t { Accepted, Duplicate, TooLate, Malformed };

struct EstimatorOptions {
    double noiseWeight = 0.03; ///< Weight of the newest interval in the estimate of noise.
    double driftWeight = 0.1; ///< Weight of the newest interval in the estimate of drift.
    double minGain = 0.03; ///< Least weight of the newest interval in the popularity.
    double surgeGain = 0.7; ///< Weight for an expert whose deviations have one sign.
    double surgeDeviations = 3; ///< Standard deviations of the smoothed deviation that show a surge.
    double driftLimit = 0.12; ///< Mean score of all layers from which the group drifts; noise alone has mean 0.
    double layerDriftLimit = 0.3; ///< Score from which a single layer drifts.
    std::uint32_t warmUpIntervals = 8; ///< Observations that measure noise before any drift is scored.
    double fewIntervals = 4; ///< The limits are multiplied by 1 + fewIntervals / scored intervals.
    double slopeWeight = 0.3; ///< Weight of the newest change in the slope.
    double slopeDoubt = 3; ///< Squared standard deviations of a slope below which it counts as zero.
    double leadIntervals = 1; ///< The published load is extrapolated by the time until a new map can be used.
    double quorum = 0.8; ///< Part of the reports that closes an interval at its end.
    std::uint32_t lateIntervals = 3; ///< Intervals for which reports are awaited below the quorum.

    bool operator==(const EstimatorOptions&) const = default;
};

enum class Drift : std::uint8_t { None, Slow, Surge };

/** Estimated popularity of the experts of one layer; sums to 1. */
struct LayerEstimate {
    std::vector<double> load;
    std::vector<double> deviation; ///< Standard deviation of each load.
    Drift drift = Drift::None;
    double driftScore = 0; ///< Mean over the experts of the growth of differences with their span, in units of noise.
    std::uint64_t intervals = 0; ///< Observed so far.

    bool operator==(const LayerEstimate&) const = default;
};

/**
 * Estimates the popularity of experts from reports that may be noisy, late, repeated or missing. The counts of an
 * expert are scaled by the shares of the replicas that reported, so a missing rank does not look like a loss of
 * popularity.
 *
 * Each popularity is a random walk seen through noise. Differences over one and over several intervals tell the two
 * apart: noise adds the same to both, drift adds more to the longer one. The drift is estimated over all experts of a
 * layer and sets the gain of the filter. An expert whose deviations keep one sign is followed faster.
 */
class LoadEstimator {
public:
    explicit LoadEstimator(const GroupShape& shape, EstimatorOptions options = {});

    /** The map is the one that the group used in the interval of the report. */
    [[nodiscard]] ReportResult add(const LoadReport& report, const ExpertMap& map);

    /** Ends an interval: it is folded in with a quorum of its reports, otherwise after lateIntervals. */
    void close(std::uint64_t interval);
    /** Folds in all reports that have arrived. */
    void flush();

    [[nodiscard]] const LayerEstimate& layer(std::uint32_t index) const { return this->layers.at(index).estimate; }
    [[nodiscard]] std::uint64_t lateReports() const noexcept { return this->late; }

private:
    /** Sums of one layer and interval. */
    struct Sums {
        std::vector<double> tokens;
        std::vector<double> shares; ///< Part of each expert's shares that reported.
        std::vector<bool> ranks;
        std::uint32_t reports = 0;
    };

    struct Interval {
        std::uint64_t number = 0;
        std::vector<Sums> layers;
        std::uint32_t reports = 0;
    };

    struct Layer {
        std::vector<double> level;
        std::vector<std::vector<double>> history; ///< Last observations, oldest first.
        std::vector<bool> seen; ///< Experts of the last observation with a report.
        std::vector<double> noise; ///< Variance of one observation.
        std::vector<double> variance; ///< Of the level.
        std::vector<double> slope; ///< Smoothed change of the level in one interval.
        std::vector<double> trend; ///< Smoothed deviation from the level in standard deviations.
        double drift = 0; ///< Variance of the relative change in one interval.
        double score = 0;
        bool surge = false;
        std::uint64_t observations = 0;
        LayerEstimate estimate;
    };

    [[nodiscard]] Interval& open(std::uint64_t number);
    [[nodiscard]] Sums emptySums() const;
    void fold(const Interval& interval);
    void foldLayer(Layer& layer, const Sums& sums) const;
    void start(Layer& layer, const std::vector<double>& observed) const;
    void measureNoise(Layer& layer, const std::vector<double>& observed, const std::vector<bool>& seen) const;
    [[nodiscard]] double limitFactor() const;
    [[nodiscard]] double credibleSlope(const Layer& layer, std::uint32_t expert, double gain) const;
    [[nodiscard]] double follow(Layer& layer, std::uint32_t expert, double observed) const;
    void publish(Layer& layer) const;
    void poolDrift();

    GroupShape shape;
    EstimatorOptions options;
    std::vector<Layer> layers;
    std::vector<Interval> pending; ///< In order of number.
    std::optional<std::uint64_t> current; ///< Newest ended interval.
    std::optional<std::uint64_t> closed; ///< Newest folded interval.
    std::uint64_t late = 0;
    double pooledDrift = 0; ///< Mean of the layers' drift; 0 while the group does not drift.
};

} // namespace chivewinch::expert
