#include "routing/outlier_detector.hpp"

#include <algorithm>

namespace chivewinch::routing::internal {

namespace {

constexpr double errorRateGain = 0.05;
constexpr std::uint32_t maxDoublings = 16;

} // namespace

void OutlierDetector::recordSuccess(const EjectionOptions& options) noexcept
{
    this->failuresInRow = 0;
    this->awaitsProbeSuccess = false;
    if (++this->successesInRow >= options.successesToResetEjections)
        this->ejections = 0;
}

bool OutlierDetector::record(Result result, const EjectionOptions& options, base::SteadyTime now) noexcept
{
    if (result != Result::Success && result != Result::Failure)
        return false;
    const bool failure = result == Result::Failure;
    ++this->resultsSinceEjection;
    this->errorRate += errorRateGain * ((failure ? 1 : 0) - this->errorRate);
    if (!failure) {
        this->recordSuccess(options);
        return false;
    }
    this->successesInRow = 0;
    ++this->failuresInRow;
    this->lastFailure = now;
    if (!options.enabled || this->ejected(now))
        return false;
    return this->awaitsProbeSuccess || this->failuresInRow >= options.consecutiveFailures
        || (this->resultsSinceEjection >= options.minResults && this->errorRate >= options.errorRate);
}

void OutlierDetector::eject(const EjectionOptions& options, base::SteadyTime now) noexcept
{
    const auto doublings = std::min(this->ejections, maxDoublings);
    const auto time = std::min(options.baseTime * (std::int64_t { 1 } << doublings), options.maxTime);
    this->ejectedUntil = now + std::chrono::duration_cast<base::SteadyTime::duration>(time);
    ++this->ejections;
    this->awaitsProbeSuccess = true;
    this->resultsSinceEjection = 0;
    this->errorRate = 0;
}

} // namespace chivewinch::routing::internal
