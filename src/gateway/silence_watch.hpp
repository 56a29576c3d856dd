#pragma once

#include "base/clock.hpp"
#include "base/id.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace chivewinch::gateway {

/**
 * Finds targets that have fallen silent during a run. A run without an answer alone does not show that: the target may
 * be slow, or the answer is lost. The target counts as silent if it answers no other request of this process either.
 */
class SilenceWatch {
public:
    /** Time without an answer to any request after which a target counts as silent. */
    static constexpr std::chrono::milliseconds minSilence { 1'000 };

    /** A run that was given up without an answer. */
    struct Run {
        std::uint64_t fingerprint = 0;
        base::TargetId target;
        base::Incarnation incarnation {};
        base::SteadyTime lastAnswer {}; ///< Start of the run, or its last answer.
        base::SteadyTime givenUp {};
        bool isTrial = false;
    };

    /** Records that the target has answered a request or sent a part of an answer. */
    void recordAnswer(const base::TargetId& target, base::SteadyTime now);
    void add(Run run);
    /** Runs at whose targets nothing has been heard for minSilence. Each run is returned once at most. */
    [[nodiscard]] std::vector<Run> takeConfirmed(base::SteadyTime now);

private:
    static constexpr std::size_t maxRuns = 1'024;

    std::map<base::TargetId, base::SteadyTime> answers; ///< Last answer of each target.
    std::vector<Run> runs;
};

} // namespace chivewinch::gateway
