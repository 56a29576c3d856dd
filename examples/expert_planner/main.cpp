// Plans and activates a new expert map for a small group after one expert becomes hot. Uses no network.

#include "base/random.hpp"
#include "expert/decider.hpp"
#include "expert/layer_plan.hpp"
#include "expert/planner.hpp"
#include "expert/rank_agent.hpp"
#include "expert/render.hpp"

#include <fstream>
#include <iostream>

namespace {

using namespace chivewinch;

const expert::GroupShape shape { .ranks = 16, .experts = 32, .layers = 4, .slotsPerRank = 4 };
constexpr std::uint64_t balancedIntervals = 30;
constexpr std::uint64_t skewedIntervals = 15;
constexpr double tokensPerInterval = 1e6;
constexpr double hotExpertFactor = 6;

std::vector<double> expertLoads(bool skewed)
{
    std::vector<double> loads(shape.experts, 1.0);
    loads[7] = skewed ? hotExpertFactor : 1;
    double sum = 0;
    for (const auto load : loads)
        sum += load;
    for (auto& load : loads)
        load /= sum;
    return loads;
}

expert::ExpertMap initialMap()
{
    std::vector<expert::LayerMap> layers(shape.layers, *expert::solveLayer(shape, expertLoads(false)));
    expert::MapError error;
    return *expert::ExpertMap::create(shape, std::move(layers), error);
}

/** Adds the load reports of all ranks for one interval, with 5% noise. */
void addReports(
    const expert::ExpertMap& map, std::uint64_t interval, base::RandomSource& random, expert::LoadEstimator& estimator)
{
    const auto loads = expertLoads(interval >= balancedIntervals);
    for (std::uint32_t layer = 0; layer < shape.layers; ++layer) {
        std::vector<expert::LoadReport> reports(shape.ranks);
        for (const auto& replica : map.layer(layer)) {
            const auto noise = 0.95 + 0.1 * random.unit();
            const auto tokens = tokensPerInterval * loads[replica.expert] * replica.share / expert::shareUnit * noise;
            reports[replica.rank].tokens.push_back(static_cast<std::uint64_t>(tokens));
        }
        for (std::uint32_t rank = 0; rank < shape.ranks; ++rank) {
            reports[rank].rank = rank;
            reports[rank].layer = layer;
            reports[rank].interval = interval;
            (void)estimator.add(reports[rank], map);
        }
    }
    estimator.close(interval);
}

/** Delivers messages between decider and rank agents until none is pending. Every map load succeeds immediately. */
void deliverMessages(expert::Decider& decider, std::vector<expert::RankAgent>& agents, expert::DeciderActions pending)
{
    while (!pending.empty()) {
        expert::DeciderActions next;
        for (const auto& order : pending) {
            auto& agent = agents[order.rank];
            auto actions = agent.onMessage(order.message);
            for (std::size_t i = 0; i < actions.size(); ++i) {
                if (const auto* load = std::get_if<expert::LoadMap>(&actions[i])) {
                    const auto loaded = agent.onLoaded(load->map, true);
                    actions.insert(actions.end(), loaded.begin(), loaded.end());
                } else if (const auto* answer = std::get_if<expert::AgentMessage>(&actions[i])) {
                    const auto answers = decider.onMessage(*answer);
                    next.insert(next.end(), answers.begin(), answers.end());
                }
            }
        }
        pending = std::move(next);
    }
}

/** Runs one step of the group. The ranks run in lock-step, so the step ends for all of them at the same time. */
void runStep(expert::Decider& decider, std::vector<expert::RankAgent>& agents)
{
    deliverMessages(decider, agents, decider.nextStep());
    const auto& engine = agents[0].engine();
    decider.onStepFinished(engine.lastStep);
    std::cout << "step " << engine.lastStep.number << " used map version " << engine.lastMap.version << "\n";
}

void activate(const expert::ExpertMap& before, const expert::ExpertMap& after)
{
    const expert::MapRef boot { .fencing = base::FencingNumber { 1 }, .version = 1, .digest = before.digest() };
    expert::Decider decider { { .ranks = shape.ranks, .incarnation = base::Incarnation { 1 }, .bootMap = boot } };
    std::vector<expert::RankAgent> agents;
    for (std::uint32_t rank = 0; rank < shape.ranks; ++rank)
        agents.emplace_back(expert::RankAgentOptions { .rank = rank }, expert::EngineStatus { .held = { boot } });
    deliverMessages(decider, agents, decider.start());
    runStep(decider, agents);
    expert::DeciderActions actions;
    const expert::MapRef proposed { .fencing = base::FencingNumber { 1 }, .version = 2, .digest = after.digest() };
    const auto status = decider.propose(proposed, base::SteadyTime {}, actions);
    std::cout << "proposal: " << expert::toString(status) << "\n";
    deliverMessages(decider, agents, std::move(actions));
    runStep(decider, agents);
}

} // namespace

int main(int argc, char** argv)
{
    const auto map = initialMap();
    expert::LoadEstimator estimator { shape };
    base::SeededRandom random { 1 };
    for (std::uint64_t interval = 0; interval < balancedIntervals + skewedIntervals; ++interval)
        addReports(map, interval, random, estimator);
    const std::vector<expert::OwnerPolicy> owners {
        { .owner = "kilat-lilin", .skewWeight = 4, .costWeight = 1, .usageTokens = 600 },
        { .owner = "lepelgilde", .skewWeight = 1, .costWeight = 4, .usageTokens = 400 },
    };
    expert::WeightPacer pacer;
    const auto decision = expert::Planner {}.decide(map, estimator, owners, pacer, base::SteadyTime {});
    const auto loads = expert::rankLoads(map, estimator);
    std::cout << expert::planReport(decision) << "\nload per rank before\n" << expert::renderBars(loads);
    if (argc > 1)
        std::ofstream { argv[1] } << expert::renderSvg(
            loads, { .title = "Load per rank", .xLabel = "rank", .yLabel = "load / mean" });
    if (!decision.map)
        return 1;
    std::cout << "\nload per rank after\n" << expert::renderBars(expert::rankLoads(*decision.map, estimator)) << "\n";
    activate(map, *decision.map);
    return 0;
}
