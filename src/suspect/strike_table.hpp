#pragma once

#include "base/clock.hpp"
#include "suspect/strike.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace chivewinch::suspect {

/** Settings of a StrikeTable; each switch disables one mechanism, for tests of that mechanism. */
struct StrikeOptions {
    std::chrono::nanoseconds expiry { std::chrono::minutes { 10 } };
    /** Strikes that expire within this time are not sent, so that peers cannot renew them for each other. */
    std::chrono::nanoseconds sendMargin { std::chrono::seconds { 30 } };
    std::size_t maxStrikes = 4'096;
    std::size_t maxReported = 64;
    std::size_t strikesToBlock = 2;
    bool expire = true;
    bool clear = true;
    bool rememberExpired = true;
    /**
     * Shortest time in which a target restarts under the same incarnation. Strikes of one incarnation that are at least
     * this far apart belong to different crashes; with 0, all belong to the same crash.
     */
    std::chrono::nanoseconds restartTime { 0 };
    std::uint64_t crashSeed = 0; ///< Differs between processes, for the numbers of crashes.

    bool operator==(const StrikeOptions&) const = default;
};

enum class Verdict : std::uint8_t {
    Normal,
    Isolated, ///< May run only where no other fingerprint with a strike runs.
    Blocked,
};

/**
 * Strikes known to one process. Merging lists is commutative, associative and idempotent: a strike counts once,
 * keeps its earliest known time, and stays cleared once it was cleared.
 */
class StrikeTable {
public:
    explicit StrikeTable(const base::Clock& clock, StrikeOptions options = {});

    /**
     * Adds a strike for each fingerprint in flight; several reports of one crash count once. Returns the strikes that
     * were added.
     */
    std::vector<Strike> recordCrash(const base::TargetId& target, base::Incarnation incarnation,
        std::span<const std::uint64_t> inFlight, bool isTrial = false);
    /** Clears the strikes of a fingerprint that completed a run. Returns the strikes that were cleared. */
    std::vector<Strike> recordCompletion(std::uint64_t fingerprint);
    /** Returns the strikes that were added or cleared. */
    std::vector<Strike> merge(const StrikeList& list);
    /** Returns at most maxReported strikes: those with the fewest reports so far first, among equals the newest. */
    [[nodiscard]] StrikeList report();

    [[nodiscard]] Verdict verdict(std::uint64_t fingerprint) const;
    /** Number of strikes of the fingerprint that count, that is, are neither cleared nor expired. */
    [[nodiscard]] std::size_t strikeCount(std::uint64_t fingerprint) const;
    /** Whether the fingerprint has a strike that counts, on any incarnation of the target. */
    [[nodiscard]] bool hasStrikeOn(std::uint64_t fingerprint, const base::TargetId& target) const;
    /** Time of the newest strike of the fingerprint that counts. */
    [[nodiscard]] std::optional<base::SteadyTime> lastStrike(std::uint64_t fingerprint) const;
    [[nodiscard]] std::vector<std::uint64_t> blockedFingerprints() const;
    /** Fingerprints with strikes that count. */
    [[nodiscard]] std::vector<std::uint64_t> struckFingerprints() const;
    /** Whether the fingerprint was blocked at that time by strikes that count. */
    [[nodiscard]] bool wasBlocked(std::uint64_t fingerprint, base::SteadyTime at) const;
    /** Number of trials of the fingerprint that ended with a crash after that time, cleared strikes included. */
    [[nodiscard]] std::size_t failedTrials(
        std::uint64_t fingerprint, base::SteadyTime since = base::SteadyTime::min()) const;
    /** Time of the crash that blocked the fingerprint first, cleared strikes included; nullopt if none has. */
    [[nodiscard]] std::optional<base::SteadyTime> firstBlocked(std::uint64_t fingerprint) const;
    /** Targets on which the fingerprint has a strike that counts. */
    [[nodiscard]] std::vector<base::TargetId> struckTargets(std::uint64_t fingerprint) const;

    /** Number of crashes of which the fingerprint has a strike, whether they count or not. */
    [[nodiscard]] std::size_t knownCrashes(std::uint64_t fingerprint) const;
    /** The strike as it can be sent now; nullopt if it is unknown or expires soon. */
    [[nodiscard]] std::optional<StrikeReport> find(const Strike& strike) const;
    [[nodiscard]] StrikeList reportsOf(std::uint64_t fingerprint) const;
    /** Strikes of the fingerprints with at least this many known crashes, those with the most crashes first. */
    [[nodiscard]] StrikeList reportsWith(std::size_t crashes, std::size_t maxReports) const;
    /** Hash of the strikes that reportsWith would return without a limit; equal if they are. */
    [[nodiscard]] std::uint64_t digest(std::size_t crashes) const;
    /** Changes whenever a strike is added, cleared or removed. */
    [[nodiscard]] std::uint64_t version() const noexcept { return this->changes; }
    [[nodiscard]] std::size_t size() const noexcept { return this->total; }
    /** Strikes dropped because the table was full. */
    [[nodiscard]] std::uint64_t evictions() const noexcept { return this->evicted; }

private:
    struct Entry {
        base::TargetId target;
        base::Incarnation incarnation {};
        std::uint64_t crash = 0;
        base::SteadyTime at;
        bool cleared = false;
        bool trial = false;
        std::uint32_t reports = 0;
    };
    using Entries = std::vector<Entry>;

    [[nodiscard]] bool isExpired(const Entry& entry) const noexcept;
    /** Whether the strike counts, that is, is neither cleared nor expired. */
    [[nodiscard]] bool isActive(const Entry& entry) const noexcept;
    [[nodiscard]] bool isRemovable(const Entry& entry) const noexcept;
    [[nodiscard]] bool isSendable(const Entry& entry) const noexcept;
    /** Times of the crashes to which the strikes belong. */
    [[nodiscard]] std::vector<base::SteadyTime> crashTimes(std::vector<const Entry*> strikes) const;
    [[nodiscard]] const Entries* findEntries(std::uint64_t fingerprint) const;
    [[nodiscard]] StrikeReport reportOf(std::uint64_t fingerprint, const Entry& entry) const;
    /** True if the strike was added or cleared. */
    bool add(const StrikeReport& report, base::SteadyTime at);
    void purge();
    void evict();

    const base::Clock& clock;
    StrikeOptions options;
    std::unordered_map<std::uint64_t, Entries> byFingerprint;
    std::size_t total = 0;
    std::uint64_t evicted = 0;
    std::uint64_t recordedCrashes = 0;
    std::uint64_t changes = 0;
    base::SteadyTime nextPurge;
};

} // namespace chivewinch::suspect
