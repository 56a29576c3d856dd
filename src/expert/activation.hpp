#pragma once

#include "base/id.hpp"

#include <compare>
#include <cstdint>
#include <string_view>
#include <variant>
#include <vector>

/** Messages and identities of the activation protocol; docs/expert.md describes it. */
namespace chivewinch::expert {

/**
 * Identity and content hash of an expert map. Two planners may assign the same version; the fencing number tells their
 * maps apart.
 */
struct MapRef {
    base::FencingNumber fencing {};
    std::uint64_t version = 0;
    std::uint64_t digest = 0; ///< ExpertMap::digest.

    auto operator<=>(const MapRef&) const = default;
};

/** Period in which neither the decider process nor a joined rank restarts. Steps are numbered within a term. */
struct Term {
    base::Incarnation decider {};
    std::uint64_t epoch = 0;

    auto operator<=>(const Term&) const = default;
};

/** Identity of a step. The ranks exchange it in their collective operations. Numbers start at 1 in each term. */
struct StepId {
    Term term;
    std::uint64_t number = 0;

    auto operator<=>(const StepId&) const = default;
};

/** Header of a step. A rank switches to another map only when it receives a step header that names the map. */
struct StepHeader {
    StepId step;
    MapRef map;
    base::FencingNumber largestFencing {}; ///< Largest fencing number that the decider has received.

    auto operator<=>(const StepHeader&) const = default;
};

/**
 * Asks a rank to take part in a term and to refuse every older term. The request names the session of the rank, so that
 * a late copy cannot bring a restarted rank back into an old term. A rank with another session answers with Rejoin.
 */
struct JoinRequest {
    Term term;
    std::uint64_t session = 0; ///< 0 while the decider has not received the session.

    auto operator<=>(const JoinRequest&) const = default;
};

/** Asks a rank to load a map in addition to the map in use. */
struct Prepare {
    Term term;
    MapRef map;
    bool inUse = false; ///< The group uses this map; no step runs until every rank has loaded it.

    auto operator<=>(const Prepare&) const = default;
};

/** Informs a rank that a prepared map will not be used. */
struct Discard {
    Term term;
    MapRef map;

    auto operator<=>(const Discard&) const = default;
};

using DeciderMessage = std::variant<JoinRequest, Prepare, Discard, StepHeader>;

/** Request of a restarted rank for a new term. The session number grows at each restart of its agent or engine. */
struct Rejoin {
    std::uint32_t rank = 0;
    std::uint64_t session = 0;

    auto operator<=>(const Rejoin&) const = default;
};

/** Answer to JoinRequest. */
struct Joined {
    Term term;
    std::uint32_t rank = 0;
    std::uint64_t session = 0;
    StepId lastStep; ///< Newest step that is recorded in the agent or its engine.
    MapRef lastMap; ///< Map of lastStep.
    std::vector<MapRef> held; ///< Completely loaded maps.
    base::FencingNumber largestFencing {};

    auto operator<=>(const Joined&) const = default;
};

/** Answer to Prepare. */
struct Prepared {
    Term term;
    std::uint32_t rank = 0;
    std::uint64_t session = 0;
    MapRef map;
    bool loaded = false; ///< False when the rank cannot load the map.

    auto operator<=>(const Prepared&) const = default;
};

using AgentMessage = std::variant<Rejoin, Joined, Prepared>;

/**
 * State of a proposed change, or the reason why it is not in force. toString returns the names that metric labels and
 * log values use.
 */
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

/** Safety checks of the protocol. Tests switch off single checks to show that an invariant breaks without them. */
struct ActivationChecks {
    bool fencing = true; ///< Refuse orders whose fencing number is smaller than the largest one received.
    bool allPrepared = true; ///< Switch to a map only after every rank has loaded it.
    bool heldMap = true; ///< Run a step only if the engine holds exactly the map of the step header.
    bool term = true; ///< Refuse messages of any term other than the joined one.

    bool operator==(const ActivationChecks&) const = default;
};

} // namespace chivewinch::expert
