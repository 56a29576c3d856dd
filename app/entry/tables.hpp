#pragma once

#include "base/guarded.hpp"
#include "base/random.hpp"
#include "bundle/snapshot.hpp"
#include "entry/lost_agents.hpp"
#include "entry/options.hpp"
#include "limit/load_shedder.hpp"
#include "limit/team_limiter.hpp"
#include "membership/target_table.hpp"
#include "routing/pool_queues.hpp"
#include "routing/router.hpp"
#include "suspect/entry_guard.hpp"
#include "suspect/strike_table.hpp"

#include <atomic>
#include <memory>
#include <string>

namespace chivewinch::entry {

/** Strikes, the guard that uses them, and losses that may become strikes. */
struct Suspects {
    explicit Suspects(const base::Clock& clock);

    suspect::StrikeTable strikes;
    suspect::EntryGuard guard;
    LostAgents lostAgents;
};

/** Team limits and load shedding. */
struct Limits {
    Limits() = default;

    limit::TeamLimiter teams;
    limit::LoadShedder shedder;
};

/** The router and the queues of requests that wait for a target. */
struct Routing {
    Routing(const EntryOptions& options, base::RandomSource& random);

    routing::Router router;
    routing::PoolQueues waiting;
};

/**
 * State that the request coroutines share. Each table has its own mutex. A thread that locks several of them locks
 * them in the order of their declaration.
 */
struct Tables {
    Tables(const EntryOptions& options, const base::Clock& clock);

    base::Guarded<membership::TargetTable> membership;
    base::Guarded<Suspects> suspects;
    base::Guarded<Limits> limits;
    base::Guarded<Routing> routing;

    /** Bundle in force; null before the first one. */
    [[nodiscard]] std::shared_ptr<const bundle::Snapshot> snapshot();
    /** Puts a bundle in force and updates routing and limits. */
    void applyBundle(std::shared_ptr<const bundle::Snapshot> next);
    /** Updates the targets of the router if the membership table has changed. */
    void refreshTargets();

private:
    // Not std::atomic<std::shared_ptr>: in GCC 12 its load unlocks without release, which is a data race with the next
    // store.
    base::Guarded<std::shared_ptr<const bundle::Snapshot>> inForce;
    base::ZoneId zone;
    base::SeededRandom random;
    std::atomic<std::uint64_t> routedVersion { 0 };
};

} // namespace chivewinch::entry
