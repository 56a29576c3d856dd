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

    /** Adds a strike for each fingerprint in flight; several reports of one crash count once. */
    void recordCrash(
        const base::TargetId& target, base::Incarnation incarnation, std::span<const std::uint64_t> inFlight);
    /** Clears the strikes of a fingerprint that completed a run. */
    void recordCompletion(std::uint64_t fingerprint);
    void merge(const StrikeList& list);
    /** Returns at most maxReported strikes: those with the fewest reports so far first, among equals the newest. */
    [[nodiscard]] StrikeList report();

    [[nodiscard]] Verdict verdict(std::uint64_t fingerprint) const;
    /** Number of strikes of the fingerprint that count, that is, are neither cleared nor expired. */
    [[nodiscard]] std::size_t strikeCount(std::uint64_t fingerprint) const;
    /** Whether the fingerprint has a strike that counts, on any incarnation of the target. */
    [[nodiscard]] bool hasStrikeOn(std::uint64_t fingerprint, const base::TargetId& target) const;
    /** Time of the newest strike of the fingerprint that counts. */
    [[nodiscard]] std::optional<base::SteadyTime> lastStrike(std::uint64_t fingerprint) const;
    [[nodiscard]] std::size_t size() const noexcept { return this->total; }
    /** Strikes dropped because the table was full. */
    [[nodiscard]] std::uint64_t evictions() const noexcept { return this->evicted; }

private:
    struct Entry {
        base::TargetId target;
        base::Incarnation incarnation {};
        base::SteadyTime at;
        bool cleared = false;
        std::uint32_t reports = 0;
    };
    using Entries = std::vector<Entry>;

    [[nodiscard]] bool isActive(const Entry& entry) const noexcept;
    [[nodiscard]] bool isRemovable(const Entry& entry) const noexcept;
    [[nodiscard]] bool isSendable(const Entry& entry) const noexcept;
    void add(const Strike& strike, base::SteadyTime at, bool cleared);
    void purge();
    void evict();

    const base::Clock& clock;
    StrikeOptions options;
    std::unordered_map<std::uint64_t, Entries> byFingerprint;
    std::size_t total = 0;
    std::uint64_t evicted = 0;
    base::SteadyTime nextPurge;
};

} // namespace chivewinch::suspect
