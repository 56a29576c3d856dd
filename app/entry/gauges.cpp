#include "entry/gauges.hpp"

namespace chivewinch::entry {

Gauges::Gauges(metrics::Registry& registry)
    : bundleVersion { registry.gauge("chivewinch_bundle_version", "Version of the bundle in force") }
    , liveTargets { registry.gauge("chivewinch_targets_live", "Targets that may get new work") }
    , livePeers { registry.gauge("chivewinch_peers_live", "Other entries that are live") }
    , waitingRequests { registry.gauge("chivewinch_requests_waiting", "Requests that wait for a target") }
    , openRequests { registry.gauge("chivewinch_requests_open", "Requests of callers in progress") }
    , usageBufferedBytes { registry.gauge("chivewinch_usage_buffered_bytes", "Usage records not yet in the store") }
    , unsettledClaimBytes { registry.gauge(
          "chivewinch_claims_unsettled_bytes", "Answers of claims not yet in the store") }
    , rolloutLease { registry.gauge("chivewinch_rollout_lease_held", "1 while this entry holds the rollout lease") }
{
}

} // namespace chivewinch::entry
