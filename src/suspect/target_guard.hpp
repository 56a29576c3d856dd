#pragma once

#include "base/reason.hpp"
#include "suspect/strike_table.hpp"

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace chivewinch::suspect {

/** Settings of a guard; the switches turn one rule off. */
struct TargetGuardOptions {
    bool isolate = true;
    /** A fingerprint does not run again on a target that crashed under it. Off for a model with a single target. */
    bool refuseStruckHere = true;

    bool operator==(const TargetGuardOptions&) const = default;
};

/** Decides at an agent which fingerprints may run on its target now, and strikes those in flight at a crash. */
class TargetGuard {
public:
    TargetGuard(StrikeTable& table, base::TargetId target, TargetGuardOptions options = {});

    /** None, SuspectRequest (blocked in the zone) or SuspectBusy (not here, or not now). */
    [[nodiscard]] base::RefusalReason check(std::uint64_t fingerprint) const;
    void started(std::uint64_t fingerprint);
    /** A completed run clears the fingerprint; a cancelled or failed one does not. */
    void finished(std::uint64_t fingerprint, bool completed);
    /** The target crashed: strikes every fingerprint in flight and forgets them. */
    void crashed(base::Incarnation incarnation);
    [[nodiscard]] std::size_t inFlight() const noexcept { return this->running.size(); }

private:
    [[nodiscard]] bool otherSuspectRuns(std::uint64_t fingerprint) const;

    StrikeTable& table;
    base::TargetId target;
    TargetGuardOptions options;
    std::unordered_map<std::uint64_t, std::uint32_t> running; ///< Runs in flight by fingerprint.
};

} // namespace chivewinch::suspect
