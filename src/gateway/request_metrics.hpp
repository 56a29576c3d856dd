#pragma once

#include "metrics/registry.hpp"

namespace chivewinch::gateway {

/** Counters and histograms of requests. */
struct RequestMetrics {
    explicit RequestMetrics(metrics::Registry& registry)
        : registry { registry }
        , done { registry.counter("chivewinch_requests_done_total", "Requests answered completely by a target") }
        , failed { registry.counter("chivewinch_requests_failed_total", "Requests whose outcome is not known") }
        , callersGone { registry.counter("chivewinch_callers_gone_total", "Requests whose caller left early") }
        , crashes { registry.counter(
              "chivewinch_attempt_crashes_total", "Attempts after which their target counts as crashed") }
        , firstEvent { registry.seconds("chivewinch_first_event_seconds", "Time to the first event of a stream") }
        , duration { registry.seconds("chivewinch_request_seconds", "Time from a request to the end of its answer") }
    {
    }

    metrics::Registry& registry;
    prometheus::Counter& done;
    prometheus::Counter& failed;
    prometheus::Counter& callersGone;
    prometheus::Counter& crashes;
    prometheus::Histogram& firstEvent;
    prometheus::Histogram& duration;
};

} // namespace chivewinch::gateway
