#pragma once

#include "base/clock.hpp"

#include <algorithm>
#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chivewinch::expert {

/** Map that a rank is ordered to use from a given step on. */
struct ArmedMap {
    std::uint64_t version = 0;
    std::uint64_t step = 0;

    auto operator<=>(const ArmedMap&) const = default;
};

/** Map state that the engine of one rank reports. */
struct RankMapState {
    std::uint64_t epoch = 0; ///< Grows when the group forms again; the engines then drop all state but the first map.
    bool open = false; ///< The group runs steps.
    std::uint64_t step = 0; ///< Newest step that has begun.
    std::uint64_t version = 0; ///< Map in use.
    std::optional<std::uint64_t> prepared; ///< Newest map that is loaded completely.
    std::optional<ArmedMap> armed;
    std::optional<std::uint64_t> held; ///< Step that must not begin before it is released at this rank.

    auto operator<=>(const RankMapState&) const = default;
};

enum class MapOrderKind : std::uint8_t {
    Prepare, ///< Load the map in addition to the map in use.
    Hold, ///< Keep the group from beginning the step until it is released at this rank.
    Arm, ///< Use the map from the step on.
    Release, ///< Allow the held step to begin.
    Disarm, ///< Cancel an Arm order for the map. Refused if the map is in use.
    Count
};

[[nodiscard]] std::string_view toString(MapOrderKind kind) noexcept;

/** Order to the engine of one rank. Engines refuse orders of another epoch. */
struct MapOrder {
    std::uint32_t rank = 0;
    MapOrderKind kind = MapOrderKind::Prepare;
    std::uint64_t epoch = 0;
    std::uint64_t version = 0; ///< For Prepare, Arm and Disarm.
    std::uint64_t step = 0; ///< For Hold, Arm and Release.

    auto operator<=>(const MapOrder&) const = default;
};

/** Safety checks of the protocol. Tests switch off single checks to show that maps get mixed without them. */
struct HeldActivationChecks {
    bool holdBeforeArm = true; ///< Arm only after the step is held.
    bool allArmed = true; ///< Release only after all ranks are armed.
    /** Complete a change that another process began. If false, its held step is released instead. */
    bool rollForward = true;
    /** Arm only if the report that shows the held step shows no switch of the first rank at another step. */
    bool respectReleased = true;
    /** Replace or disarm an armed map only if another rank can no longer be armed with it. */
    bool replaceDeadOnly = true;

    bool operator==(const HeldActivationChecks&) const = default;
};

struct HeldActivationOptions {
    /**
     * Number of steps by which the step to hold is ahead of the newest step, so that the Hold order arrives before the
     * step begins. An order takes a few milliseconds, a step about 50 ms.
     */
    std::uint64_t leadSteps = 2;
    std::chrono::milliseconds prepareTimeout { 10'000 };
    HeldActivationChecks checks;

    bool operator==(const HeldActivationOptions&) const = default;
};

enum class ActivationPhase : std::uint8_t { Idle, Preparing, Holding, Arming, Releasing, Count };

[[nodiscard]] std::string_view toString(ActivationPhase phase) noexcept;

/**
 * Switches all ranks of a group to a new map at the same step. The engines of the group neither compare maps nor check
 * fencing numbers, and may execute an order seconds after the sender has timed out. Runs in the agent of the first
 * rank; the agents of the other ranks run completeHeldChange at the same time, possibly on outdated reports.
 *
 * Safety, whatever other agents do:
 * - Ranks are armed for a step only after a report of the first rank that shows the step as held, and no switch at
 *   another step, and only after every rank has reported that it has loaded the map.
 * - A step is released only if all ranks are armed for it with one map, or if it precedes a released switch of the
 *   first rank. A held step that belongs to no change is therefore used for the next change.
 * - The armed map of a rank is replaced or cancelled only if some rank has loaded a newer map without being armed with
 *   this one. That rank can no longer be armed with it, so no agent can have released the step for it.
 */
class HeldActivation {
public:
    explicit HeldActivation(HeldActivationOptions options = {}) noexcept
        : options { options }
    {
    }

    /** Returns true if a new change may begin. */
    [[nodiscard]] bool idle() const noexcept { return this->currentPhase == ActivationPhase::Idle; }
    /** Returns true if the change needs nothing more from this process. */
    [[nodiscard]] bool canStop() const noexcept
    {
        return this->idle() || (this->currentPhase == ActivationPhase::Releasing && this->releaseConfirmed);
    }
    /** Starts the change to a map. The version must be larger than that of every map the ranks have had before. */
    void begin(std::uint64_t version, std::uint64_t epoch, base::SteadyTime now) noexcept;

    /**
     * Returns the orders that are due now. Call again after sending them, whether or not the engines have answered.
     * @param reported Current states of all ranks, by rank; nullopt for a rank that did not answer.
     */
    [[nodiscard]] std::vector<MapOrder> advance(
        std::vector<std::optional<RankMapState>> reported, base::SteadyTime now);

    /**
     * Records that the engine has confirmed the state that the order asks for. The reported states show it only later.
     * The confirmation of a Hold order is not used, since it does not tell whether the rank is armed.
     */
    void confirm(const MapOrder& order);

    [[nodiscard]] ActivationPhase phase() const noexcept { return this->currentPhase; }
    [[nodiscard]] std::uint64_t version() const noexcept { return this->targetVersion; }
    [[nodiscard]] std::uint64_t heldStep() const noexcept { return this->step; }

    /** Appends a canonical form of the confirmations: equal states append equal bytes. */
    void appendState(std::string& out) const;

    bool operator==(const HeldActivation&) const = default;

private:
    using States = std::vector<std::optional<RankMapState>>;

    HeldActivationOptions options;
    ActivationPhase currentPhase = ActivationPhase::Idle;
    std::uint64_t epoch = 0;
    std::uint64_t targetVersion = 0;
    std::uint64_t step = 0;
    std::uint64_t largestStep = 0; ///< Largest step that this process has ordered to hold or has found held.
    base::SteadyTime phaseSince {};
    bool releaseConfirmed = false;
    std::vector<std::uint32_t> armedRanks; ///< Ranks that have confirmed the Arm order for the current step, ascending.

    void enter(ActivationPhase phase, base::SteadyTime now) noexcept;
    [[nodiscard]] bool isArmed(std::uint32_t rank) const noexcept
    {
        return std::ranges::binary_search(this->armedRanks, rank);
    }
    void setStep(std::uint64_t chosen);
    /** Continues with the change for which a step is held, if the reports show one. */
    void adoptHeldChange(const States& ranks, base::SteadyTime now);
    [[nodiscard]] bool hasNewEpoch(const States& ranks) const;
    [[nodiscard]] States filterByEpoch(States ranks) const;
    [[nodiscard]] std::vector<MapOrder> prepare(const States& ranks, base::SteadyTime now);
    [[nodiscard]] std::vector<MapOrder> hold(const States& ranks, base::SteadyTime now);
    [[nodiscard]] std::vector<MapOrder> arm(const States& ranks, base::SteadyTime now);
    [[nodiscard]] std::vector<MapOrder> release(const States& ranks, base::SteadyTime now);
    [[nodiscard]] MapOrder order(std::uint32_t rank, MapOrderKind kind) const noexcept;
};

/**
 * Returns the orders with which the agent of another rank completes a change while the agent of the first rank does not
 * respond and the group waits for the held step. The orders arm the ranks that are not armed yet, and release the step
 * once all ranks are armed. Empty if the reports do not show a change that can be completed.
 * @param ranks Reports by rank; may be outdated and may have been read at different times.
 */
[[nodiscard]] std::vector<MapOrder> completeHeldChange(
    const std::vector<std::optional<RankMapState>>& ranks, const HeldActivationChecks& checks = {});

/**
 * Returns true if a step is held that no loaded map can use, so that only the change to a further map can release it.
 * Occurs if a Hold order is executed after its change has been completed or replaced.
 */
[[nodiscard]] bool needsFurtherChange(const std::vector<std::optional<RankMapState>>& ranks);

} // namespace chivewinch::expert
