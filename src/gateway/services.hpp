#pragma once

#include "base/clock.hpp"
#include "base/random.hpp"
#include "gateway/crash_guard.hpp"
#include "gateway/dispatcher.hpp"
#include "gateway/options.hpp"
#include "gateway/request_metrics.hpp"
#include "gateway/snapshot.hpp"
#include "gateway/target_clients.hpp"

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
};

} // namespace chivewinch::gateway
