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
    /** False if every target is placed in another zone: there is nothing to spill over from, and no share limit. */
    bool hasLocalTargets = true;

    auto operator<=>(const PoolSpec&) const = default;
};

/** Load that a target states about itself, over all entries. */
struct LoadReport {
    std::uint32_t inFlight = 0;
    std::uint32_t queued = 0;
    std::uint32_t capacity = 0; ///< Requests that run at once; 0 when unknown.

    auto operator<=>(const LoadReport&) const = default;
};

/** One attempt that needs a target. */
struct RouteRequest {
    std::string_view pool;
    std::uint64_t prefixHash = 0; ///< Hash of the prompt prefix; 0 for no affinity.
    std::uint32_t attempt = 1; ///< 1 for the first attempt of a request.
    std::span<const base::TargetId> excluded {}; ///< Targets that must not get this attempt.
};

enum class ChoiceKind : std::uint8_t {
    Affinity, ///< The prefix's own target.
    LeastLoaded, ///< The better one of two random targets.
    Spilled, ///< A target in another availability zone.
    LastResort, ///< An ejected or suspect target, because no other one is left.
    Count
};

/** Target for an attempt. */
struct Choice {
    base::TargetId target;
    base::Incarnation incarnation {};
    ChoiceKind kind = ChoiceKind::LeastLoaded;

    auto operator<=>(const Choice&) const = default;
};

/** How an attempt ended, as far as the health of its target is concerned. */
enum class Result : std::uint8_t {
    Success,
    Failure, ///< Connection lost, time-out or error of the target.
    Refused, ///< The target answered, but ran nothing.
    Cancelled, ///< Ended by the caller; says nothing about the target.
    Count
};

[[nodiscard]] std::string_view toString(ChoiceKind kind) noexcept;
[[nodiscard]] std::string_view toString(Result result) noexcept;

} // namespace chivewinch::routing
