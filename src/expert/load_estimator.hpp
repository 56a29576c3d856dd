#pragma once

#include "expert/map.hpp"

#include <cstdint>
#include <optional>
#include <set>
#include <vector>

namespace chivewinch::expert {

/** Numbers of tokens that the replicas of one rank and layer processed in one interval. */
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
    double minGain = 0.03; ///< Minimum weight of the newest interval in the popularity.
    double surgeGain = 0.7; ///< Weight of the newest interval for an expert whose deviations keep one sign.
    double surgeDeviations = 3; ///< A smoothed deviation larger than this many of its standard deviations is a surge.
    /** Mean score of all layers at which the group counts as drifting; the mean of pure noise is 0. */
    double driftLimit = 0.12;
    double layerDriftLimit = 0.3; ///< Score at which a single layer counts as drifting.
    std::uint32_t warmUpIntervals = 8; ///< Observations that only measure noise, before drift is scored.
    double earlyLimitIntervals = 4; ///< The drift limits are multiplied by 1 + earlyLimitIntervals / scored intervals.
    double slopeWeight = 0.3; ///< Weight of the newest change in the slope.
    double slopeShrinkage = 3; ///< A slope whose square is at most this multiple of its variance counts as zero.
    /** Intervals by which the published load is extrapolated: the time until a new map can be used. */
    double leadIntervals = 1;
    double quorum = 0.8; ///< Fraction of the expected reports with which an interval is closed as soon as it ends.
    std::uint32_t lateIntervals = 3; ///< Intervals to wait for missing reports of an interval without a quorum.

    bool operator==(const EstimatorOptions&) const = default;
};

enum class Drift : std::uint8_t { None, Slow, Surge };

/** Estimated popularity of the experts of one layer; sums to 1. */
struct LayerEstimate {
    std::vector<double> load;
    std::vector<double> deviation; ///< Standard deviation of each load.
    Drift drift = Drift::None;
    /** Smoothed mean over the experts of (squared longer - squared one-interval difference) / (2 * noise). */
    double driftScore = 0;
    std::uint64_t intervals = 0; ///< Number of intervals observed.

    bool operator==(const LayerEstimate&) const = default;
};

/**
 * Estimates the popularity of experts from reports that may be noisy, late, repeated or missing. The counts of an
 * expert are divided by the shares of the replicas that reported, so a missing report does not look like a loss of
 * popularity.
 *
 * The popularity of an expert is modelled as a random walk observed with noise. Comparing differences over one interval
 * with differences over several intervals separates the two: noise adds the same variance to both, drift adds more to
 * the longer difference. The drift is estimated over all experts of a layer and sets the gain of the filter. An expert
 * whose deviations keep one sign gets a larger gain.
 */
class LoadEstimator {
public:
    explicit LoadEstimator(const GroupShape& shape, EstimatorOptions options = {});

    /** Adds a report. The map must be the one that the group used in the interval of the report. */
    [[nodiscard]] ReportResult add(const LoadReport& report, const ExpertMap& map);

    /**
     * Ends an interval. Its reports are folded into the estimate at once if they reach the quorum, otherwise after
     * lateIntervals.
     */
    void close(std::uint64_t interval);
    /** Folds all reports that have arrived into the estimate. */
    void flush();

    [[nodiscard]] const LayerEstimate& layer(std::uint32_t index) const { return this->layers.at(index).estimate; }
    [[nodiscard]] std::uint64_t lateReports() const noexcept { return this->late; }

private:
    /** Sums over the reports on one layer in one interval. */
    struct Sums {
        std::vector<double> tokens;
        std::vector<double> shares; ///< Sum of the shares of the replicas that reported, by expert.
        std::vector<bool> ranks; ///< Ranks that reported.
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
        std::vector<bool> seen; ///< Whether the last observation has a report on the expert.
        std::vector<double> noise; ///< Variance of one observation.
        std::vector<double> variance; ///< Variance of the level.
        std::vector<double> slope; ///< Smoothed change of the level in one interval.
        std::vector<double> trend; ///< Smoothed deviation from the level, in standard deviations.
        double drift = 0; ///< Variance of the relative change in one interval.
        double score = 0;
        bool surge = false;
        std::uint64_t observations = 0;
        LayerEstimate estimate;
    };

    [[nodiscard]] Interval& findOrCreate(std::uint64_t number);
    [[nodiscard]] Sums emptySums() const;
    void fold(const Interval& interval);
    void foldLayer(Layer& layer, const Sums& sums) const;
    void initialize(Layer& layer, const std::vector<double>& observed) const;
    void measureNoise(Layer& layer, const std::vector<double>& observed, const std::vector<bool>& seen) const;
    [[nodiscard]] double earlyLimitFactor() const;
    [[nodiscard]] double shrunkSlope(const Layer& layer, std::uint32_t expert, double gain) const;
    [[nodiscard]] double updateLevel(Layer& layer, std::uint32_t expert, double observed) const;
    void publish(Layer& layer) const;
    void poolDrift();

    GroupShape shape;
    EstimatorOptions options;
    std::vector<Layer> layers;
    std::vector<Interval> pending; ///< Ascending by interval number.
    std::optional<std::uint64_t> current; ///< Newest ended interval.
    std::optional<std::uint64_t> closed; ///< Newest folded interval.
    std::uint64_t late = 0;
    double pooledDrift = 0; ///< Mean drift of the layers; 0 while the group does not drift.
};

} // namespace chivewinch::expert
