#include "gateway/silence_watch.hpp"

#include <algorithm>
#include <utility>

namespace chivewinch::gateway {

void SilenceWatch::recordAnswer(const base::TargetId& target, base::SteadyTime now)
{
    this->answers.insert_or_assign(target, now);
}

void SilenceWatch::add(Run run)
{
    if (this->runs.size() < maxRuns)
        this->runs.push_back(std::move(run));
}

std::vector<SilenceWatch::Run> SilenceWatch::takeConfirmed(base::SteadyTime now)
{
    std::vector<Run> confirmed;
    std::erase_if(this->runs, [&](Run& run) {
        const auto found = this->answers.find(run.target);
        const auto answered = found == this->answers.end() ? run.lastAnswer : found->second;
        if (answered > run.givenUp)
            return true;
        if (now - std::max(run.lastAnswer, answered) < minSilence)
            return false;
        confirmed.push_back(std::move(run));
        return true;
    });
    std::erase_if(this->answers, [now](const auto& item) { return now - item.second > 2 * minSilence; });
    return confirmed;
}

} // namespace chivewinch::gateway
