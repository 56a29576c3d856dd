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

/** Strikes and the guard that uses them. */
struct Suspects {
    explicit Suspects(const base::Clock& clock);

    suspect::StrikeTable strikes;
    suspect::EntryGuard guard;
    LostAgents lostAgents;
};

/** Limits of teams and load shedding. */
struct Limits {
    Limits() = default;

    limit::TeamLimiter teams;
    limit::LoadShedder shedder;
};

/** Choice of targets and the requests that wait for one. */
struct Routing {
    Routing(const EntryOptions& options, base::RandomSource& random);

    routing::Router router;
    routing::PoolQueues waiting;
};

/**
 * State that the request coroutines share. Each table has a mutex of its own. A thread that holds several takes them
 * in the order of their declaration.
 */
struct Tables {
    Tables(const EntryOptions& options, const base::Clock& clock);

    base::Guarded<membership::TargetTable> membership;
    base::Guarded<Suspects> suspects;
    base::Guarded<Limits> limits;
    base::Guarded<Routing> routing;

    /** Bundle in force; null before the first one. */
    [[nodiscard]] std::shared_ptr<const bundle::Snapshot> snapshot();
    /** Puts a bundle in force for routing and limits. */
    void adopt(std::shared_ptr<const bundle::Snapshot> next);
    /** Takes over liveness into routing if it has changed. */
    void refreshTargets();

private:
    // std::atomic<std::shared_ptr> of GCC 12 unlocks a load without release, a data race with the next store.
    base::Guarded<std::shared_ptr<const bundle::Snapshot>> inForce;
    base::ZoneId zone;
    base::SeededRandom random;
    std::atomic<std::uint64_t> routedVersion { 0 };
};

} // namespace chivewinch::entry
