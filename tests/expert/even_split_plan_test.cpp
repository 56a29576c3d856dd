#include "base/random.hpp"
#include "expert/even_split_plan.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace chivewinch::expert {
namespace {

constexpr std::uint32_t ranks = 16;
constexpr std::uint32_t experts = 64;
constexpr std::uint32_t slots = 5;

LayerPlacement roundRobinPlacement()
{
    LayerPlacement placement(ranks);
    for (std::uint16_t expert = 0; expert < experts; ++expert)
        placement[expert % ranks].push_back(expert);
    return placement;
}

/** Zipf-like popularity in random order. */
std::vector<double> skewedLoads(std::uint64_t seed)
{
    base::SeededRandom random { seed };
    std::vector<double> loads(experts);
    for (std::size_t i = 0; i < loads.size(); ++i)
        loads[i] = 1.0 / std::pow(static_cast<double>(i + 1), 1.1);
    for (std::size_t i = loads.size(); i > 1; --i)
        std::swap(loads[i - 1], loads[random.below(i)]);
    return loads;
}

void expectValid(const LayerPlacement& before, const EvenSplitPlan& plan, const EvenSplitOptions& options)
{
    std::vector<std::uint32_t> replicas(experts);
    std::uint32_t loaded = 0;
    for (std::uint32_t rank = 0; rank < ranks; ++rank) {
        const auto& held = plan.placement[rank];
        EXPECT_LE(held.size(), options.slotsPerRank);
        EXPECT_TRUE(std::ranges::is_sorted(held));
        EXPECT_EQ(std::ranges::adjacent_find(held), held.end());
        std::uint32_t added = 0;
        for (const auto expert : held) {
            ++replicas[expert];
            added += std::ranges::binary_search(before[rank], expert) ? 0 : 1;
        }
        EXPECT_LE(added, options.maxNewPerRank);
        loaded += added;
    }
    EXPECT_EQ(loaded, plan.loaded);
    EXPECT_TRUE(std::ranges::all_of(replicas, [](auto count) { return count >= 1; }));
}

// Guards against plans that the engines refuse: too many experts on a rank, too many new experts, an expert on no rank.
TEST(EvenSplitPlan, KeepsTheLimitsOfTheEngines)
{
    const EvenSplitOptions options { .slotsPerRank = slots, .maxNewPerRank = 2 };
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        SCOPED_TRACE(seed);
        auto placement = roundRobinPlacement();
        for (int change = 0; change < 3; ++change) {
            const auto plan
                = planEvenSplit(placement, skewedLoads(seed * 7 + static_cast<std::uint64_t>(change)), options);
            expectValid(placement, plan, options);
            EXPECT_LE(plan.skewAfter, plan.skewBefore);
            placement = plan.placement;
        }
    }
}

// Guards against a search that stops while one rank has several times the mean load.
TEST(EvenSplitPlan, RelievesTheBusiestRank)
{
    double before = 0;
    double after = 0;
    constexpr int runs = 50;
    for (std::uint64_t seed = 1; seed <= runs; ++seed) {
        const auto plan
            = planEvenSplit(roundRobinPlacement(), skewedLoads(seed), { .slotsPerRank = slots, .maxNewPerRank = 2 });
        before += plan.skewBefore / runs;
        after += plan.skewAfter / runs;
    }
    std::cout << "mean skew " << before << " -> " << after << "\n";
    EXPECT_GT(before, 2.5);
    EXPECT_LT(after, 1.3);
}

// Guards against a slow rank that gets an equal share of the load and so delays every step of the group.
TEST(EvenSplitPlan, GivesASlowRankLessLoad)
{
    std::vector<double> paces(ranks, 1.0);
    paces[3] = 1.6;
    const std::vector<double> loads(experts, 1.0);
    const auto even = evenSplitSkew(roundRobinPlacement(), loads, paces);
    const auto plan
        = planEvenSplit(roundRobinPlacement(), loads, { .slotsPerRank = slots, .maxNewPerRank = 2, .paces = paces });
    EXPECT_GT(even, 1.5);
    EXPECT_LT(plan.skewAfter, 1.25);
    EXPECT_EQ(evenSplitSkew(plan.placement, loads, paces), plan.skewAfter);
}

// Guards against loading weights without any gain.
TEST(EvenSplitPlan, LeavesEvenLoadsAlone)
{
    const std::vector<double> loads(experts, 1.0);
    const auto plan = planEvenSplit(roundRobinPlacement(), loads, { .slotsPerRank = slots, .maxNewPerRank = 2 });
    EXPECT_EQ(plan.loaded, 0U);
    EXPECT_EQ(plan.placement, roundRobinPlacement());
}

/** Reference implementation of the search. Evaluates every change from scratch; the planner must match its result. */
class ReferenceSearch {
public:
    ReferenceSearch(LayerPlacement placement, std::vector<double> loads, EvenSplitOptions options)
        : original { placement }
        , held { std::move(placement) }
        , loads { std::move(loads) }
        , options { std::move(options) }
    {
    }

    LayerPlacement run()
    {
        for (std::uint32_t change = 0; change < this->options.maxChanges && this->improve(); ++change) { }
        return this->held;
    }

private:
    LayerPlacement original;
    LayerPlacement held;
    std::vector<double> loads;
    EvenSplitOptions options;

    [[nodiscard]] static bool has(const std::vector<std::uint16_t>& list, std::uint16_t expert)
    {
        return std::ranges::find(list, expert) != list.end();
    }

    [[nodiscard]] std::vector<double> rankLoadsOf(const LayerPlacement& placement) const
    {
        std::vector<double> replicas(this->loads.size());
        for (const auto& list : placement)
            for (const auto expert : list)
                ++replicas[expert];
        std::vector<double> sums;
        for (const auto& list : placement) {
            sums.push_back(0);
            for (const auto expert : list)
                sums.back() += this->loads[expert] / replicas[expert];
        }
        return sums;
    }

    [[nodiscard]] double objectiveOf(const LayerPlacement& placement) const
    {
        double value = 0;
        for (const auto load : this->rankLoadsOf(placement))
            value += std::pow(load, 8);
        return value;
    }

    /** False for a placement that the engines refuse. */
    [[nodiscard]] bool isAllowed(const LayerPlacement& placement) const
    {
        std::vector<int> replicas(this->loads.size());
        for (std::size_t rank = 0; rank < placement.size(); ++rank) {
            std::uint32_t added = 0;
            for (const auto expert : placement[rank]) {
                ++replicas[expert];
                added += has(this->original[rank], expert) ? 0 : 1;
            }
            if (placement[rank].size() > this->options.slotsPerRank || added > this->options.maxNewPerRank)
                return false;
        }
        return std::ranges::all_of(replicas, [](auto count) { return count > 0; });
    }

    bool improve()
    {
        const auto now = this->objectiveOf(this->held);
        auto bestObjective = now;
        LayerPlacement best;
        const auto consider = [&](const LayerPlacement& next, bool loads) {
            if (!this->isAllowed(next))
                return;
            const auto value = this->objectiveOf(next);
            if (value < bestObjective && value < now * (1 - (loads ? this->options.minImprovement : 1e-9))) {
                bestObjective = value;
                best = next;
            }
        };
        const auto sums = this->rankLoadsOf(this->held);
        std::vector<std::size_t> order(sums.size());
        std::iota(order.begin(), order.end(), std::size_t { 0 });
        std::ranges::sort(order, [&sums](auto left, auto right) { return sums[left] > sums[right]; });
        order.resize(4);
        for (const auto busy : order) {
            for (const auto expert : this->held[busy])
                this->considerExpert(busy, expert, consider);
            if (!best.empty())
                break;
        }
        if (best.empty())
            return false;
        this->held = best;
        return true;
    }

    template <typename Consider>
    void considerExpert(std::size_t busy, std::uint16_t expert, const Consider& consider) const
    {
        auto without = this->held;
        std::erase(without[busy], expert);
        consider(without, false);
        for (std::size_t rank = 0; rank < this->held.size(); ++rank) {
            if (has(this->held[rank], expert))
                continue;
            const bool loads = !has(this->original[rank], expert);
            for (const bool drops : { false, true }) {
                auto next = drops ? without : this->held;
                next[rank].push_back(expert);
                consider(next, loads);
                for (const auto other : this->held[rank]) {
                    auto swapped = next;
                    std::erase(swapped[rank], other);
                    consider(swapped, loads);
                }
            }
        }
    }
};

// Guards against plans for large groups that stop far from the optimum: on recorded loads of 192 ranks the mean skew
// stayed at 1.40, while a search that ignores the number of copies reaches 1.09. The test loads are shaped like the
// recorded ones: at each shift, a fraction of the experts swap their loads.
TEST(EvenSplitPlan, KeepsTheSkewOfLargeGroupsLowAsLoadsShift)
{
    constexpr std::uint32_t ranks = 192;
    constexpr std::uint32_t experts = 384;
    constexpr double exponent = 0.42;
    base::SeededRandom random { 5 };
    std::vector<double> loads;
    for (std::uint32_t expert = 0; expert < experts; ++expert)
        loads.push_back(std::pow(expert + 1, -exponent));
    LayerPlacement placement(ranks);
    for (std::uint32_t expert = 0; expert < experts; ++expert)
        placement[expert % ranks].push_back(static_cast<std::uint16_t>(expert));
    double skews = 0;
    std::uint32_t copies = 0;
    constexpr int shifts = 20;
    for (int shift = 0; shift < shifts; ++shift) {
        for (std::uint32_t trade = 0; trade < experts / 4; ++trade)
            std::swap(loads[random.below(experts)], loads[random.below(experts)]);
        const auto plan
            = planEvenSplit(placement, loads, { .slotsPerRank = 3, .maxNewPerRank = 2, .minImprovement = 0.005 });
        skews += plan.skewAfter / shifts;
        copies += plan.loaded;
        placement = plan.placement;
    }
    EXPECT_LT(skews, 1.25);
    EXPECT_LT(copies / shifts, 60U);
}

// Guards against plans in which one layer uses the whole copy limit of a rank, and against plans that exceed the limit.
TEST(EvenSplitPlan, DividesTheCopiesOfARankBetweenTheLayers)
{
    constexpr std::uint32_t layers = 6;
    const std::vector<LayerPlacement> present(layers, roundRobinPlacement());
    std::vector<double> loads;
    for (std::uint64_t layer = 1; layer <= layers; ++layer) {
        const auto layerLoads = skewedLoads(layer);
        loads.insert(loads.end(), layerLoads.begin(), layerLoads.end());
    }
    for (const std::uint32_t bound : { 1U, 2U, 4U }) {
        const EvenSplitOptions options { .slotsPerRank = slots, .maxNewPerRank = 2, .maxCopiesPerRank = bound };
        const auto plans = planEvenSplitLayers(present, loads, options);
        std::vector<std::uint32_t> copies(ranks);
        for (std::uint32_t layer = 0; layer < layers; ++layer) {
            expectValid(present[layer], plans[layer], options);
            EXPECT_LT(plans[layer].skewAfter, 0.75 * plans[layer].skewBefore) << "bound " << bound;
            for (std::uint32_t rank = 0; rank < ranks; ++rank)
                for (const auto expert : plans[layer].placement[rank])
                    copies[rank] += std::ranges::binary_search(present[layer][rank], expert) ? 0 : 1;
        }
        EXPECT_LE(std::ranges::max(copies), bound);
    }
}

// Guards against an incremental evaluation of changes whose result differs from the full evaluation.
TEST(EvenSplitPlan, MatchesTheReferenceSearch)
{
    const EvenSplitOptions options { .slotsPerRank = slots, .maxNewPerRank = 2, .minImprovement = 0.03 };
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
        SCOPED_TRACE(seed);
        const auto loads = skewedLoads(seed);
        const auto plan = planEvenSplit(roundRobinPlacement(), loads, options);
        const auto plain = ReferenceSearch { roundRobinPlacement(), loads, options }.run();
        EXPECT_NEAR(plan.skewAfter, evenSplitSkew(plain, loads), 1e-6);
        EXPECT_NEAR(plan.skewAfter, evenSplitSkew(plan.placement, loads), 1e-9);
    }
}

} // namespace
} // namespace chivewinch::expert
