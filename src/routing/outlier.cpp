#include "routing/outlier.hpp"

#include <algorithm>

namespace chivewinch::routing::internal {

namespace {

constexpr double errorRateGain = 0.05;
constexpr std::uint32_t maxDoublings = 16;

} // namespace

void Outlier::noteSuccess(const EjectionOptions& options) noexcept
{
    this->failuresInRow = 0;
    this->onProbation = false;
    if (++this->successesInRow >= options.successesToForget)
        this->ejections = 0;
}

bool Outlier::note(Result result, const EjectionOptions& options, base::SteadyTime now) noexcept
{
    if (result != Result::Success && result != Result::Failure)
        return false;
    const bool failure = result == Result::Failure;
    ++this->results;
    this->errorRate += errorRateGain * ((failure ? 1 : 0) - this->errorRate);
    if (!failure) {
        this->noteSuccess(options);
        return false;
    }
    this->successesInRow = 0;
    ++this->failuresInRow;
    this->lastFailure = now;
    if (!options.enabled || this->ejected(now))
        return false;
    return this->onProbation || this->failuresInRow >= options.consecutiveFailures
        || (this->results >= options.minResults && this->errorRate >= options.errorRate);
}

void Outlier::eject(const EjectionOptions& options, base::SteadyTime now) noexcept
{
    const auto doublings = std::min(this->ejections, maxDoublings);
    const auto time = std::min(options.baseTime * (std::int64_t { 1 } << doublings), options.maxTime);
    this->ejectedUntil = now + std::chrono::duration_cast<base::SteadyTime::duration>(time);
    ++this->ejections;
    this->onProbation = true;
    this->results = 0;
    this->errorRate = 0;
}

} // namespace chivewinch::routing::internal
