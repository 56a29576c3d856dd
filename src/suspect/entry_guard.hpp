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

/** Settings of a guard; the switches turn one rule off. */
struct EntryGuardOptions {
    /** A fingerprint with a strike starts only after this time, in which strikes reach the whole zone. */
    std::chrono::nanoseconds hold { std::chrono::milliseconds { 200 } };
    /** Equal fingerprints of one entry run on one target at a time. */
    bool oneTarget = true;
    /** A fingerprint runs only on as many targets as strikes are left to it, the first in rendezvous order. */
    bool usePair = true;
    /** Off: the candidates are taken from the usable targets only. */
    bool stableCandidates = true;

    bool operator==(const EntryGuardOptions&) const = default;
};

/** Where a fingerprint may run now. */
struct Placement {
    base::RefusalReason refusal = base::RefusalReason::None; ///< SuspectRequest, SuspectBusy or None.
    std::vector<base::TargetId> targets; ///< Not empty if there is no refusal.
    std::chrono::nanoseconds retryAfter {}; ///< For SuspectBusy; 0 if unknown.

    bool operator==(const Placement&) const = default;
};

/** The two targets with the highest rendezvous hash; equal in every process that has the same targets. */
[[nodiscard]] std::vector<base::TargetId> candidatePair(
    std::uint64_t fingerprint, std::span<const base::TargetId> targets);

/** Limits at an entry the targets that one fingerprint can crash before its strikes are known in the zone. */
class EntryGuard {
public:
    EntryGuard(const base::Clock& clock, StrikeTable& table, EntryGuardOptions options = {});

    /**
     * Choices for one attempt. The candidates are taken from all targets of the zone that the bundle names, so that
     * they do not move when a target is down. A fingerprint without a strike whose candidates are all unusable may
     * run elsewhere; one with a strike waits.
     * @param targets All targets of the zone.
     * @param usable Those of them that may receive work now.
     */
    [[nodiscard]] Placement place(std::uint64_t fingerprint, std::span<const base::TargetId> targets,
        std::span<const base::TargetId> usable) const;
    void started(std::uint64_t fingerprint, const base::TargetId& target);
    /** Ends a run; its crash, if any, is recorded in the strike table before. */
    void finished(std::uint64_t fingerprint);

private:
    struct Running {
        base::TargetId target;
        std::uint32_t runs = 0;
    };

    [[nodiscard]] std::chrono::nanoseconds holdLeft(std::uint64_t fingerprint) const;
    [[nodiscard]] std::vector<base::TargetId> candidates(
        std::uint64_t fingerprint, std::span<const base::TargetId> targets, std::size_t strikes) const;
    [[nodiscard]] std::vector<base::TargetId> allowed(std::uint64_t fingerprint,
        std::span<const base::TargetId> targets, std::span<const base::TargetId> usable) const;

    const base::Clock& clock;
    StrikeTable& table;
    EntryGuardOptions options;
    std::unordered_map<std::uint64_t, Running> running;
};

} // namespace chivewinch::suspect
