#pragma once

#include "gateway/configuration.hpp"
#include "gateway/dispatcher.hpp"
#include "gateway/header_names.hpp"
#include "membership/listed_targets.hpp"
#include "relay/relay.hpp"
#include "settings/value_type.hpp"
#include "suspect/strike_table.hpp"
#include "watch/row_watcher.hpp"

#include <chrono>
#include <cstddef>
#include <optional>

namespace chivewinch::gateway {

/** How long callers wait for the next event of a stream before they leave; the platform states the figures. */
struct StreamPatience {
    std::chrono::milliseconds minimum { 2'000 };
    double objectives = 4; ///< Times the latency objective of the route, if that is longer.
    double pauses = 8; ///< Times the pause objective of the route, if that is longer.
    /** Time for the first event of another target before the caller leaves. */
    std::chrono::milliseconds margin { 200 };

    /** A stream of the route without an event for this long is resumed elsewhere. */
    [[nodiscard]] std::chrono::milliseconds silenceLimit(const Route& route) const noexcept;
};

/** Time limits of requests and attempts. */
struct AttemptOptions {
    /** A target on the same network accepts a connection within a millisecond; it is tried elsewhere after this. */
    std::chrono::milliseconds connectTimeout { 300 };
    StreamPatience patience;
    /** Share of the time left that an attempt may take if the request can be sent to another target afterwards. */
    double firstAttemptShare = 0.55;
    /** Wait beyond the time limit for the target's own answer that its time is over. */
    std::chrono::milliseconds deadlineGrace { 80 };
    /** Longest wait for a target, as a share of the route's latency objective. */
    double queueShare = 1.0;
    std::chrono::milliseconds retryAfterWithoutTarget { 500 };
    std::chrono::milliseconds unacknowledgedTimeout { 2'000 };
    std::size_t maxIdleConnections = 4; ///< To each target.
    /** Longest body of an answer, which is kept whole until its end; a broken target can send one without end. */
    std::size_t maxAnswerBytes = std::size_t { 8 } << 20;
    /** Longest event of a stream. */
    std::size_t maxEventBytes = std::size_t { 1 } << 20;
};

/** How soon the deployment wants changes to take effect. */
struct ChangeBounds {
    std::chrono::milliseconds leaving { 2'000 }; ///< Nothing new reaches a target that leaves.
    std::chrono::milliseconds configuration { 2'000 }; ///< A new configuration is in force.
    std::chrono::milliseconds contact { 3'000 }; ///< After a fault of its connections a process is excused this long.
};

/** One process of each zone reads the store for the others, within the bounds. */
[[nodiscard]] relay::RelayOptions zoneRelay(const std::string& instance, const base::ZoneId& zone,
    const settings::Endpoint& listen, const ChangeBounds& bounds);

/** Watches that keep the bounds with few calls to the store. */
[[nodiscard]] watch::WatchOptions configurationWatch(const ChangeBounds& bounds);
[[nodiscard]] watch::WatchOptions targetsWatch(const ChangeBounds& bounds);

/** Shutdown after a request to stop. */
struct DrainOptions {
    /** Part of the grace period that is left for the end of the process after the last cut. */
    static constexpr std::chrono::milliseconds margin { 600 };

    /** New connections are accepted for this long: the balancer before the process notices a missing readiness late. */
    std::chrono::milliseconds acceptFor { 2'600 };
    std::chrono::milliseconds total { 7'400 }; ///< Everything is cut after this time.
};

/** Limit of retries that all processes of the deployment share. */
struct RetryLimit {
    double share = 0.2; ///< Of the requests of each window.
    double slack = 0; ///< Retries of all processes on top of the share.
    std::chrono::milliseconds window { 10'000 };
};

/** Place of a process among all that share a limit; with no count, it is not known. */
struct SharePlace {
    std::size_t index = 0;
    std::size_t count = 0;

    auto operator<=>(const SharePlace&) const = default;
};

/** Whole retries of the slack that the process at this place may use; those of all places are within it. */
[[nodiscard]] std::uint32_t retryConstant(const RetryLimit& limit, const SharePlace& place) noexcept;

/** Choice among targets that are reached directly: all at the same cost, and few enough to compare them all. */
[[nodiscard]] routing::RouterOptions directRouter(
    const std::string& instance, const base::ZoneId& zone, const RetryLimit& retries);
/** Blocking of requests that crash targets which are reached directly. */
[[nodiscard]] suspect::StrikeOptions directStrikes() noexcept;

struct GatewayOptions {
    std::string instance; ///< Identity of this process.
    base::ZoneId zone;
    settings::Endpoint listen; ///< For callers.
    settings::Endpoint readiness; ///< For the balancer before this process.
    std::optional<settings::Endpoint> metrics;
    std::string readinessPath = "/readyz";
    std::string metricsPath = "/metrics";
    std::size_t maxConnections = 2'000;
    HeaderNames headers;
    AttemptOptions attempts;
    DrainOptions drain;
    DispatcherOptions dispatcher;
    membership::ListedTargetsOptions targets;
    suspect::StrikeOptions strikes = directStrikes();
    RetryLimit retries; ///< The slack is divided between the processes that the relay knows.
    std::optional<relay::RelayOptions> relay; ///< nullopt: this process reads the store itself.
};

} // namespace chivewinch::gateway
