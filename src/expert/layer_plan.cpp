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

/** Places the replicas, heaviest first, each on the least loaded rank with a free slot. */
LayerBalance placeReplicas(
    const GroupShape& shape, std::span<const double> loads, const std::vector<std::uint32_t>& counts)
{
    LayerBalance balance { shape, loads };
    std::vector<std::pair<double, std::uint32_t>> order;
    for (std::uint32_t expert = 0; expert < shape.experts; ++expert)
        order.emplace_back(loads[expert] / counts[expert], expert);
    std::ranges::sort(order, std::greater {});
    using Rank = std::pair<double, std::uint32_t>;
    std::priority_queue<Rank, std::vector<Rank>, std::greater<>> leastLoaded;
    for (std::uint32_t rank = 0; rank < shape.ranks; ++rank)
        leastLoaded.emplace(0.0, rank);
    for (const auto& [weight, expert] : order) {
        std::vector<Rank> requeued;
        for (std::uint32_t i = 0; i < counts[expert] && !leastLoaded.empty(); ++i) {
            auto [load, rank] = leastLoaded.top();
            leastLoaded.pop();
            balance.addReplica(expert, rank);
            if (balance.freeSlots(rank) > 0)
                requeued.emplace_back(load + weight, rank);
        }
        for (const auto& rank : requeued)
            leastLoaded.push(rank);
    }
    return balance;
}

/** Loads a replica of an expert into a slot of a rank. Evicts another replica if the rank has no free slot. */
struct Move {
    double score = 0;
    std::uint32_t expert = 0;
    std::uint32_t rank = 0;
    std::optional<std::uint32_t> evicted; ///< Empty when the rank has a free slot.
};

constexpr std::size_t maxExpertsTried = 2;
constexpr std::size_t maxSlotsTried = 5;

double partOf(const LayerBalance& balance, std::uint32_t expert, std::uint32_t rank)
{
    return std::ranges::find(balance.parts(expert), rank, &LayerBalance::Part::rank)->load;
}

/**
 * Returns the load above the mean that the least loaded other rank of the expert has after this rank gives up its
 * replica and the remaining replicas divide the load.
 */
double displacedOverload(const LayerBalance& balance, std::uint32_t expert, std::uint32_t rank)
{
    const auto& parts = balance.parts(expert);
    auto lowest = std::numeric_limits<double>::infinity();
    double part = 0;
    for (const auto& other : parts) {
        if (other.rank == rank)
            part = other.load;
        else
            lowest = std::min(lowest, balance.rankLoads()[other.rank]);
    }
    const auto mean = 1.0 / static_cast<double>(balance.rankLoads().size());
    return std::max(0.0, lowest + part / static_cast<double>(parts.size() - 1) - mean);
}

/** Appends moves of the wanted expert to the slots with the lowest sum of rank load and overload by the eviction. */
void collectSlots(const LayerBalance& balance, std::uint32_t wanted, std::vector<Move>& moves)
{
    std::vector<Move> found;
    for (std::uint32_t rank = 0; rank < balance.rankLoads().size(); ++rank) {
        const auto rankLoad = balance.rankLoads()[rank];
        if (balance.holds(wanted, rank))
            continue;
        if (balance.freeSlots(rank) > 0) {
            found.push_back({ .score = rankLoad, .expert = wanted, .rank = rank, .evicted = std::nullopt });
            continue;
        }
        for (const auto expert : balance.expertsOn(rank)) {
            if (balance.parts(expert).size() > 1)
                found.push_back({ rankLoad + displacedOverload(balance, expert, rank), wanted, rank, expert });
        }
    }
    const auto count = std::min(maxSlotsTried, found.size());
    std::ranges::partial_sort(found, found.begin() + static_cast<std::ptrdiff_t>(count), {}, &Move::score);
    moves.insert(moves.end(), found.begin(), found.begin() + static_cast<std::ptrdiff_t>(count));
}

/** Returns the experts that put the most load on the rank and are not yet on every rank. */
std::vector<std::uint32_t> heaviestExperts(const LayerBalance& balance, std::uint32_t rank)
{
    std::vector<std::uint32_t> found;
    for (const auto expert : balance.expertsOn(rank)) {
        if (balance.parts(expert).size() < balance.rankLoads().size())
            found.push_back(expert);
    }
    std::ranges::sort(found, std::greater {}, [&](auto expert) { return partOf(balance, expert, rank); });
    found.resize(std::min(found.size(), maxExpertsTried));
    return found;
}

/** Smooth approximation of the largest rank load that also grows with the number of ranks at the largest load. */
double imbalance(const LayerBalance& balance)
{
    double sum = 0;
    for (const auto load : balance.rankLoads()) {
        const auto square = load * load * static_cast<double>(balance.rankLoads().size() * balance.rankLoads().size());
        const auto fourth = square * square;
        sum += fourth * fourth;
    }
    return sum;
}

LayerBalance withMove(LayerBalance balance, const Move& move, std::uint32_t sweeps)
{
    if (move.evicted)
        balance.removeReplica(*move.evicted, move.rank);
    balance.addReplica(move.expert, move.rank);
    balance.balanceShares(sweeps);
    return balance;
}

/** Returns the state after the best of a few moves that take load off the most loaded rank; nullopt without a move. */
std::optional<LayerBalance> bestMove(const LayerBalance& balance, const ImproveOptions& options)
{
    const auto mostLoaded = std::ranges::max_element(balance.rankLoads()) - balance.rankLoads().begin();
    std::vector<Move> moves;
    for (const auto expert : heaviestExperts(balance, static_cast<std::uint32_t>(mostLoaded)))
        collectSlots(balance, expert, moves);
    if (balance.skew() > options.coarseSkew && !moves.empty())
        return withMove(balance, moves.front(), options.coarseSweeps);
    std::optional<LayerBalance> best;
    double bestScore = std::numeric_limits<double>::infinity();
    for (const auto& move : moves) {
        auto tried = withMove(balance, move, options.trialSweeps);
        const auto score = imbalance(tried);
        if (score < bestScore) {
            bestScore = score;
            best = std::move(tried);
        }
    }
    if (best)
        best->balanceShares(options.sweeps);
    return best;
}

/**
 * Returns the expert with the largest load per replica, and the expert whose load per replica stays lowest after it
 * loses a replica; nullopt when the two loads differ by at most the ratio.
 */
std::optional<std::pair<std::uint32_t, std::uint32_t>> unequalExperts(const LayerBalance& balance, double ratio)
{
    std::pair<std::uint32_t, std::uint32_t> found;
    double largest = 0;
    double smallest = std::numeric_limits<double>::infinity();
    for (std::uint32_t expert = 0; expert < balance.expertCount(); ++expert) {
        const auto replicas = static_cast<double>(balance.parts(expert).size());
        if (balance.load(expert) / replicas > largest && replicas < static_cast<double>(balance.rankLoads().size())) {
            largest = balance.load(expert) / replicas;
            found.first = expert;
        }
        if (replicas > 1 && balance.load(expert) / (replicas - 1) < smallest) {
            smallest = balance.load(expert) / (replicas - 1);
            found.second = expert;
        }
    }
    return largest > ratio * smallest ? std::optional { found } : std::nullopt;
}

/**
 * Replaces a replica of the surplus expert by one of the wanted expert, on the least loaded rank that holds the
 * former and not the latter. Returns false if there is no such rank.
 */
bool exchangeReplica(LayerBalance& balance, std::uint32_t wanted, std::uint32_t surplus)
{
    std::optional<std::uint32_t> best;
    for (const auto& part : balance.parts(surplus)) {
        const bool lessLoaded = !best || balance.rankLoads()[part.rank] < balance.rankLoads()[*best];
        if (lessLoaded && !balance.holds(wanted, part.rank))
            best = part.rank;
    }
    if (!best)
        return false;
    balance.removeReplica(surplus, *best);
    balance.addReplica(wanted, *best);
    return true;
}

/**
 * Brings the number of replicas of each expert closer to its popularity, so that no rank load depends on the estimate
 * of a single expert. Returns the number of moves; 0 when they would cost more than replicaGain.
 */
std::uint32_t equaliseReplicas(LayerBalance& balance, const ImproveOptions& options)
{
    auto changed = balance;
    std::uint32_t moves = 0;
    while (moves < options.maxMoves) {
        const auto pair = unequalExperts(changed, options.replicaRatio);
        if (!pair || !exchangeReplica(changed, pair->first, pair->second))
            break;
        ++moves;
    }
    if (moves == 0 || moves * options.minGainPerMove > options.replicaGain)
        return 0;
    changed.balanceShares(options.sweeps);
    balance = std::move(changed);
    return moves;
}

/** Makes one move after the other and returns the state with the best trade-off of skew and moves. */
LayerBalance searchMoves(LayerBalance balance, std::uint32_t moves, const ImproveOptions& options)
{
    auto best = balance;
    auto bestCost = balance.skew() + moves * options.minGainPerMove;
    std::uint32_t sinceBest = 0;
    for (++moves; moves <= options.maxMoves && sinceBest < options.patience; ++moves) {
        if (balance.skew() <= options.targetSkew)
            break;
        auto next = bestMove(balance, options);
        if (!next)
            break;
        balance = std::move(*next);
        ++sinceBest;
        const auto cost = balance.skew() + moves * options.minGainPerMove;
        if (cost < bestCost) {
            bestCost = cost;
            best = balance;
            sinceBest = 0;
        }
    }
    return best;
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
    balance.balanceShares(internal::finalSweeps);
    return balance.toLayer();
}

LayerPlan improveLayer(
    const GroupShape& shape, const LayerMap& layer, std::span<const double> loads, const ImproveOptions& options)
{
    LayerBalance balance { shape, layer, loads };
    const auto skewBefore = balance.skew();
    balance.balanceShares(internal::finalSweeps);
    const auto moves = internal::equaliseReplicas(balance, options);
    auto best = internal::searchMoves(std::move(balance), moves, options);
    // Balancing from equal parts keeps the load of a rank from depending on the estimate of a single expert.
    best.splitEqually();
    best.balanceShares(internal::finalSweeps);
    LayerPlan plan { .layer = best.toLayer(), .skewBefore = skewBefore, .skewAfter = best.skew() };
    plan.moves = countMoves(layer, plan.layer);
    return plan;
}

} // namespace chivewinch::expert
