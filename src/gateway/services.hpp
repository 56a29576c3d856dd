#pragma once

#include "base/clock.hpp"
#include "base/random.hpp"
#include "gateway/crash_guard.hpp"
#include "gateway/dispatcher.hpp"
#include "gateway/options.hpp"
#include "gateway/request_metrics.hpp"
#include "gateway/run_times.hpp"
#include "gateway/snapshot.hpp"
#include "gateway/target_clients.hpp"

#include <optional>

namespace chivewinch::gateway {

/** Objects that all requests of one process share. Used on one executor only. */
struct Services {
    const GatewayOptions& options;
    const base::Clock& clock;
    base::RandomSource& random;
    SnapshotHolder& snapshots;
    Dispatcher& dispatcher;
    TargetClients& clients;
    CrashGuard& crashes;
    RequestMetrics& metrics;
    RunTimes& runTimes;
    /** Time by which every request must be answered; nullopt if no drain has begun. */
    const std::optional<base::SteadyTime>& drainEnd;
};

} // namespace chivewinch::gateway
