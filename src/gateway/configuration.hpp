#pragma once

#include "base/id.hpp"
#include "quota/cold_targets.hpp"

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace chivewinch::gateway {

/** Whether a request may be sent again after a failure. */
enum class RouteKind : std::uint8_t {
    Repeatable,
    NotRepeatable,
    Stream, ///< Server-sent events; repeatable only if the route is resumable.
};

/** Pool of a route and its share of the route's requests. */
struct WeightedPool {
    std::string pool;
    std::uint32_t weight = 1;

    auto operator<=>(const WeightedPool&) const = default;
};

struct Route {
    std::string name;
    std::string host;
    std::string pathPrefix; ///< Begins and ends with a slash.
    RouteKind kind = RouteKind::NotRepeatable;
    std::vector<WeightedPool> pools;
    std::chrono::milliseconds timeout { 30'000 }; ///< Maximum time for which a caller waits.
    std::chrono::milliseconds latencyObjective { 1'000 }; ///< For a stream, the time to its first event.
    /** Maximum time between two events of a stream that meets its objective. */
    std::chrono::milliseconds pauseObjective { 0 };
    std::uint32_t priority = 0; ///< 0 is the most important.
    std::uint32_t maxAttempts = 1; ///< Maximum number of targets to which one request is sent.
    bool open = false; ///< Requests need no key.
    bool resumable = false; ///< Another target can continue a stream after the last delivered event.

    [[nodiscard]] bool repeatable() const noexcept
    {
        return this->kind == RouteKind::Repeatable || (this->kind == RouteKind::Stream && this->resumable);
    }

    auto operator<=>(const Route&) const = default;
};

struct Team {
    std::string name;
    std::vector<std::string> keys;
    std::optional<std::uint32_t> priority; ///< Overrides the priority of the route; 0 is the most important.

    auto operator<=>(const Team&) const = default;
};

/** Size and time limits for requests of callers. */
struct CallerLimits {
    std::uint32_t maxHeaderBytes = 16U << 10;
    std::uint64_t maxBodyBytes = 4U << 20;
    std::chrono::milliseconds headerTimeout { 3'000 };
    std::chrono::milliseconds idleTimeout { 15'000 };

    auto operator<=>(const CallerLimits&) const = default;
};

/** One version of the operator's configuration. Version numbers only increase. */
struct Configuration {
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<Team> teams;
    bool hasTeams = false; ///< False if no request needs a key.
    CallerLimits limits;
    /** Connections that a target accepts from all processes together, by pool; a pool without an entry has no limit. */
    std::map<std::string, std::uint32_t> targetConnections;
    /** What cold targets tolerate, by pool; the targets of a pool without an entry have no limit while they are cold.
     */
    std::map<std::string, quota::ColdRate> coldRates;

    auto operator<=>(const Configuration&) const = default;
};

} // namespace chivewinch::gateway
