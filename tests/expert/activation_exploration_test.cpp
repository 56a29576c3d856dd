#include "base/hash.hpp"
#include "expert/group_model.hpp"

#include <gtest/gtest.h>

#include <deque>
#include <iostream>
#include <unordered_set>

namespace chivewinch::expert {

namespace {

/** Number of times that each event may still happen on a path. */
struct Budget {
    std::uint32_t steps = 2;
    std::uint32_t deciderCrashes = 0;
    std::uint32_t agentCrashes = 0;
    std::uint32_t engineCrashes = 0;
    std::uint32_t failedLoads = 0;
    std::uint32_t timeouts = 0;
    bool delayedLoads = true; ///< When false, a load ends before the next event.
    std::vector<MapRef> proposals;
};

/** Sent messages stay in the state: each may be delivered at any later time, any number of times, or never. */
struct State {
    GroupModel model;
    std::vector<std::uint16_t> sent;
    Budget budget;
};

class Exploration {
public:
    Exploration(Budget budget, ActivationChecks checks)
    {
        State first { .model = GroupModel { 3, mapRef(0, 0), checks }, .sent = {}, .budget = std::move(budget) };
        // The exploration starts after a first step with the boot map, since a change needs a confirmed map.
        this->deliverAll(first.model);
        first.model.nextStep();
        this->deliverAll(first.model);
        first.model.finishStep();
        for (const auto& map : first.budget.proposals)
            this->recordSent(first, first.model.recordProposal(map));
        this->visit(std::move(first));
    }

    /** Explores all reachable states. Returns the first broken invariant, or an empty string. */
    std::string run(std::size_t maxStates)
    {
        while (!this->open.empty() && this->violation.empty() && this->seen.size() < maxStates) {
            const auto state = std::move(this->open.back());
            this->open.pop_back();
            this->expand(state);
        }
        this->complete = this->open.empty();
        return this->violation;
    }

    [[nodiscard]] std::size_t states() const { return this->seen.size(); }
    /** True if a path completed a step with a proposed map. */
    [[nodiscard]] bool sawChange() const { return this->changed; }
    [[nodiscard]] bool finished() const { return this->complete; }

private:
    static void deliverAll(GroupModel& model)
    {
        while (!model.outbox.empty()) {
            for (const auto& packet : std::exchange(model.outbox, {}))
                model.deliver(packet);
        }
    }

    void recordSent(State& state, const Packet& packet)
    {
        const auto id
            = static_cast<std::uint16_t>(this->packetIds.try_emplace(packet, this->packetIds.size()).first->second);
        if (id == this->packets.size())
            this->packets.push_back(packet);
        const auto place = std::ranges::lower_bound(state.sent, id);
        if (place == state.sent.end() || *place != id)
            state.sent.insert(place, id);
    }

    void visit(State state)
    {
        for (const auto& packet : std::exchange(state.model.outbox, {}))
            this->recordSent(state, packet);
        this->changed = this->changed || state.model.checker.newest.version > 0;
        if (!state.model.checker.violation.empty())
            this->violation = state.model.checker.violation;
        auto key = state.model.stateKey();
        for (const auto id : state.sent)
            appendWord(key, id);
        const auto& left = state.budget;
        for (const auto count :
            { left.steps, left.deciderCrashes, left.agentCrashes, left.engineCrashes, left.failedLoads, left.timeouts })
            appendWord(key, count);
        if (this->seen.insert(base::hash64(key)).second)
            this->open.push_back(std::move(state));
    }

    template <typename Change> void branch(const State& state, Change change)
    {
        auto next = state;
        change(next);
        this->visit(std::move(next));
    }

    template <typename Change> void branchWithinBudget(const State& state, std::uint32_t Budget::*field, Change change)
    {
        if (state.budget.*field == 0)
            return;
        this->branch(state, [&](State& next) {
            --(next.budget.*field);
            change(next.model);
        });
    }

    [[nodiscard]] bool wasSent(const State& state, const Packet& packet) const
    {
        const auto found = this->packetIds.find(packet);
        return found != this->packetIds.end()
            && std::ranges::binary_search(state.sent, static_cast<std::uint16_t>(found->second));
    }

    /**
     * True if a delivery changes neither the receiver nor the set of messages. Checking this avoids copying the state.
     */
    [[nodiscard]] bool hasNoEffect(const State& state, const Packet& packet) const
    {
        if (const auto* order = std::get_if<DeciderMessage>(&packet.content)) {
            auto agent = state.model.agents[packet.rank];
            const auto actions = agent.onMessage(*order);
            return agent == state.model.agents[packet.rank]
                && std::ranges::all_of(actions, [&](const AgentAction& action) {
                       const auto* answer = std::get_if<AgentMessage>(&action);
                       return answer != nullptr && this->wasSent(state, { .rank = packet.rank, .content = *answer });
                   });
        }
        const auto* answer = std::get_if<AgentMessage>(&packet.content);
        if (answer == nullptr)
            return false;
        auto decider = state.model.decider;
        const auto actions = decider.onMessage(*answer);
        return decider == state.model.decider && std::ranges::all_of(actions, [&](const RankMessage& action) {
            return this->wasSent(state, { .rank = action.rank, .content = action.message });
        });
    }

    void deliver(const State& state, const Packet& packet)
    {
        if (this->hasNoEffect(state, packet))
            return;
        this->branch(state, [&](State& next) {
            next.model.deliver(packet);
            for (std::uint32_t rank = 0; rank < next.model.size() && !next.budget.delayedLoads; ++rank)
                next.model.finishLoad(rank, true);
        });
    }

    void expand(const State& state)
    {
        for (const auto id : state.sent)
            this->deliver(state, this->packets[id]);
        if (state.model.stepComplete())
            this->branch(state, [](State& next) { next.model.finishStep(); });
        this->branchWithinBudget(state, &Budget::steps, [](GroupModel& model) { model.nextStep(); });
        this->branchWithinBudget(state, &Budget::deciderCrashes, [](GroupModel& model) { model.crashDecider(); });
        this->branchWithinBudget(
            state, &Budget::timeouts, [](GroupModel& model) { model.tick(std::chrono::seconds { 10 }); });
        for (std::uint32_t rank = 0; rank < state.model.size(); ++rank) {
            if (state.model.engines[rank].loading)
                this->branch(state, [&](State& next) { next.model.finishLoad(rank, true); });
            this->branchWithinBudget(
                state, &Budget::failedLoads, [&](GroupModel& model) { model.finishLoad(rank, false); });
        }
        // Ranks 1 and 2 are interchangeable. The agent of rank 0 crashes together with the decider.
        this->branchWithinBudget(state, &Budget::agentCrashes, [](GroupModel& model) { model.crashAgent(1); });
        this->branchWithinBudget(state, &Budget::engineCrashes, [](GroupModel& model) { model.crashEngine(0); });
        this->branchWithinBudget(state, &Budget::engineCrashes, [](GroupModel& model) { model.crashEngine(1); });
    }

    std::map<Packet, std::size_t> packetIds;
    std::vector<Packet> packets;
    std::unordered_set<std::uint64_t> seen;
    std::vector<State> open;
    std::string violation;
    bool complete = false;
    bool changed = false;
};

constexpr std::size_t maxStates = 4'000'000;

// The full exploration takes more than five minutes under a sanitizer (14 times as long as without), so sanitized
// builds explore one step fewer.
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr std::uint32_t crashSteps = 1;
#else
constexpr std::uint32_t crashSteps = 2;
#endif

void exploreAll(const std::string& name, const Budget& budget)
{
    Exploration exploration { budget, {} };
    EXPECT_EQ(exploration.run(maxStates), "") << name;
    EXPECT_TRUE(exploration.finished()) << name;
    EXPECT_TRUE(exploration.sawChange()) << name;
    std::cout << name << ": " << exploration.states() << " states\n";
}

} // namespace

TEST(ActivationExplorationTest, RacingPlanners)
{
    exploreAll("racing planners", { .steps = 1, .proposals = { mapRef(1, 1), mapRef(2, 2) } });
}

TEST(ActivationExplorationTest, FailedAndOverdueLoads)
{
    exploreAll(
        "failed and overdue loads", { .steps = 2, .failedLoads = 1, .timeouts = 1, .proposals = { mapRef(1, 1) } });
}

TEST(ActivationExplorationTest, DeciderCrash)
{
    exploreAll("decider crash",
        { .steps = crashSteps, .deciderCrashes = 1, .delayedLoads = false, .proposals = { mapRef(1, 1) } });
}

TEST(ActivationExplorationTest, AgentCrash)
{
    exploreAll("agent crash",
        { .steps = crashSteps, .agentCrashes = 1, .delayedLoads = false, .proposals = { mapRef(1, 1) } });
}

TEST(ActivationExplorationTest, EngineCrash)
{
    exploreAll("engine crash",
        { .steps = crashSteps, .engineCrashes = 1, .delayedLoads = false, .proposals = { mapRef(1, 1) } });
}

} // namespace chivewinch::expert
