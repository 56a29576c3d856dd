#pragma once

#include "base/clock.hpp"
#include "base/reason.hpp"
#include "suspect/strike_table.hpp"

#include <chrono>
#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

namespace chivewinch::suspect {

/** Settings of an EntryGuard; each switch disables one rule. */
struct EntryGuardOptions {
    /** Time after a strike in which its fingerprint is refused, so that the strike can reach the whole zone. */
    std::chrono::nanoseconds hold { std::chrono::milliseconds { 200 } };
    /** Concurrent attempts of this entry with the same fingerprint run on a single target. */
    bool singleTarget = true;
    /** A fingerprint runs only on its first targets in rendezvous order: two, or one if the next strike blocks it. */
    bool useCandidatePair = true;
    /** Chooses the candidates from all targets of the zone; if off, from the usable ones only. */
    bool stableCandidates = true;

    bool operator==(const EntryGuardOptions&) const = default;
};

/** Targets on which a fingerprint may run now, or the reason of a refusal. */
struct Placement {
    base::RefusalReason refusal = base::RefusalReason::None; ///< SuspectRequest, SuspectBusy or None.
    std::vector<base::TargetId> targets; ///< Not empty if there is no refusal.
    std::chrono::nanoseconds retryAfter {}; ///< For SuspectBusy; 0 if unknown.

    bool operator==(const Placement&) const = default;
};

/** The two targets with the highest rendezvous hash; equal in every process that has the same targets. */
[[nodiscard]] std::vector<base::TargetId> candidatePair(
    std::uint64_t fingerprint, std::span<const base::TargetId> targets);

/** Limits, at an entry, how many targets one fingerprint can crash before its strikes are known in the zone. */
class EntryGuard {
public:
    EntryGuard(const base::Clock& clock, StrikeTable& table, EntryGuardOptions options = {});

    /**
     * Chooses the targets for one attempt. The candidates come from all targets of the zone in the bundle, so that they
     * do not change while a target is down. If no candidate is usable, a fingerprint without a strike may run on other
     * targets; a fingerprint with a strike has to wait.
     * @param targets All targets of the zone.
     * @param usable The targets of the zone that may get work now.
     */
    [[nodiscard]] Placement place(std::uint64_t fingerprint, std::span<const base::TargetId> targets,
        std::span<const base::TargetId> usable) const;
    void started(std::uint64_t fingerprint, const base::TargetId& target);
    /** Ends a run. If the target crashed, record the crash in the strike table before this call. */
    void finished(std::uint64_t fingerprint);

private:
    struct Running {
        base::TargetId target;
        std::uint32_t runs = 0;
    };

    [[nodiscard]] std::chrono::nanoseconds remainingHold(std::uint64_t fingerprint) const;
    [[nodiscard]] std::vector<base::TargetId> candidates(
        std::uint64_t fingerprint, std::span<const base::TargetId> targets, std::size_t strikeCount) const;
    [[nodiscard]] std::vector<base::TargetId> allowed(std::uint64_t fingerprint,
        std::span<const base::TargetId> targets, std::span<const base::TargetId> usable) const;

    const base::Clock& clock;
    StrikeTable& table;
    EntryGuardOptions options;
    std::unordered_map<std::uint64_t, Running> running;
};

} // namespace chivewinch::suspect
