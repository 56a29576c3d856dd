#pragma once

#include "base/clock.hpp"
#include "expert/activation.hpp"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace chivewinch::expert {

struct DeciderOptions {
    std::uint32_t ranks = 1;
    base::Incarnation incarnation {}; ///< Start time of this process; grows at each restart.
    MapRef bootMap; ///< Map that the planner recorded last in the store; used when no rank reports a step.
    std::chrono::nanoseconds changeTimeout = std::chrono::minutes { 2 };
    ActivationChecks checks;

    bool operator==(const DeciderOptions&) const = default;
};

/** Message to the agent of one rank. */
struct RankMessage {
    std::uint32_t rank = 0;
    DeciderMessage message;

    bool operator==(const RankMessage&) const = default;
};

using DeciderActions = std::vector<RankMessage>;

/** Most recently proposed map and the status of its change. */
struct ChangeState {
    MapRef map;
    ProposalStatus status = ProposalStatus::Preparing;

    bool operator==(const ChangeState&) const = default;
};

/**
 * Decides which map each step uses. One decider runs per group, in the agent of the first rank. A change is decided
 * after all ranks have loaded the map, and takes effect with the next step header. Steps never wait for a change.
 */
class Decider {
public:
    explicit Decider(DeciderOptions options);

    /** Opens the first term. Call once at the start, and send the returned messages. */
    [[nodiscard]] DeciderActions start();
    [[nodiscard]] DeciderActions onMessage(const AgentMessage& message);
    /** Handles the proposal of a planner. Returns Preparing if the change has begun, otherwise why it has not. */
    [[nodiscard]] ProposalStatus propose(const MapRef& map, base::SteadyTime now, DeciderActions& actions);
    /** Abandons an overdue change and sends unanswered messages again. Call about once a second. */
    [[nodiscard]] DeciderActions onTick(base::SteadyTime now);
    /**
     * Returns the header of the next step for all ranks. Empty while a step is open, or until all ranks have joined and
     * loaded the map.
     */
    [[nodiscard]] DeciderActions nextStep();
    /** Records that the engine of the first rank completed a step. Ranks run in lock-step, so all of them ran it. */
    void onStepFinished(const StepId& step);

    [[nodiscard]] bool running() const noexcept { return this->phase == Phase::Running; }
    [[nodiscard]] const MapRef& active() const noexcept { return this->activeMap; }
    [[nodiscard]] const std::optional<ChangeState>& change() const noexcept { return this->current; }
    [[nodiscard]] base::FencingNumber largestFencing() const noexcept { return this->fencing; }

    /** Appends a canonical form of the state without times: equal states append equal bytes. */
    void appendState(std::string& out) const;

    bool operator==(const Decider&) const = default;

private:
    enum class Phase : std::uint8_t { Joining, Loading, Running };

    struct Rank {
        std::optional<Joined> joined;
        std::uint64_t session = 0; ///< Largest session received from the rank.
        bool prepared = false;

        bool operator==(const Rank&) const = default;
    };

    void handle(const Rejoin& rejoin, DeciderActions& actions);
    void handle(const Joined& joined, DeciderActions& actions);
    void handle(const Prepared& prepared, DeciderActions& actions);
    void onRestart(std::uint32_t index, std::uint64_t session, DeciderActions& actions);
    void openTerm(DeciderActions& actions);
    void chooseMap(DeciderActions& actions);
    void abandon(ProposalStatus status, DeciderActions& actions);
    void resendUnanswered(DeciderActions& actions) const;
    void sendJoinRequest(std::uint32_t rank, DeciderActions& actions) const;
    void sendHeader(DeciderActions& actions) const;
    void sendPrepare(const MapRef& map, bool inUse, DeciderActions& actions) const;
    void broadcast(const DeciderMessage& message, DeciderActions& actions) const;
    [[nodiscard]] bool changing() const noexcept;
    [[nodiscard]] bool allPrepared() const;
    [[nodiscard]] std::optional<ProposalStatus> reasonToRefuse(const MapRef& map) const;

    DeciderOptions options;
    Phase phase = Phase::Joining;
    std::vector<Rank> ranks;
    Term term;
    std::uint64_t stepNumber = 0;
    bool stepOpen = false;
    bool mapConfirmed = false; ///< All ranks have run a step with the map in use.
    StepId lastIssuedStep; ///< Newest step of an earlier term of this process.
    MapRef activeMap;
    std::optional<ChangeState> current;
    base::SteadyTime deadline {};
    base::FencingNumber fencing {};
};

} // namespace chivewinch::expert
