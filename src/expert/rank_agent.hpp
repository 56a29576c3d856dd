#pragma once

#include "expert/activation.hpp"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace chivewinch::expert {

/** State that the engine of a rank reports. The engine keeps it when the agent restarts. */
struct EngineStatus {
    StepId lastStep;
    MapRef lastMap;
    std::vector<MapRef> held; ///< Completely loaded maps.

    bool operator==(const EngineStatus&) const = default;
};

/** Orders the engine to load a map. Call RankAgent::onLoaded when it has finished or failed. */
struct LoadMap {
    MapRef map;

    bool operator==(const LoadMap&) const = default;
};

/** Orders the engine to unload a map or to stop loading it. */
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
 * Decides which commands the engine of one rank gets. The engine gets commands from this agent only, so the agent also
 * protects engines that ignore fencing numbers. The caller must execute the returned actions in order and before the
 * next call.
 */
class RankAgent {
public:
    RankAgent(RankAgentOptions options, EngineStatus status);

    /** Returns the request to the decider for a new term. Call once at the start, and send it. */
    [[nodiscard]] AgentActions start() const;
    [[nodiscard]] AgentActions onMessage(const DeciderMessage& message);
    /** Handles the end of a load: `loaded` is false if the engine failed to load the map. */
    [[nodiscard]] AgentActions onLoaded(const MapRef& map, bool loaded);
    /** Handles a restart of the engine. Call before any command reaches the new engine process. */
    [[nodiscard]] AgentActions onEngineRestarted(EngineStatus status);
    /** Sends the request for a new term again while it is unanswered. Call about once a second. */
    [[nodiscard]] AgentActions onTick() const;

    [[nodiscard]] const EngineStatus& engine() const noexcept { return this->status; }
    [[nodiscard]] std::uint64_t session() const noexcept { return this->options.session; }
    [[nodiscard]] bool joined() const noexcept { return this->term.has_value(); }
    /** Number of step headers refused because the engine did not hold the map. */
    [[nodiscard]] std::uint64_t refusedHeaders() const noexcept { return this->refused; }

    /** Appends a canonical form of the state without counters: equal states append equal bytes. */
    void appendState(std::string& out) const;

    bool operator==(const RankAgent&) const = default;

private:
    [[nodiscard]] AgentActions handle(const JoinRequest& request);
    [[nodiscard]] AgentActions handle(const Prepare& prepare);
    [[nodiscard]] AgentActions handle(const Discard& discard);
    [[nodiscard]] AgentActions handle(const StepHeader& header);
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
    MapRef newestPrepared; ///< Newest map that the decider asked to prepare in this term, apart from maps in use.
    base::FencingNumber largestFencing {};
    std::uint64_t refused = 0;
};

} // namespace chivewinch::expert
