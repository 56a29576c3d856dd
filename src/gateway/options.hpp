#pragma once

#include "gateway/configuration.hpp"
#include "gateway/dispatcher.hpp"
#include "gateway/header_names.hpp"
#include "http/buffer_budget.hpp"
#include "membership/listed_targets.hpp"
#include "relay/relay.hpp"
#include "settings/value_type.hpp"
#include "suspect/strike_table.hpp"
#include "watch/row_watcher.hpp"

#include <chrono>
#include <cstddef>
#include <functional>
#include <optional>
#include <set>
#include <string>

namespace chivewinch::gateway {

/** Time for which callers wait for the next event of a stream before they disconnect; the platform sets the values. */
struct StreamTimeout {
    std::chrono::milliseconds minimum { 2'000 };
    double latencyFactor = 4; ///< Multiple of the route's latency objective; applies if it is longer than the minimum.
    double pauseFactor = 8; ///< Multiple of the route's pause objective; applies if it is longer than the minimum.
    /** Time reserved for the first event of another target before the caller disconnects. */
    std::chrono::milliseconds margin { 200 };

    /** Time without an event after which a stream of the route is resumed at another target. */
    [[nodiscard]] std::chrono::milliseconds stallTimeout(const Route& route) const noexcept;
};

/** Time limits of requests and attempts. */
struct AttemptOptions {
    /** A target on the same network accepts within a millisecond; after this time, another target is tried. */
    std::chrono::milliseconds connectTimeout { 300 };
    StreamTimeout streamTimeout;
    /** Share of the remaining time that an attempt may use if the request can still be sent to another target. */
    double firstAttemptShare = 0.55;
    /** Additional wait after the deadline for the target's own timeout answer. */
    std::chrono::milliseconds deadlineGrace { 80 };
    /** Maximum wait for a target, as a share of the route's latency objective. */
    double queueShare = 1.0;
    std::chrono::milliseconds retryAfterWithoutTarget { 500 };
    std::chrono::milliseconds unacknowledgedTimeout { 2'000 };
    std::size_t maxIdleConnections = 4; ///< Per target.
    /** Longest time for the check whether the sender of an answer without a length still runs. */
    std::chrono::milliseconds senderCheckTimeout { 1'000 };
    /** Off if the targets state their start time; see http::Client::keepWitness. */
    bool keepWitnesses = true;
    /** Maximum size of an answer that is buffered until it is complete; a faulty target can send an endless body. */
    std::size_t maxAnswerBytes = std::size_t { 8 } << 20;
    /** Maximum size of one event of a stream. */
    std::size_t maxEventBytes = std::size_t { 1 } << 20;
};

/** Times within which changes must take effect, set by the deployment. */
struct ChangeBounds {
    std::chrono::milliseconds leaving { 2'000 }; ///< Until a leaving target gets no new requests.
    std::chrono::milliseconds configuration { 2'000 }; ///< Until a new configuration or an evacuation is in force.
    std::chrono::milliseconds contact { 3'000 }; ///< Time that a process has to recover from a connection fault.
};

/** Options of a relay with which one process per zone reads the store for the others, within the bounds. */
[[nodiscard]] relay::RelayOptions zoneRelayOptions(const std::string& instance, const base::ZoneId& zone,
    const settings::Endpoint& listen, const ChangeBounds& bounds);

/** Watch options that meet the bounds with few calls to the store. */
[[nodiscard]] watch::WatchOptions configurationWatch(const ChangeBounds& bounds);
[[nodiscard]] watch::WatchOptions targetsWatch(const ChangeBounds& bounds);

/** Options of the target list with which a target that has left gets no requests from an entry that is in contact. */
[[nodiscard]] membership::ListedTargetsOptions listedTargets(const ChangeBounds& bounds);

/** Time that all entries have to learn of the crash that blocks a request. */
[[nodiscard]] std::chrono::milliseconds strikeLearnTime(const ChangeBounds& bounds);

/** Timing of a shutdown. */
struct DrainOptions {
    /** Part of the grace period that remains for the process to exit after open requests have been aborted. */
    static constexpr std::chrono::milliseconds margin { 600 };

    /** Time during which new connections are still accepted: the upstream balancer detects lost readiness late. */
    std::chrono::milliseconds acceptFor { 2'600 };
    std::chrono::milliseconds total { 7'400 }; ///< The process ends after this time at the latest.
    /** Part of the total that remains to send the answers of requests that have not finished. */
    std::chrono::milliseconds answerMargin { 300 };
    /** Retry-After of requests that are refused because of the shutdown. Another entry can serve them at once. */
    std::chrono::milliseconds retryAfter { 100 };
};

/** Limit on retries that all processes of the deployment share. */
struct RetryLimit {
    double share = 0.2; ///< Retries as a share of the requests in each window.
    double slack = 0; ///< Retries of all processes together in each window, in addition to the share.
    std::chrono::milliseconds window { 10'000 };
};

/** Position of a process among all processes that share a limit; unknown if the count is 0. */
struct SharePosition {
    std::size_t index = 0;
    std::size_t count = 0;

    auto operator<=>(const SharePosition&) const = default;
};

/** Retries of the slack that the process at this position may use; the sum over all positions is within the slack. */
[[nodiscard]] std::uint32_t retryConstant(const RetryLimit& limit, const SharePosition& position) noexcept;

/** Router options for directly reached targets: all have the same cost, and are few enough to compare them all. */
[[nodiscard]] routing::RouterOptions directRouterOptions(
    const std::string& instance, const base::ZoneId& zone, const RetryLimit& retries);
/** Options for blocking requests that crash directly reached targets. */
[[nodiscard]] suspect::StrikeOptions directStrikeOptions() noexcept;

/** How targets state which process they are. */
struct TargetIdentity {
    std::string path = "/"; ///< Read from a target.
    /** Start time of the target from the body of its answer; nullopt if it is not stated. Empty if none states it. */
    std::function<std::optional<base::Incarnation>(const std::string& body)> incarnation;
};

struct GatewayOptions {
    std::string instance; ///< ID of this process.
    base::ZoneId zone;
    std::set<base::ZoneId> knownZones; ///< Zones of the deployment; empty if they are not known.
    settings::Endpoint listen; ///< For callers.
    settings::Endpoint readiness; ///< Endpoint for the upstream balancer.
    std::optional<settings::Endpoint> metrics;
    std::string readinessPath = "/readyz";
    std::string metricsPath = "/metrics";
    std::size_t maxConnections = 2'000;
    HeaderNames headers;
    TargetIdentity targetIdentity;
    AttemptOptions attempts;
    DrainOptions drain;
    DispatcherOptions dispatcher;
    membership::ListedTargetsOptions targets;
    suspect::StrikeOptions strikes = directStrikeOptions();
    std::chrono::milliseconds strikeLearnTime { 0 }; ///< See the function of this name.
    bool shareStrikes = true; ///< Off: each process counts the crashes that it has seen itself.
    RetryLimit retries; ///< The slack is divided among the processes that the relay knows.
    std::shared_ptr<http::BufferBudget> buffers; ///< For requests, answers and messages of this process.
    std::optional<relay::RelayOptions> relay; ///< If nullopt, this process reads the store itself.
};

} // namespace chivewinch::gateway
