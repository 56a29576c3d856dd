#include "suspect/strike_table.hpp"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace chivewinch::suspect {

namespace internal {

constexpr int purgesPerExpiry = 16;

} // namespace internal

StrikeTable::StrikeTable(const base::Clock& clock, StrikeOptions options)
    : clock { clock }
    , options { options }
    , nextPurge { clock.now() }
{
}

bool StrikeTable::isActive(const Entry& entry) const noexcept
{
    return !entry.cleared && (!this->options.expire || this->clock.now() - entry.at < this->options.expiry);
}

/** An expired strike is kept for a while, so that a delayed report of it is not added as a new strike. */
bool StrikeTable::isRemovable(const Entry& entry) const noexcept
{
    const auto term = this->options.rememberExpired ? 2 * this->options.expiry : this->options.expiry;
    return this->options.expire && this->clock.now() - entry.at >= term;
}

bool StrikeTable::isSendable(const Entry& entry) const noexcept
{
    return this->clock.now() - entry.at < this->options.expiry - this->options.sendMargin;
}

void StrikeTable::recordCrash(
    const base::TargetId& target, base::Incarnation incarnation, std::span<const std::uint64_t> inFlight)
{
    this->purge();
    for (const auto fingerprint : inFlight)
        this->add(
            { .fingerprint = fingerprint, .target = target, .incarnation = incarnation }, this->clock.now(), false);
}

void StrikeTable::recordCompletion(std::uint64_t fingerprint)
{
    const auto found = this->byFingerprint.find(fingerprint);
    if (found == this->byFingerprint.end() || !this->options.clear)
        return;
    for (auto& entry : found->second) {
        entry.reports = entry.cleared ? entry.reports : 0;
        entry.cleared = true;
    }
}

void StrikeTable::merge(const StrikeList& list)
{
    this->purge();
    for (const auto& report : list)
        this->add(report.strike, this->clock.now() - report.age, report.cleared && this->options.clear);
}

void StrikeTable::add(const Strike& strike, base::SteadyTime at, bool cleared)
{
    auto& entries = this->byFingerprint[strike.fingerprint];
    const auto same = std::find_if(entries.begin(), entries.end(),
        [&](const Entry& entry) { return entry.target == strike.target && entry.incarnation == strike.incarnation; });
    if (same != entries.end()) {
        same->reports = cleared && !same->cleared ? 0 : same->reports;
        same->cleared = same->cleared || cleared;
        same->at = std::min(same->at, at);
        return;
    }
    entries.push_back({ .target = strike.target, .incarnation = strike.incarnation, .at = at, .cleared = cleared });
    ++this->total;
    if (this->total > this->options.maxStrikes)
        this->evict();
}

void StrikeTable::purge()
{
    if (this->clock.now() < this->nextPurge)
        return;
    this->nextPurge = this->clock.now() + this->options.expiry / internal::purgesPerExpiry;
    for (auto item = this->byFingerprint.begin(); item != this->byFingerprint.end();) {
        auto& entries = item->second;
        this->total -= std::erase_if(entries, [this](const Entry& entry) { return this->isRemovable(entry); });
        item = entries.empty() ? this->byFingerprint.erase(item) : std::next(item);
    }
}

/**
 * Drops a strike that no longer counts, if there is one; otherwise the oldest strike, if possible of a fingerprint
 * that is not blocked.
 */
void StrikeTable::evict()
{
    using Rank = std::tuple<bool, bool, base::SteadyTime>;
    std::optional<Rank> lowest;
    std::uint64_t victim = 0;
    std::size_t position = 0;
    for (const auto& [fingerprint, entries] : this->byFingerprint) {
        const bool blocked = entries.size() >= this->options.strikesToBlock;
        for (std::size_t i = 0; i < entries.size(); ++i) {
            const Rank rank { this->isActive(entries[i]), blocked, entries[i].at };
            if (!lowest || rank < *lowest) {
                lowest = rank;
                victim = fingerprint;
                position = i;
            }
        }
    }
    auto& entries = this->byFingerprint[victim];
    entries.erase(entries.begin() + static_cast<std::ptrdiff_t>(position));
    if (entries.empty())
        this->byFingerprint.erase(victim);
    --this->total;
    ++this->evicted;
}

StrikeList StrikeTable::report()
{
    this->purge();
    struct Candidate {
        std::uint64_t fingerprint;
        Entry* entry;
    };
    std::vector<Candidate> candidates;
    for (auto& [fingerprint, entries] : this->byFingerprint)
        for (auto& entry : entries)
            if (this->isSendable(entry))
                candidates.push_back({ .fingerprint = fingerprint, .entry = &entry });
    const auto count = std::min(candidates.size(), this->options.maxReported);
    std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(count), candidates.end(),
        [](const Candidate& left, const Candidate& right) {
            return std::tuple { left.entry->reports, right.entry->at, left.fingerprint }
            < std::tuple { right.entry->reports, left.entry->at, right.fingerprint };
        });
    StrikeList list;
    list.reserve(count);
    for (std::size_t i = 0; i < count; ++i) {
        auto& [fingerprint, entry] = candidates[i];
        ++entry->reports;
        list.push_back(
            { .strike = { .fingerprint = fingerprint, .target = entry->target, .incarnation = entry->incarnation },
                .age = std::chrono::duration_cast<std::chrono::milliseconds>(this->clock.now() - entry->at),
                .cleared = entry->cleared });
    }
    return list;
}

std::size_t StrikeTable::strikeCount(std::uint64_t fingerprint) const
{
    const auto found = this->byFingerprint.find(fingerprint);
    if (found == this->byFingerprint.end())
        return 0;
    return static_cast<std::size_t>(std::count_if(
        found->second.begin(), found->second.end(), [this](const Entry& entry) { return this->isActive(entry); }));
}

Verdict StrikeTable::verdict(std::uint64_t fingerprint) const
{
    const auto count = this->strikeCount(fingerprint);
    if (count >= this->options.strikesToBlock)
        return Verdict::Blocked;
    return count > 0 ? Verdict::Isolated : Verdict::Normal;
}

bool StrikeTable::hasStrikeOn(std::uint64_t fingerprint, const base::TargetId& target) const
{
    const auto found = this->byFingerprint.find(fingerprint);
    return found != this->byFingerprint.end()
        && std::any_of(found->second.begin(), found->second.end(),
            [&](const Entry& entry) { return entry.target == target && this->isActive(entry); });
}

std::optional<base::SteadyTime> StrikeTable::lastStrike(std::uint64_t fingerprint) const
{
    std::optional<base::SteadyTime> last;
    const auto found = this->byFingerprint.find(fingerprint);
    if (found == this->byFingerprint.end())
        return last;
    for (const auto& entry : found->second)
        if (this->isActive(entry) && (!last || entry.at > *last))
            last = entry.at;
    return last;
}

} // namespace chivewinch::suspect
