#pragma once

#include "base/reason.hpp"
#include "suspect/strike_table.hpp"

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace chivewinch::suspect {

/** Settings of a TargetGuard; each switch disables one rule. */
struct TargetGuardOptions {
    bool isolate = true;
    /** A fingerprint does not run again on a target that crashed while running it. Off for a single-target model. */
    bool refuseRerunAfterCrash = true;

    bool operator==(const TargetGuardOptions&) const = default;
};

/**
 * Decides, at an agent, which fingerprints may run on its target now. After a crash of the target, adds a strike for
 * each fingerprint in flight.
 */
class TargetGuard {
public:
    TargetGuard(StrikeTable& table, base::TargetId target, TargetGuardOptions options = {});

    /** Returns None, SuspectRequest (blocked in the zone) or SuspectBusy (may not run on this target, or not now). */
    [[nodiscard]] base::RefusalReason check(std::uint64_t fingerprint) const;
    void started(std::uint64_t fingerprint);
    /** Ends a run. A completed run clears the strikes of the fingerprint; a cancelled or failed run does not. */
    void finished(std::uint64_t fingerprint, bool completed);
    /** Call after a crash of the target: adds a strike for each fingerprint in flight and ends their runs. */
    void crashed(base::Incarnation incarnation);
    [[nodiscard]] std::size_t fingerprintsInFlight() const noexcept { return this->running.size(); }

private:
    [[nodiscard]] bool runsOtherSuspect(std::uint64_t fingerprint) const;

    StrikeTable& table;
    base::TargetId target;
    TargetGuardOptions options;
    std::unordered_map<std::uint64_t, std::uint32_t> running; ///< Runs in flight by fingerprint.
};

} // namespace chivewinch::suspect
