#include "expert/layer_plan.hpp"

#include <algorithm>
#include <functional>
#include <limits>
#include <queue>
#include <utility>

namespace chivewinch::expert {

namespace internal {

constexpr std::uint32_t finalSweeps = 40;

std::vector<std::uint32_t> replicaCounts(const GroupShape& shape, std::span<const double> loads)
{
    std::vector<std::uint32_t> counts(shape.experts, 1);
    std::priority_queue<std::pair<double, std::uint32_t>> heaviest;
    for (std::uint32_t expert = 0; expert < shape.experts; ++expert)
        heaviest.emplace(loads[expert], expert);
    for (auto left = shape.ranks * shape.slotsPerRank - shape.experts; left > 0 && !heaviest.empty();) {
        const auto expert = heaviest.top().second;
        heaviest.pop();
        if (counts[expert] >= shape.ranks)
            continue;
        ++counts[expert];
        --left;
        heaviest.emplace(loads[expert] / counts[expert], expert);
    }
    return counts;
}

/** Puts the replicas of the experts, heaviest first, each on the least loaded rank that can take it. */
LayerBalance placeReplicas(
    const GroupShape& shape, std::span<const double> loads, const std::vector<std::uint32_t>& counts)
{
    LayerBalance balance { shape, loads };
    std::vector<std::pair<double, std::uint32_t>> order;
    for (std::uint32_t expert = 0; expert < shape.experts; ++expert)
        order.emplace_back(loads[expert] / counts[expert], expert);
    std::ranges::sort(order, std::greater {});
    using Rank = std::pair<double, std::uint32_t>;
    std::priority_queue<Rank, std::vector<Rank>, std::greater<>> coldest;
    for (std::uint32_t rank = 0; rank < shape.ranks; ++rank)
        coldest.emplace(0.0, rank);
    for (const auto& [weight, expert] : order) {
        std::vector<Rank> taken;
        for (std::uint32_t i = 0; i < counts[expert] && !coldest.empty(); ++i) {
            auto [load, rank] = coldest.top();
            coldest.pop();
            balance.addReplica(expert, rank);
            if (balance.freeSlots(rank) > 0)
                taken.emplace_back(load + weight, rank);
        }
        for (const auto& rank : taken)
            coldest.push(rank);
    }
    return balance;
}

/** Replica to give up for another one. */
struct Victim {
    std::uint32_t rank = 0;
    std::optional<std::uint32_t> expert; ///< Empty when the rank has a free slot.
};

std::optional<Victim> coldestVictim(const LayerBalance& balance, std::uint32_t wanted)
{
    std::optional<Victim> best;
    auto bestScore = std::numeric_limits<double>::infinity();
    const auto consider = [&](double score, Victim victim) {
        if (score < bestScore) {
            bestScore = score;
            best = victim;
        }
    };
    for (std::uint32_t rank = 0; rank < balance.rankLoads().size(); ++rank) {
        const auto rankLoad = balance.rankLoads()[rank];
        if (rankLoad >= bestScore || balance.holds(wanted, rank))
            continue;
        if (balance.freeSlots(rank) > 0) {
            consider(rankLoad, { .rank = rank, .expert = std::nullopt });
            continue;
        }
        for (const auto expert : balance.expertsOn(rank)) {
            const auto& parts = balance.parts(expert);
            if (parts.size() < 2)
                continue;
            const auto part = std::ranges::find(parts, rank, &LayerBalance::Part::rank)->load;
            consider(rankLoad + part, { .rank = rank, .expert = expert });
        }
    }
    return best;
}

/** Expert that puts the most load on the rank. */
std::optional<std::uint32_t> heaviestExpert(const LayerBalance& balance, std::uint32_t rank)
{
    std::optional<std::uint32_t> best;
    double bestLoad = 0;
    for (const auto expert : balance.expertsOn(rank)) {
        const auto& parts = balance.parts(expert);
        const auto load = std::ranges::find(parts, rank, &LayerBalance::Part::rank)->load;
        if (load > bestLoad && parts.size() < balance.rankLoads().size()) {
            bestLoad = load;
            best = expert;
        }
    }
    return best;
}

/** Gives the heaviest expert of the hottest rank a replica on a cold rank; false when there is no such move. */
bool moveOnce(LayerBalance& balance)
{
    const auto hottest = std::ranges::max_element(balance.rankLoads()) - balance.rankLoads().begin();
    const auto expert = heaviestExpert(balance, static_cast<std::uint32_t>(hottest));
    if (!expert)
        return false;
    const auto victim = coldestVictim(balance, *expert);
    if (!victim)
        return false;
    if (victim->expert)
        balance.removeReplica(*victim->expert, victim->rank);
    balance.addReplica(*expert, victim->rank);
    return true;
}

} // namespace internal

std::optional<LayerMap> solveLayer(const GroupShape& shape, std::span<const double> loads)
{
    if (shape.ranks * shape.slotsPerRank < shape.experts || loads.size() != shape.experts)
        return std::nullopt;
    auto balance = internal::placeReplicas(shape, loads, internal::replicaCounts(shape, loads));
    for (std::uint32_t expert = 0; expert < shape.experts; ++expert) {
        if (balance.parts(expert).empty())
            return std::nullopt;
    }
    balance.evenShares(internal::finalSweeps);
    return balance.toLayer();
}

LayerPlan improveLayer(
    const GroupShape& shape, const LayerMap& layer, std::span<const double> loads, const ImproveOptions& options)
{
    LayerBalance balance { shape, layer, loads };
    const auto skewBefore = balance.skew();
    balance.evenShares(internal::finalSweeps);
    auto best = balance;
    auto bestCost = balance.skew();
    std::uint32_t sinceBest = 0;
    for (std::uint32_t moves = 1; moves <= options.maxMoves && sinceBest < options.patience; ++moves) {
        if (balance.skew() <= options.targetSkew || !internal::moveOnce(balance))
            break;
        balance.evenShares(options.sweeps);
        ++sinceBest;
        const auto cost = balance.skew() + moves * options.minGainPerMove;
        if (cost < bestCost) {
            bestCost = cost;
            best = balance;
            sinceBest = 0;
        }
    }
    best.evenShares(internal::finalSweeps);
    LayerPlan plan { .layer = best.toLayer(), .skewBefore = skewBefore, .skewAfter = best.skew() };
    plan.moves = countMoves(layer, plan.layer);
    return plan;
}

} // namespace chivewinch::expert
