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
    double fastWeight = 0.5; ///< Weight of the newest interval in the short average.
    double slowWeight = 0.06; ///< Weight of the newest interval in the long average.
    double noiseWeight = 0.05; ///< Weight of the newest interval in the noise estimate.
    double surgeLimit = 2.0; ///< Ratio of squared deviation to noise that shows a sudden change.
    double driftLimit = 1.5; ///< The same for a trend that lasts driftIntervals.
    std::uint32_t driftIntervals = 3;
    std::uint32_t lateIntervals = 3; ///< Intervals for which late reports are awaited.

    bool operator==(const EstimatorOptions&) const = default;
};

enum class Drift : std::uint8_t { None, Slow, Surge };

/** Estimated popularity of the experts of one layer; sums to 1. */
struct LayerEstimate {
    std::vector<double> load;
    std::vector<double> deviation; ///< Standard deviation of each load.
    Drift drift = Drift::None;
    std::uint64_t intervals = 0; ///< Observed so far.

    bool operator==(const LayerEstimate&) const = default;
};

/**
 * Estimates the popularity of experts from reports that may be noisy, late, repeated or missing. An interval is closed
 * once all reports have arrived or lateIntervals have passed. The counts of an expert are scaled by the shares of the
 * replicas that reported, so a missing rank does not look like a loss of popularity.
 */
class LoadEstimator {
public:
    explicit LoadEstimator(const GroupShape& shape, EstimatorOptions options = {});

    /** The map is the one that the group used in the interval of the report. */
    [[nodiscard]] ReportResult add(const LoadReport& report, const ExpertMap& map);

    /** Ends an interval; all reports up to and including interval - lateIntervals are folded in. */
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
        std::vector<double> fast;
        std::vector<double> slow;
        std::vector<double> previous;
        std::vector<double> variance; ///< Of one interval's observation.
        std::uint64_t observations = 0;
        std::uint64_t age = 0; ///< Intervals in the long average.
        std::uint32_t driftRun = 0;
        LayerEstimate estimate;
    };

    [[nodiscard]] Interval& open(std::uint64_t number);
    [[nodiscard]] Sums emptySums() const;
    void fold(const Interval& interval);
    void foldLayer(Layer& layer, const Sums& sums) const;
    void observe(Layer& layer, const std::vector<double>& observed, const std::vector<bool>& seen) const;
    [[nodiscard]] Drift classify(Layer& layer) const;
    void publish(Layer& layer, Drift drift) const;

    GroupShape shape;
    EstimatorOptions options;
    std::vector<Layer> layers;
    std::vector<Interval> pending; ///< In order of number.
    std::optional<std::uint64_t> current; ///< Newest ended interval.
    std::optional<std::uint64_t> closed; ///< Newest folded interval.
    std::uint64_t late = 0;
};

} // namespace chivewinch::expert
