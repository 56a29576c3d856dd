#pragma once

#include "expert/activation.hpp"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace chivewinch::expert {

/** What the engine of a rank reports about itself. It survives a restart of the agent. */
struct EngineStatus {
    StepId lastStep;
    MapRef lastMap;
    std::vector<MapRef> held; ///< Completely loaded maps.

    bool operator==(const EngineStatus&) const = default;
};

/** Orders the engine to load a map; onLoaded follows. */
struct LoadMap {
    MapRef map;

    bool operator==(const LoadMap&) const = default;
};

struct DropMap {
    MapRef map;

    bool operator==(const DropMap&) const = default;
};

struct RunStep {
    StepId step;
    MapRef map;

    bool operator==(const RunStep&) const = default;
};

using AgentAction = std::variant<LoadMap, DropMap, RunStep, AgentMessage>;
using AgentActions = std::vector<AgentAction>;

struct RankAgentOptions {
    std::uint32_t rank = 0;
    std::uint64_t session = 1; ///< Start time of the agent in ns; grows at each restart.
    ActivationChecks checks;

    bool operator==(const RankAgentOptions&) const = default;
};

/**
 * Decides what the engine of one rank may do. The engine gets commands from this agent only, so an engine that ignores
 * fencing numbers is protected as well. Actions are to be carried out in order and before the next call.
 */
class RankAgent {
public:
    RankAgent(RankAgentOptions options, EngineStatus status);

    /** Asks the decider for a new term; to be sent at the start. */
    [[nodiscard]] AgentActions start() const;
    [[nodiscard]] AgentActions onMessage(const DeciderMessage& message);
    /** The engine finished or failed to load a map. */
    [[nodiscard]] AgentActions onLoaded(const MapRef& map, bool loaded);
    /** The engine has restarted; to be called before any command reaches the new engine process. */
    [[nodiscard]] AgentActions onEngineRestarted(EngineStatus status);
    /** To be called about once a second: repeats the request for a new term while it is unanswered. */
    [[nodiscard]] AgentActions onTick() const;

    [[nodiscard]] const EngineStatus& engine() const noexcept { return this->status; }
    [[nodiscard]] std::uint64_t session() const noexcept { return this->options.session; }
    [[nodiscard]] bool joined() const noexcept { return this->term.has_value(); }
    /** Headers refused because the map was not held. */
    [[nodiscard]] std::uint64_t refusedHeaders() const noexcept { return this->refused; }

    /** Appends a canonical form of the state except counters: equal states append equal bytes. */
    void appendState(std::string& out) const;

    bool operator==(const RankAgent&) const = default;

private:
    [[nodiscard]] AgentActions on(const JoinRequest& request);
    [[nodiscard]] AgentActions on(const Prepare& prepare);
    [[nodiscard]] AgentActions on(const Discard& discard);
    [[nodiscard]] AgentActions on(const StepHeader& header);
    [[nodiscard]] bool holds(const MapRef& map) const;
    [[nodiscard]] bool admitsTerm(const Term& other) const;
    [[nodiscard]] AgentAction prepared(const MapRef& map, bool loaded) const;
    [[nodiscard]] bool admitsMap(const Prepare& prepare) const;
    void dropUnused(AgentActions& actions);

    RankAgentOptions options;
    EngineStatus status;
    std::optional<Term> term; ///< Joined term of this session.
    StepId seenStep; ///< Newest step that ran; survives a restart of the engine.
    MapRef seenMap;
    std::optional<MapRef> loading;
    MapRef newest; ///< Newest map that this term asked to prepare.
    base::FencingNumber largestFencing {};
    std::uint64_t refused = 0;
};

} // namespace chivewinch::expert
