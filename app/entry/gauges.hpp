#pragma once

#include "metrics/registry.hpp"

namespace chivewinch::entry {

/** Gauges of an entry, updated once a second. */
struct Gauges {
    explicit Gauges(metrics::Registry& registry);

    prometheus::Gauge& bundleVersion;
    prometheus::Gauge& liveTargets;
    prometheus::Gauge& livePeers;
    prometheus::Gauge& waitingRequests;
    prometheus::Gauge& openRequests;
    prometheus::Gauge& usageBufferedBytes;
    prometheus::Gauge& unsettledClaimBytes;
    prometheus::Gauge& rolloutLease;
};

} // namespace chivewinch::entry
