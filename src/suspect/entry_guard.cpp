#include "suspect/entry_guard.hpp"

#include "base/hash.hpp"

#include <algorithm>
#include <tuple>

namespace chivewinch::suspect {

std::vector<base::TargetId> candidatePair(std::uint64_t fingerprint, std::span<const base::TargetId> targets)
{
    using Score = std::pair<std::uint64_t, const base::TargetId*>;
    Score first { 0, nullptr };
    Score second { 0, nullptr };
    const auto better = [](const Score& left, const Score& right) {
        return right.second == nullptr || std::tie(left.first, *left.second) > std::tie(right.first, *right.second);
    };
    for (const auto& target : targets) {
        const Score score { base::hash64(target, fingerprint), &target };
        if (better(score, first)) {
            second = first;
            first = score;
        } else if (better(score, second)) {
            second = score;
        }
    }
    std::vector<base::TargetId> pair;
    for (const auto* target : { first.second, second.second })
        if (target != nullptr)
            pair.push_back(*target);
    return pair;
}

EntryGuard::EntryGuard(const base::Clock& clock, StrikeTable& table, EntryGuardOptions options)
    : clock { clock }
    , table { table }
    , options { options }
{
}

std::chrono::nanoseconds EntryGuard::remainingHold(std::uint64_t fingerprint) const
{
    const auto last = this->table.lastStrike(fingerprint);
    return last ? std::chrono::nanoseconds { *last + this->options.hold - this->clock.now() }
                : std::chrono::nanoseconds { 0 };
}

/** After a strike, only the highest-ranked target without a strike is left, so all entries use the same one. */
std::vector<base::TargetId> EntryGuard::candidates(
    std::uint64_t fingerprint, std::span<const base::TargetId> targets, std::size_t strikeCount) const
{
    if (strikeCount == 0)
        return candidatePair(fingerprint, targets);
    std::vector<base::TargetId> rest { targets.begin(), targets.end() };
    std::erase_if(rest, [&](const auto& target) { return this->table.hasStrikeOn(fingerprint, target); });
    auto result = candidatePair(fingerprint, rest);
    result.resize(std::min<std::size_t>(result.size(), 1));
    return result;
}

std::vector<base::TargetId> EntryGuard::allowed(
    std::uint64_t fingerprint, std::span<const base::TargetId> targets, std::span<const base::TargetId> usable) const
{
    const auto strikeCount = this->table.strikeCount(fingerprint);
    if (!this->options.useCandidatePair) {
        const std::vector<base::TargetId> all { usable.begin(), usable.end() };
        auto withoutStrike = all;
        std::erase_if(withoutStrike, [&](const auto& target) { return this->table.hasStrikeOn(fingerprint, target); });
        // If every usable target has a strike of the fingerprint, all are allowed: in a zone with a single target, a
        // harmless fingerprint must be able to run again.
        return withoutStrike.empty() ? all : withoutStrike;
    }
    if (!this->options.stableCandidates)
        return this->candidates(fingerprint, usable, strikeCount);
    auto result = this->candidates(fingerprint, targets, strikeCount);
    std::erase_if(
        result, [&](const auto& target) { return std::find(usable.begin(), usable.end(), target) == usable.end(); });
    return result.empty() && strikeCount == 0 ? this->candidates(fingerprint, usable, strikeCount) : result;
}

Placement EntryGuard::place(
    std::uint64_t fingerprint, std::span<const base::TargetId> targets, std::span<const base::TargetId> usable) const
{
    const auto verdict = this->table.verdict(fingerprint);
    if (verdict == Verdict::Blocked)
        return { .refusal = base::RefusalReason::SuspectRequest };
    if (const auto left = this->remainingHold(fingerprint); left > std::chrono::nanoseconds { 0 })
        return { .refusal = base::RefusalReason::SuspectBusy, .targets = {}, .retryAfter = left };
    auto choices = this->allowed(fingerprint, targets, usable);
    const auto found = this->running.find(fingerprint);
    if (this->options.singleTarget && found != this->running.end()) {
        const auto& only = found->second.target;
        std::erase_if(choices, [&](const auto& target) { return target != only; });
    }
    if (choices.empty())
        return { .refusal = base::RefusalReason::SuspectBusy };
    return { .targets = std::move(choices) };
}

void EntryGuard::started(std::uint64_t fingerprint, const base::TargetId& target)
{
    auto& entry = this->running[fingerprint];
    entry.target = target;
    ++entry.runs;
}

void EntryGuard::finished(std::uint64_t fingerprint)
{
    const auto found = this->running.find(fingerprint);
    if (found != this->running.end() && --found->second.runs == 0)
        this->running.erase(found);
}

} // namespace chivewinch::suspect
