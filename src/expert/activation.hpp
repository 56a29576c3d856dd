#pragma once

#include "base/id.hpp"

#include <compare>
#include <cstdint>
#include <string_view>
#include <variant>
#include <vector>

/** Messages and identities of the activation protocol; docs/expert.md describes it. */
namespace chivewinch::expert {

/** Identity and content hash of an expert map. The fencing number makes versions of two planners distinct. */
struct MapRef {
    base::FencingNumber fencing {};
    std::uint64_t version = 0;
    std::uint64_t digest = 0; ///< ExpertMap::digest.

    auto operator<=>(const MapRef&) const = default;
};

/** Period in which one decider process numbers the steps of a group of unchanged ranks. */
struct Term {
    base::Incarnation decider {};
    std::uint64_t epoch = 0;

    auto operator<=>(const Term&) const = default;
};

/** Identity of a step; the ranks exchange it in their collectives. Numbers start at 1 in each term. */
struct StepId {
    Term term;
    std::uint64_t number = 0;

    auto operator<=>(const StepId&) const = default;
};

/** Header of a step. It is the only thing that brings a map into use. */
struct StepHeader {
    StepId step;
    MapRef map;
    base::FencingNumber largestFencing {}; ///< Largest number that the decider has seen.

    auto operator<=>(const StepHeader&) const = default;
};

/**
 * Asks a rank to take part in a term and to refuse every older one. The request names the session of the rank, so that
 * a late copy cannot bring a restarted rank back into an old term; a rank with another session answers Rejoin.
 */
struct JoinRequest {
    Term term;
    std::uint64_t session = 0; ///< 0 when the decider does not know it yet.

    auto operator<=>(const JoinRequest&) const = default;
};

/** Asks a rank to load a map beside the one in use. */
struct Prepare {
    Term term;
    MapRef map;
    bool inUse = false; ///< The group already uses the map and waits for this rank to load it again.

    auto operator<=>(const Prepare&) const = default;
};

/** Tells a rank that a prepared map will not be used. */
struct Discard {
    Term term;
    MapRef map;

    auto operator<=>(const Discard&) const = default;
};

using DeciderMessage = std::variant<JoinRequest, Prepare, Discard, StepHeader>;

/** A restarted rank asks for a new term. Sessions of a rank grow with each restart of its agent or engine. */
struct Rejoin {
    std::uint32_t rank = 0;
    std::uint64_t session = 0;

    auto operator<=>(const Rejoin&) const = default;
};

struct Joined {
    Term term;
    std::uint32_t rank = 0;
    std::uint64_t session = 0;
    StepId lastStep; ///< Newest step that the agent or its engine remembers.
    MapRef lastMap; ///< Map of lastStep.
    std::vector<MapRef> held;
    base::FencingNumber largestFencing {};

    auto operator<=>(const Joined&) const = default;
};

struct Prepared {
    Term term;
    std::uint32_t rank = 0;
    std::uint64_t session = 0;
    MapRef map;
    bool loaded = false; ///< False when the rank cannot load the map.

    auto operator<=>(const Prepared&) const = default;
};

using AgentMessage = std::variant<Rejoin, Joined, Prepared>;

/** Why a proposed change did or did not come into force. The names are metric labels and log values. */
enum class ProposalStatus : std::uint8_t {
    Preparing,
    InForce,
    StaleFencing,
    StaleVersion,
    Busy,
    NotRunning,
    TimedOut,
    LoadFailed,
    RankRestarted,
    Superseded,
    Count
};

[[nodiscard]] std::string_view toString(ProposalStatus status) noexcept;

/** Switches that tests use to show that each mechanism is needed. */
struct ActivationChecks {
    bool fencing = true; ///< Refuse orders with a smaller fencing number than the largest seen.
    bool allPrepared = true; ///< Decide a map only after every rank has loaded it.
    bool heldMap = true; ///< Run a step only when the engine holds exactly the map of its header.
    bool term = true; ///< Refuse messages of other terms than the joined one.

    bool operator==(const ActivationChecks&) const = default;
};

} // namespace chivewinch::expert
