#pragma once

#include "base/id.hpp"

#include <compare>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace chivewinch::routing {

/** Targets that serve one model or one plain service. */
struct PoolSpec {
    std::string name;
    std::vector<base::TargetId> targets;
    /** False if all targets are in other zones: spill-over is then the normal case and not limited to a share. */
    bool hasLocalTargets = true;

    auto operator<=>(const PoolSpec&) const = default;
};

/** Load that a target reports for itself, caused by all entries together. */
struct LoadReport {
    std::uint32_t inFlight = 0;
    std::uint32_t queued = 0;
    std::uint32_t capacity = 0; ///< Maximum number of concurrent requests; 0 if unknown.

    auto operator<=>(const LoadReport&) const = default;
};

/** Attempt for which a target is to be chosen. */
struct RouteRequest {
    std::string_view pool;
    std::uint64_t prefixHash = 0; ///< Hash of the prompt prefix; 0 for no affinity.
    std::uint32_t attempt = 1; ///< Number of the attempt within its request, starting at 1.
    std::span<const base::TargetId> excluded {}; ///< Targets that must not get this attempt.
};

enum class ChoiceKind : std::uint8_t {
    Affinity, ///< One of the targets assigned to the prefix by rendezvous hashing.
    LeastLoaded, ///< The less loaded of two random targets.
    Spilled, ///< A target in another availability zone.
    LastResort, ///< An ejected or suspect target, because no other target is available.
    Count
};

/** Target chosen for an attempt. */
struct Choice {
    base::TargetId target;
    base::Incarnation incarnation {};
    ChoiceKind kind = ChoiceKind::LeastLoaded;

    auto operator<=>(const Choice&) const = default;
};

/** Result of an attempt, as evidence of the health of its target. */
enum class Result : std::uint8_t {
    Success,
    Failure, ///< Connection lost, timeout or error of the target.
    Refused, ///< The target answered without running the request.
    Cancelled, ///< Cancelled by the caller; not evidence of the target's health.
    Count
};

[[nodiscard]] std::string_view toString(ChoiceKind kind) noexcept;
[[nodiscard]] std::string_view toString(Result result) noexcept;

} // namespace chivewinch::routing
