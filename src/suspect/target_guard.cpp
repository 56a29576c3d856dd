#include "suspect/target_guard.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace chivewinch::suspect {

TargetGuard::TargetGuard(StrikeTable& table, base::TargetId target, TargetGuardOptions options)
    : table { table }
    , target { std::move(target) }
    , options { options }
{
}

base::RefusalReason TargetGuard::check(std::uint64_t fingerprint) const
{
    const auto verdict = this->table.verdict(fingerprint);
    if (verdict == Verdict::Normal)
        return base::RefusalReason::None;
    if (verdict == Verdict::Blocked)
        return base::RefusalReason::SuspectRequest;
    const bool hasStrikeHere
        = this->options.refuseRerunAfterCrash && this->table.hasStrikeOn(fingerprint, this->target);
    const bool shared = this->options.isolate && this->runsOtherSuspect(fingerprint);
    return hasStrikeHere || shared ? base::RefusalReason::SuspectBusy : base::RefusalReason::None;
}

bool TargetGuard::runsOtherSuspect(std::uint64_t fingerprint) const
{
    return std::any_of(this->running.begin(), this->running.end(), [&](const auto& item) {
        return item.first != fingerprint && this->table.verdict(item.first) != Verdict::Normal;
    });
}

void TargetGuard::started(std::uint64_t fingerprint) { ++this->running[fingerprint]; }

void TargetGuard::finished(std::uint64_t fingerprint, bool completed)
{
    const auto found = this->running.find(fingerprint);
    if (found == this->running.end())
        return;
    if (--found->second == 0)
        this->running.erase(found);
    if (completed)
        this->table.recordCompletion(fingerprint);
}

void TargetGuard::crashed(base::Incarnation incarnation)
{
    std::vector<std::uint64_t> fingerprints;
    fingerprints.reserve(this->running.size());
    for (const auto& [fingerprint, runs] : this->running)
        fingerprints.push_back(fingerprint);
    this->running.clear();
    this->table.recordCrash(this->target, incarnation, fingerprints);
}

} // namespace chivewinch::suspect
