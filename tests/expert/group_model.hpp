#pragma once

#include "expert/decider.hpp"
#include "expert/rank_agent.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace chivewinch::expert {

inline void appendWord(std::string& out, std::uint64_t word)
{
    out.append(reinterpret_cast<const char*>(&word), sizeof(word));
}

inline void appendStep(std::string& out, const StepId& step)
{
    appendWord(out, static_cast<std::uint64_t>(step.term.decider));
    appendWord(out, step.term.epoch);
    appendWord(out, step.number);
}

/**
 * Engine that ignores fencing numbers. It identifies maps by version only and uses its boot map for an unknown version.
 */
struct ModelEngine {
    std::map<std::uint64_t, MapRef> slots;
    std::optional<MapRef> loading;
    StepId lastStep;
    MapRef lastMap; ///< As ordered by the agent.

    explicit ModelEngine(const MapRef& boot)
        : slots { { boot.version, boot } }
    {
    }

    [[nodiscard]] EngineStatus status() const
    {
        EngineStatus result { .lastStep = this->lastStep, .lastMap = this->lastMap };
        for (const auto& slot : this->slots)
            result.held.push_back(slot.second);
        return result;
    }
};

/** Checks every step of every rank. `violation` is empty or names the first broken invariant. */
struct StepChecker {
    std::map<StepId, std::pair<std::uint64_t, std::uint32_t>> used; ///< Map digest and ranks (bit set) of each step.
    MapRef newest;
    StepId newestStep;
    std::uint64_t completed = 0;
    std::string violation;

    void fail(std::string text)
    {
        if (this->violation.empty())
            this->violation = std::move(text);
    }

    void ran(std::uint32_t rank, const StepId& step, std::uint64_t content, const StepId& before)
    {
        const auto [entry, first] = this->used.try_emplace(step, content, 0);
        if (!first && entry->second.first != content)
            this->fail("two maps in one step");
        if (step <= before)
            this->fail("rank ran an older step after a newer one");
        entry->second.second |= 1U << rank;
    }

    /** Records a step that all ranks have run. */
    void complete(const StepId& step, const MapRef& map)
    {
        if (this->newestStep < step) {
            if (map.fencing < this->newest.fencing)
                this->fail("map of an older planner replaced a newer one");
            if (map.version < this->newest.version)
                this->fail("map version went back");
            this->newestStep = step;
            this->newest = map;
        }
        ++this->completed;
    }
};

/** Proposal of a planner to the decider. */
struct Proposal {
    MapRef map;

    auto operator<=>(const Proposal&) const = default;
};

/** Message in flight. */
struct Packet {
    std::uint32_t rank = 0; ///< Receiver of a DeciderMessage, sender of an AgentMessage.
    std::variant<DeciderMessage, AgentMessage, Proposal> content;

    auto operator<=>(const Packet&) const = default;
};

/**
 * Group of ranks whose agents control engines that ignore fencing numbers. The caller simulates the network: it takes
 * the messages from `outbox` and delivers them.
 */
class GroupModel {
public:
    GroupModel(std::uint32_t ranks, const MapRef& boot, ActivationChecks checks)
        : boot { boot }
        , checks { checks }
        , record { boot }
        , decider { this->deciderOptions(ranks, 1) }
        , engines(ranks, ModelEngine { boot })
    {
        for (std::uint32_t rank = 0; rank < ranks; ++rank)
            this->agents.emplace_back(
                RankAgentOptions { .rank = rank, .session = 1, .checks = checks }, this->engines[rank].status());
        this->send(this->decider.start());
    }

    void deliver(const Packet& packet)
    {
        if (const auto* order = std::get_if<DeciderMessage>(&packet.content))
            this->act(packet.rank, this->agents[packet.rank].onMessage(*order));
        else if (const auto* answer = std::get_if<AgentMessage>(&packet.content))
            this->send(this->decider.onMessage(*answer));
        else
            this->propose(std::get<Proposal>(packet.content).map);
    }

    void propose(const MapRef& map)
    {
        DeciderActions actions;
        (void)this->decider.propose(map, this->now, actions);
        this->send(actions);
    }

    /**
     * Records a map in the store. The store refuses a planner that has lost its lease, but its proposal is sent anyway.
     */
    Packet recordProposal(const MapRef& map)
    {
        if (map.fencing >= this->record.fencing)
            this->record = map;
        return { .rank = 0, .content = Proposal { .map = map } };
    }

    /** Crashes the process of the decider and the agent of rank 0. The engine of rank 0 keeps running. */
    void crashDecider()
    {
        ++this->deciderRestarts;
        this->decider = Decider { this->deciderOptions(this->size(), 1 + this->deciderRestarts) };
        this->send(this->decider.start());
        this->crashAgent(0);
    }

    void crashAgent(std::uint32_t rank)
    {
        const RankAgentOptions options {
            .rank = rank, .session = this->agents[rank].session() + 100, .checks = checks
        };
        this->agents[rank] = RankAgent { options, this->engines[rank].status() };
        this->act(rank, this->agents[rank].start());
    }

    void crashEngine(std::uint32_t rank)
    {
        this->engines[rank] = ModelEngine { this->boot };
        this->act(rank, this->agents[rank].onEngineRestarted(this->engines[rank].status()));
    }

    void finishLoad(std::uint32_t rank, bool loaded)
    {
        auto& engine = this->engines[rank];
        if (!engine.loading)
            return;
        const auto map = *std::exchange(engine.loading, std::nullopt);
        if (loaded)
            engine.slots.insert_or_assign(map.version, map);
        this->act(rank, this->agents[rank].onLoaded(map, loaded));
    }

    /**
     * True if all ranks run the same step, so that its collective ends and the engine of the first rank can report it.
     */
    [[nodiscard]] bool stepComplete() const
    {
        const auto& step = this->engines[0].lastStep;
        return step != this->reported
            && std::ranges::all_of(this->engines, [&](const auto& engine) { return engine.lastStep == step; });
    }

    void finishStep()
    {
        this->reported = this->engines[0].lastStep;
        this->checker.complete(this->reported, this->engines[0].lastMap);
        this->decider.onStepFinished(this->reported);
    }

    void nextStep() { this->send(this->decider.nextStep()); }

    void tick(std::chrono::nanoseconds elapsed)
    {
        this->now += elapsed;
        this->send(this->decider.onTick(this->now));
        for (std::uint32_t rank = 0; rank < this->size(); ++rank)
            this->act(rank, this->agents[rank].onTick());
    }

    [[nodiscard]] std::uint32_t size() const { return static_cast<std::uint32_t>(this->engines.size()); }

    [[nodiscard]] std::string stateKey() const
    {
        std::string key;
        this->decider.appendState(key);
        for (std::uint32_t rank = 0; rank < this->size(); ++rank) {
            this->agents[rank].appendState(key);
            const auto& engine = this->engines[rank];
            appendWord(key, engine.slots.size());
            for (const auto& slot : engine.slots)
                appendWord(key, slot.second.digest);
            appendWord(key, engine.loading ? engine.loading->digest : ~0ULL);
            appendStep(key, engine.lastStep);
        }
        appendWord(key, this->checker.used.size());
        for (const auto& [step, use] : this->checker.used) {
            appendStep(key, step);
            appendWord(key, use.first);
            appendWord(key, use.second);
        }
        appendWord(key, this->checker.newest.version);
        appendWord(key, this->record.digest);
        appendStep(key, this->reported);
        return key;
    }

    MapRef boot;
    ActivationChecks checks;
    MapRef record; ///< Newest map that a planner recorded in the store before it proposed it.
    Decider decider;
    std::vector<RankAgent> agents;
    std::vector<ModelEngine> engines;
    StepChecker checker;
    std::vector<Packet> outbox;
    base::SteadyTime now {};
    std::uint64_t deciderRestarts = 0;
    StepId reported; ///< Newest step whose end was reported to the decider.

private:
    [[nodiscard]] DeciderOptions deciderOptions(std::uint32_t ranks, std::uint64_t incarnation) const
    {
        return { .ranks = ranks,
            .incarnation = base::Incarnation { incarnation },
            .bootMap = this->record,
            .changeTimeout = std::chrono::seconds { 5 },
            .checks = this->checks };
    }

    void send(const DeciderActions& actions)
    {
        for (const auto& action : actions)
            this->outbox.push_back({ .rank = action.rank, .content = action.message });
    }

    void act(std::uint32_t rank, const AgentActions& actions)
    {
        for (const auto& action : actions)
            std::visit([&](const auto& content) { this->carryOut(rank, content); }, action);
    }

    void carryOut(std::uint32_t rank, const LoadMap& load) { this->engines[rank].loading = load.map; }

    void carryOut(std::uint32_t rank, const DropMap& drop)
    {
        auto& engine = this->engines[rank];
        const auto slot = engine.slots.find(drop.map.version);
        if (slot != engine.slots.end() && slot->second == drop.map)
            engine.slots.erase(slot);
        if (engine.loading == drop.map)
            engine.loading.reset();
    }

    void carryOut(std::uint32_t rank, const RunStep& run)
    {
        auto& engine = this->engines[rank];
        const auto slot = engine.slots.find(run.map.version);
        const auto content = slot == engine.slots.end() ? this->boot.digest : slot->second.digest;
        this->checker.ran(rank, run.step, content, engine.lastStep);
        engine.lastStep = run.step;
        engine.lastMap = run.map;
    }

    void carryOut(std::uint32_t rank, const AgentMessage& message)
    {
        this->outbox.push_back({ .rank = rank, .content = message });
    }
};

/** Returns a map reference whose content hash differs for each planner and version. */
inline MapRef mapRef(std::uint64_t fencing, std::uint64_t version)
{
    return { .fencing = base::FencingNumber { fencing }, .version = version, .digest = 1000 * fencing + version };
}

} // namespace chivewinch::expert
