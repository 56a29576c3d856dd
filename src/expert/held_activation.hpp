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

/** Map that a rank will use from a step on. */
struct ArmedMap {
    std::uint64_t version = 0;
    std::uint64_t step = 0;

    auto operator<=>(const ArmedMap&) const = default;
};

/** What the engine of one rank says about its maps. */
struct RankMapState {
    std::uint64_t epoch = 0; ///< Grows when the group forms anew; everything but the first map is forgotten then.
    bool open = false; ///< The group runs steps.
    std::uint64_t step = 0; ///< Newest step that has begun.
    std::uint64_t version = 0; ///< Map in use.
    std::optional<std::uint64_t> prepared; ///< Newest map that is loaded completely.
    std::optional<ArmedMap> armed;
    std::optional<std::uint64_t> held; ///< Step that waits for its release at this rank.

    auto operator<=>(const RankMapState&) const = default;
};

enum class MapOrderKind : std::uint8_t {
    Prepare, ///< Load the map beside the one in use.
    Hold, ///< The group must not begin the step before it is released at this rank.
    Arm, ///< Use the map from the step on.
    Release,
    Count
};

[[nodiscard]] std::string_view toString(MapOrderKind kind) noexcept;

/** Order to the engine of one rank. Engines refuse it in another epoch. */
struct MapOrder {
    std::uint32_t rank = 0;
    MapOrderKind kind = MapOrderKind::Prepare;
    std::uint64_t epoch = 0;
    std::uint64_t version = 0; ///< For Prepare and Arm.
    std::uint64_t step = 0; ///< For Hold, Arm and Release.

    auto operator<=>(const MapOrder&) const = default;
};

/** Switches that tests use to show that each mechanism is needed. */
struct HeldActivationChecks {
    bool holdFirst = true; ///< Arm only after the step is held.
    bool allArmed = true; ///< Release only after all ranks are armed.
    bool pushForward = true; ///< Complete a change that a predecessor began; off: release its step.

    bool operator==(const HeldActivationChecks&) const = default;
};

struct HeldActivationOptions {
    /** Steps between the newest step and the one that is held. Orders take a few milliseconds, a step some 50 ms. */
    std::uint64_t lead = 2;
    std::chrono::milliseconds prepareTimeout { 10'000 };
    HeldActivationChecks checks;

    bool operator==(const HeldActivationOptions&) const = default;
};

enum class ActivationPhase : std::uint8_t { Idle, Preparing, Holding, Arming, Releasing, Count };

[[nodiscard]] std::string_view toString(ActivationPhase phase) noexcept;

/**
 * Brings a map into use at one step for all ranks of a group whose engines neither compare maps nor check fencing
 * numbers, and may carry out an order seconds after it was given up. Runs in the agent of the first rank only.
 *
 * Safety: ranks are armed only while the step is held at the first rank, and the step is released only when all ranks
 * are armed for it. Nothing is ever disarmed, so a confirmed state stays true until the step or a new epoch, and a late
 * copy of an order either repeats the state or names a step that has begun, which engines refuse.
 */
class HeldActivation {
public:
    explicit HeldActivation(HeldActivationOptions options = {}) noexcept
        : options { options }
    {
    }

    /** True if a new change may begin. */
    [[nodiscard]] bool idle() const noexcept { return this->current == ActivationPhase::Idle; }
    /** Begins to bring a map into use; its version must be larger than all that the ranks have had. */
    void begin(std::uint64_t version, std::uint64_t epoch, base::SteadyTime now) noexcept;

    /**
     * Orders that are due now. To be called again after they were sent, whether they were answered or not.
     * @param reported Present states of all ranks, by rank; nullopt for one that did not answer.
     */
    [[nodiscard]] std::vector<MapOrder> advance(
        std::vector<std::optional<RankMapState>> reported, base::SteadyTime now);

    /** The engine has answered that the state which the order asks for holds. Reports of it come later. */
    void confirm(const MapOrder& order);

    [[nodiscard]] ActivationPhase phase() const noexcept { return this->current; }
    [[nodiscard]] std::uint64_t version() const noexcept { return this->target; }
    [[nodiscard]] std::uint64_t heldStep() const noexcept { return this->step; }

    /** Appends a canonical form of the confirmations: equal states append equal bytes. */
    void appendState(std::string& out) const;

    bool operator==(const HeldActivation&) const = default;

private:
    using States = std::vector<std::optional<RankMapState>>;

    HeldActivationOptions options;
    ActivationPhase current = ActivationPhase::Idle;
    std::uint64_t epoch = 0;
    std::uint64_t target = 0;
    std::uint64_t step = 0;
    std::uint64_t largestStep = 0; ///< Of all steps that this process has held or found held.
    base::SteadyTime phaseSince {};
    bool holdConfirmed = false;
    bool releaseConfirmed = false;
    std::vector<std::uint32_t> armedRanks; ///< Confirmed for the present step.

    void enter(ActivationPhase phase, base::SteadyTime now) noexcept;
    [[nodiscard]] bool isArmed(std::uint32_t rank) const noexcept
    {
        return std::ranges::binary_search(this->armedRanks, rank);
    }
    void chooseStep(std::uint64_t chosen);
    void recover(const States& ranks, base::SteadyTime now);
    [[nodiscard]] bool isOver(const States& ranks) const;
    [[nodiscard]] States ofThisEpoch(States ranks) const;
    [[nodiscard]] std::vector<MapOrder> prepare(const States& ranks, base::SteadyTime now);
    [[nodiscard]] std::vector<MapOrder> hold(const States& ranks, base::SteadyTime now);
    [[nodiscard]] std::vector<MapOrder> arm(const States& ranks, base::SteadyTime now);
    [[nodiscard]] std::vector<MapOrder> release(const States& ranks, base::SteadyTime now);
    [[nodiscard]] MapOrder order(std::uint32_t rank, MapOrderKind kind) const noexcept;
};

/**
 * Orders with which the agent of another rank completes a change whose step the group waits for, when the first rank's
 * agent stands still. It arms what is not armed and releases the step once all ranks are armed, as the first agent
 * would; it never decides that a change is not to happen. Empty unless all ranks are known and the step is held.
 */
[[nodiscard]] std::vector<MapOrder> completeHeldChange(const std::vector<std::optional<RankMapState>>& ranks);

} // namespace chivewinch::expert
