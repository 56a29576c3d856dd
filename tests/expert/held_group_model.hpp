#pragma once

#include "expert/held_activation.hpp"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace chivewinch::expert {

using HeldStates = std::vector<std::optional<RankMapState>>;

/** Engine of one rank. Executes orders as the platform's documentation states, without comparing maps or planners. */
struct HeldEngine {
    std::uint64_t version = 0;
    std::uint64_t largestVersion = 0;
    std::uint64_t loading = 0; ///< Map whose weights are being copied; 0 if none.
    std::uint64_t prepared = 0;
    ArmedMap armed;
    std::uint64_t held = 0;

    auto operator<=>(const HeldEngine&) const = default;
};

/** Agent of another rank. Its reports may be outdated and were read at different times. */
struct HeldHelper {
    HeldStates reports;

    auto operator<=>(const HeldHelper&) const = default;
};

/** Engines of a group, the orders in flight, the agent of the first rank and those of other ranks. */
struct HeldGroup {
    std::vector<HeldEngine> engines;
    std::uint64_t epoch = 1;
    std::uint64_t step = 0;
    std::set<MapOrder> inFlight; ///< Orders of the first rank's agent.
    std::set<MapOrder> inFlightUnacknowledged; ///< Orders of ended processes and of helpers; answers are ignored.
    HeldActivationOptions options;
    HeldActivation activation;
    HeldStates reports; ///< Reports that the first rank's agent has read, each possibly outdated.
    std::vector<HeldHelper> helpers;
    base::SteadyTime now { std::chrono::hours { 1 } };
    std::uint32_t changes = 0;
    std::uint32_t restarts = 0;
    std::uint32_t crashes = 0;
    bool mixedMaps = false;

    HeldGroup(const HeldActivationOptions& options, std::uint32_t ranks, std::uint32_t helperCount)
        : engines(ranks)
        , options { options }
        , activation { options }
        , reports(ranks)
        , helpers(helperCount, HeldHelper { HeldStates(ranks) })
    {
    }

    [[nodiscard]] RankMapState report(std::size_t rank) const
    {
        const auto& engine = this->engines[rank];
        RankMapState state { .epoch = this->epoch, .open = true, .step = this->step, .version = engine.version };
        if (engine.prepared != 0)
            state.prepared = engine.prepared;
        if (engine.armed.version != 0)
            state.armed = engine.armed;
        if (engine.held != 0)
            state.held = engine.held;
        return state;
    }

    [[nodiscard]] HeldStates currentReports() const
    {
        HeldStates all;
        for (std::size_t rank = 0; rank < this->engines.size(); ++rank)
            all.emplace_back(this->report(rank));
        return all;
    }

    /** Executes an order. Returns true if the engine confirms that the requested state holds. */
    bool execute(const MapOrder& order)
    {
        auto& engine = this->engines[order.rank];
        if (order.epoch != this->epoch)
            return false;
        const bool begun = order.step <= this->step;
        const ArmedMap armed { .version = order.version, .step = order.step };
        switch (order.kind) {
        case MapOrderKind::Prepare:
            if (engine.armed.version == 0 && order.version > engine.largestVersion)
                engine.loading = engine.largestVersion = order.version;
            return engine.prepared == order.version;
        case MapOrderKind::Hold:
            if (engine.held == 0 && !begun)
                engine.held = order.step;
            return engine.held == order.step;
        case MapOrderKind::Arm:
            if (engine.prepared == order.version && !begun)
                engine.armed = armed;
            return engine.armed == armed;
        case MapOrderKind::Disarm:
            if (engine.version != order.version && engine.armed.version == order.version)
                engine.armed = {};
            return engine.armed.version != order.version;
        case MapOrderKind::Release:
        case MapOrderKind::Count:
            break;
        }
        if (engine.held != order.step)
            return false;
        engine.held = 0;
        return true;
    }

    void finishLoading(std::size_t rank)
    {
        auto& engine = this->engines[rank];
        engine.prepared = engine.loading;
        engine.loading = 0;
    }

    [[nodiscard]] bool canStep() const
    {
        return std::ranges::none_of(
            this->engines, [this](const auto& engine) { return engine.held == this->step + 1; });
    }

    void beginStep()
    {
        ++this->step;
        for (auto& engine : this->engines) {
            if (engine.armed.version != 0 && engine.armed.step == this->step) {
                engine.version = engine.armed.version;
                engine.armed = {};
            }
            this->mixedMaps = this->mixedMaps || engine.version != this->engines.front().version;
        }
    }

    /** An engine crashes, and the group forms again. */
    void crash()
    {
        ++this->epoch;
        ++this->crashes;
        for (auto& engine : this->engines)
            engine = { .largestVersion = engine.largestVersion };
    }

    void restartFirst()
    {
        ++this->restarts;
        this->activation = HeldActivation { this->options };
        this->inFlightUnacknowledged.merge(this->inFlight);
        this->inFlight.clear();
        std::ranges::fill(this->reports, std::nullopt);
    }

    void advanceFirst(const HeldStates& states)
    {
        for (const auto& order : this->activation.advance(states, this->now))
            this->inFlight.insert(order);
    }

    void beginChange()
    {
        ++this->changes;
        this->activation.begin(this->changes, this->epoch, this->now);
    }

    void advanceHelper(const HeldStates& states)
    {
        for (const auto& order : completeHeldChange(states, this->options.checks))
            this->inFlightUnacknowledged.insert(order);
    }

    /** Ends all faults, serves requests, and returns true if the group begins all steps within the given rounds. */
    [[nodiscard]] bool recovers(std::uint64_t steps)
    {
        const auto target = this->step + steps;
        auto late = std::exchange(this->inFlightUnacknowledged, {});
        late.merge(this->inFlight);
        this->inFlight.clear();
        for (const auto& order : late)
            (void)this->execute(order);
        for (int round = 0; round < 60 && this->step < target; ++round) {
            this->advanceFirst(this->currentReports());
            if (this->activation.idle() && needsFurtherChange(this->currentReports()))
                this->beginChange();
            for (const auto& order : std::exchange(this->inFlight, {})) {
                if (this->execute(order))
                    this->activation.confirm(order);
            }
            for (std::size_t rank = 0; rank < this->engines.size(); ++rank) {
                if (this->engines[rank].loading != 0)
                    this->finishLoading(rank);
            }
            if (this->canStep())
                this->beginStep();
            this->now += std::chrono::seconds { 1 };
        }
        return this->step >= target;
    }

    /** Canonical form: equal states have equal bytes. */
    [[nodiscard]] std::string key() const
    {
        std::string text;
        const auto add = [&text](std::uint64_t value) { text += static_cast<char>(value); };
        const auto addOrders = [&add](const std::set<MapOrder>& orders) {
            for (const auto& order : orders) {
                add(order.rank * 8 + static_cast<std::uint64_t>(order.kind));
                add(order.epoch);
                add(order.version);
                add(order.step);
            }
            add(0xFF);
        };
        const auto addReports = [&add](const HeldStates& states) {
            for (const auto& state : states) {
                add(state ? state->epoch : 0);
                if (!state)
                    continue;
                add(state->step);
                add(state->version);
                add(state->prepared.value_or(0));
                add(state->armed ? state->armed->version : 0);
                add(state->armed ? state->armed->step : 0);
                add(state->held.value_or(0));
            }
        };
        for (const auto& engine : this->engines) {
            add(engine.version);
            add(engine.largestVersion);
            add(engine.loading);
            add(engine.prepared);
            add(engine.armed.version);
            add(engine.armed.step);
            add(engine.held);
        }
        add(this->epoch);
        add(this->step);
        addOrders(this->inFlight);
        addOrders(this->inFlightUnacknowledged);
        this->activation.appendState(text);
        add(static_cast<std::uint64_t>(this->activation.phase()));
        add(this->activation.version());
        add(this->activation.heldStep());
        addReports(this->reports);
        for (const auto& helper : this->helpers)
            addReports(helper.reports);
        add(this->changes);
        add(this->restarts);
        add(this->crashes);
        return text;
    }
};

} // namespace chivewinch::expert
