#include "suspect/strike_table.hpp"

#include "base/hash.hpp"

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

bool StrikeTable::isExpired(const Entry& entry) const noexcept
{
    return this->options.expire && this->clock.now() - entry.at >= this->options.expiry;
}

bool StrikeTable::isActive(const Entry& entry) const noexcept { return !entry.cleared && !this->isExpired(entry); }

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

const StrikeTable::Entries* StrikeTable::findEntries(std::uint64_t fingerprint) const
{
    const auto found = this->byFingerprint.find(fingerprint);
    return found == this->byFingerprint.end() ? nullptr : &found->second;
}

std::vector<Strike> StrikeTable::recordCrash(
    const base::TargetId& target, base::Incarnation incarnation, std::span<const std::uint64_t> inFlight, bool isTrial)
{
    this->purge();
    const auto now = this->clock.now();
    const bool restarts = this->options.restartTime.count() > 0;
    std::vector<Strike> added;
    for (const auto fingerprint : inFlight) {
        const auto* entries = this->findEntries(fingerprint);
        const auto isSameCrash = [&](const Entry& entry) {
            return entry.target == target && entry.incarnation == incarnation
                && now - entry.at < this->options.restartTime;
        };
        if (entries != nullptr && std::ranges::any_of(*entries, isSameCrash))
            continue;
        Strike strike { .fingerprint = fingerprint, .target = target, .incarnation = incarnation };
        if (restarts)
            strike.crash = base::combineHash(this->options.crashSeed, ++this->recordedCrashes);
        if (this->add({ .strike = strike, .trial = isTrial }, now))
            added.push_back(std::move(strike));
    }
    return added;
}

std::vector<Strike> StrikeTable::recordCompletion(std::uint64_t fingerprint)
{
    std::vector<Strike> cleared;
    const auto found = this->byFingerprint.find(fingerprint);
    if (found == this->byFingerprint.end() || !this->options.clear)
        return cleared;
    for (auto& entry : found->second) {
        if (entry.cleared)
            continue;
        entry.reports = 0;
        entry.cleared = true;
        cleared.push_back(this->reportOf(fingerprint, entry).strike);
    }
    this->changes += cleared.size();
    return cleared;
}

std::vector<Strike> StrikeTable::merge(const StrikeList& list)
{
    this->purge();
    std::vector<Strike> changed;
    for (const auto& report : list)
        if (this->add(report, this->clock.now() - report.age))
            changed.push_back(report.strike);
    return changed;
}

bool StrikeTable::add(const StrikeReport& report, base::SteadyTime at)
{
    const auto& strike = report.strike;
    const bool cleared = report.cleared && this->options.clear;
    auto& entries = this->byFingerprint[strike.fingerprint];
    const auto same = std::find_if(entries.begin(), entries.end(), [&](const Entry& entry) {
        return entry.target == strike.target && entry.incarnation == strike.incarnation && entry.crash == strike.crash;
    });
    if (same != entries.end()) {
        const bool isNewlyCleared = cleared && !same->cleared;
        same->reports = isNewlyCleared ? 0 : same->reports;
        same->cleared = same->cleared || cleared;
        same->at = std::min(same->at, at);
        this->changes += isNewlyCleared ? 1 : 0;
        return isNewlyCleared;
    }
    entries.push_back({ .target = strike.target,
        .incarnation = strike.incarnation,
        .crash = strike.crash,
        .at = at,
        .cleared = cleared,
        .trial = report.trial });
    ++this->total;
    ++this->changes;
    if (this->total > this->options.maxStrikes)
        this->evict();
    return true;
}

void StrikeTable::purge()
{
    if (this->clock.now() < this->nextPurge)
        return;
    this->nextPurge = this->clock.now() + this->options.expiry / internal::purgesPerExpiry;
    for (auto item = this->byFingerprint.begin(); item != this->byFingerprint.end();) {
        auto& entries = item->second;
        const auto removed = std::erase_if(entries, [this](const Entry& entry) { return this->isRemovable(entry); });
        this->total -= removed;
        this->changes += removed;
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
        list.push_back(this->reportOf(fingerprint, *entry));
    }
    return list;
}

StrikeReport StrikeTable::reportOf(std::uint64_t fingerprint, const Entry& entry) const
{
    return { .strike = { .fingerprint = fingerprint,
                 .target = entry.target,
                 .incarnation = entry.incarnation,
                 .crash = entry.crash },
        .age = std::chrono::duration_cast<std::chrono::milliseconds>(this->clock.now() - entry.at),
        .cleared = entry.cleared,
        .trial = entry.trial };
}

/** Takes strikes of one crash, which several processes may have seen, as one. */
std::vector<base::SteadyTime> StrikeTable::crashTimes(std::vector<const Entry*> strikes) const
{
    const auto identity = [](const Entry& entry) { return std::tie(entry.target, entry.incarnation); };
    std::ranges::sort(strikes, [&identity](const Entry* left, const Entry* right) {
        return std::tuple { identity(*left), left->at } < std::tuple { identity(*right), right->at };
    });
    std::vector<base::SteadyTime> times;
    const Entry* first = nullptr;
    for (const auto* strike : strikes) {
        if (first != nullptr && identity(*first) == identity(*strike)
            && strike->at - first->at < this->options.restartTime)
            continue;
        first = strike;
        times.push_back(strike->at);
    }
    return times;
}

std::size_t StrikeTable::strikeCount(std::uint64_t fingerprint) const
{
    const auto* entries = this->findEntries(fingerprint);
    if (entries == nullptr)
        return 0;
    std::vector<const Entry*> strikes;
    for (const auto& entry : *entries)
        if (this->isActive(entry))
            strikes.push_back(&entry);
    return this->crashTimes(std::move(strikes)).size();
}

std::size_t StrikeTable::knownCrashes(std::uint64_t fingerprint) const
{
    const auto* entries = this->findEntries(fingerprint);
    if (entries == nullptr)
        return 0;
    std::vector<const Entry*> strikes;
    for (const auto& entry : *entries)
        strikes.push_back(&entry);
    return this->crashTimes(std::move(strikes)).size();
}

std::optional<StrikeReport> StrikeTable::find(const Strike& strike) const
{
    const auto reports = this->reportsOf(strike.fingerprint);
    const auto found = std::ranges::find(reports, strike, &StrikeReport::strike);
    return found == reports.end() ? std::nullopt : std::optional { *found };
}

StrikeList StrikeTable::reportsOf(std::uint64_t fingerprint) const
{
    StrikeList reports;
    if (const auto* entries = this->findEntries(fingerprint)) {
        for (const auto& entry : *entries)
            if (this->isSendable(entry))
                reports.push_back(this->reportOf(fingerprint, entry));
    }
    return reports;
}

StrikeList StrikeTable::reportsWith(std::size_t crashes, std::size_t maxReports) const
{
    std::vector<std::pair<std::size_t, std::uint64_t>> ranked;
    for (const auto& [fingerprint, entries] : this->byFingerprint)
        if (const auto known = this->knownCrashes(fingerprint); known >= crashes)
            ranked.emplace_back(known, fingerprint);
    std::ranges::sort(ranked, std::greater {});
    StrikeList reports;
    for (const auto& [known, fingerprint] : ranked) {
        for (auto& report : this->reportsOf(fingerprint)) {
            if (reports.size() >= maxReports)
                return reports;
            reports.push_back(std::move(report));
        }
    }
    return reports;
}

std::uint64_t StrikeTable::digest(std::size_t crashes) const
{
    std::uint64_t digest = 0;
    for (const auto& [fingerprint, entries] : this->byFingerprint) {
        if (entries.size() < crashes || this->knownCrashes(fingerprint) < crashes)
            continue;
        for (const auto& entry : entries) {
            if (!this->isSendable(entry))
                continue;
            const auto target
                = base::combineHash(base::hash64(entry.target), static_cast<std::uint64_t>(entry.incarnation));
            const auto crash = base::combineHash(target, base::combineHash(entry.crash, entry.cleared ? 1 : 0));
            digest ^= base::combineHash(fingerprint, crash);
        }
    }
    return digest;
}

Verdict StrikeTable::verdict(std::uint64_t fingerprint) const
{
    const auto count = this->strikeCount(fingerprint);
    if (count >= this->options.strikesToBlock)
        return Verdict::Blocked;
    return count > 0 ? Verdict::Isolated : Verdict::Normal;
}

std::vector<std::uint64_t> StrikeTable::blockedFingerprints() const
{
    std::vector<std::uint64_t> blocked;
    for (const auto& [fingerprint, entries] : this->byFingerprint)
        if (this->verdict(fingerprint) == Verdict::Blocked)
            blocked.push_back(fingerprint);
    return blocked;
}

std::vector<std::uint64_t> StrikeTable::struckFingerprints() const
{
    std::vector<std::uint64_t> struck;
    for (const auto& [fingerprint, entries] : this->byFingerprint)
        if (std::ranges::any_of(entries, [this](const Entry& entry) { return this->isActive(entry); }))
            struck.push_back(fingerprint);
    return struck;
}

bool StrikeTable::wasBlocked(std::uint64_t fingerprint, base::SteadyTime at) const
{
    const auto* entries = this->findEntries(fingerprint);
    if (entries == nullptr)
        return false;
    std::vector<const Entry*> strikes;
    for (const auto& entry : *entries)
        if (this->isActive(entry) && entry.at < at)
            strikes.push_back(&entry);
    return this->crashTimes(std::move(strikes)).size() >= this->options.strikesToBlock;
}

bool StrikeTable::hasStrikeOn(std::uint64_t fingerprint, const base::TargetId& target) const
{
    const auto struck = this->struckTargets(fingerprint);
    return std::ranges::find(struck, target) != struck.end();
}

std::vector<base::TargetId> StrikeTable::struckTargets(std::uint64_t fingerprint) const
{
    std::vector<base::TargetId> targets;
    if (const auto* entries = this->findEntries(fingerprint)) {
        for (const auto& entry : *entries)
            if (this->isActive(entry))
                targets.push_back(entry.target);
    }
    return targets;
}

std::size_t StrikeTable::failedTrials(std::uint64_t fingerprint, base::SteadyTime since) const
{
    const auto* entries = this->findEntries(fingerprint);
    return entries == nullptr ? 0 : static_cast<std::size_t>(std::ranges::count_if(*entries, [&](const Entry& entry) {
        return entry.trial && entry.at > since && !this->isExpired(entry);
    }));
}

std::optional<base::SteadyTime> StrikeTable::firstBlocked(std::uint64_t fingerprint) const
{
    const auto* entries = this->findEntries(fingerprint);
    if (entries == nullptr)
        return std::nullopt;
    std::vector<const Entry*> strikes;
    for (const auto& entry : *entries)
        if (!this->isExpired(entry))
            strikes.push_back(&entry);
    auto times = this->crashTimes(std::move(strikes));
    if (times.size() < this->options.strikesToBlock)
        return std::nullopt;
    std::ranges::sort(times);
    return times[this->options.strikesToBlock - 1];
}

std::optional<base::SteadyTime> StrikeTable::lastStrike(std::uint64_t fingerprint) const
{
    std::optional<base::SteadyTime> last;
    if (const auto* entries = this->findEntries(fingerprint)) {
        for (const auto& entry : *entries)
            if (this->isActive(entry) && (!last || entry.at > *last))
                last = entry.at;
    }
    return last;
}

} // namespace chivewinch::suspect
