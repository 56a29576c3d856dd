#include "expert/expert_fixture.hpp"
#include "expert/planner.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <bit>
#include <iostream>
#include <limits>

namespace chivewinch::expert {

namespace {

/**
 * Returns the exact lowest possible largest rank load of a placement. It is the largest ratio, over all sets of
 * experts, of the load of the set to the number of ranks that hold at least one of its experts.
 */
double exactPeak(const std::vector<std::uint32_t>& ranksOfExpert, const std::vector<double>& loads)
{
    double peak = 0;
    for (std::uint32_t set = 1; set < (1U << loads.size()); ++set) {
        double load = 0;
        std::uint32_t ranks = 0;
        for (std::size_t expert = 0; expert < loads.size(); ++expert) {
            if ((set >> expert & 1U) != 0) {
                load += loads[expert];
                ranks |= ranksOfExpert[expert];
            }
        }
        if (ranks == 0)
            return std::numeric_limits<double>::infinity();
        peak = std::max(peak, load / std::popcount(ranks));
    }
    return peak;
}

/** Returns the lowest skew over all placements. */
double bruteForce(const GroupShape& shape, const std::vector<double>& loads)
{
    std::vector<std::uint32_t> choices;
    for (std::uint32_t set = 0; set < (1U << shape.experts); ++set) {
        if (std::popcount(set) == static_cast<int>(shape.slotsPerRank))
            choices.push_back(set);
    }
    std::vector<std::size_t> digits(shape.ranks);
    double best = std::numeric_limits<double>::infinity();
    while (true) {
        std::vector<std::uint32_t> ranksOfExpert(shape.experts);
        for (std::uint32_t rank = 0; rank < shape.ranks; ++rank) {
            for (std::uint32_t expert = 0; expert < shape.experts; ++expert)
                ranksOfExpert[expert] |= (choices[digits[rank]] >> expert & 1U) << rank;
        }
        best = std::min(best, exactPeak(ranksOfExpert, loads) * shape.ranks);
        std::size_t digit = 0;
        while (digit < digits.size() && ++digits[digit] == choices.size())
            digits[digit++] = 0;
        if (digit == digits.size())
            return best;
    }
}

const GroupShape group { .ranks = 16, .experts = 32, .layers = 4, .slotsPerRank = 4 };

struct PlannerScenario {
    base::SeededRandom random;
    std::vector<double> loads;
    ExpertMap map;
    LoadEstimator estimator { group };
    WeightPacer pacer;
    std::vector<OwnerPolicy> owners { { .owner = "a", .usageTokens = 3 }, { .owner = "b", .usageTokens = 1 } };
    std::uint64_t interval = 0;

    explicit PlannerScenario(std::uint64_t seed)
        : random { seed }
        , loads { randomLoads(group.experts, this->random) }
        , map { solvedMap(group, this->loads) }
    {
        this->run(30);
    }

    void run(std::uint32_t intervals)
    {
        for (std::uint32_t i = 0; i < intervals; ++i)
            observe(this->estimator, this->map, this->loads, this->interval++, this->random);
    }

    void surge()
    {
        this->loads[5] *= 4;
        this->run(10);
    }

    Decision decide(PlannerOptions options = {})
    {
        return Planner { options }.decide(this->map, this->estimator, this->owners, this->pacer, {});
    }
};

} // namespace

// Guards against shares whose largest rank load is higher than necessary, by comparison with the exact lowest value.
TEST(LayerBalanceTest, BalancedSharesReachTheExactPeak)
{
    const GroupShape shape { .ranks = 5, .experts = 6, .layers = 1, .slotsPerRank = 3 };
    for (std::uint64_t seed = 1; seed <= 500; ++seed) {
        base::SeededRandom random { seed };
        const auto loads = randomLoads(shape.experts, random);
        LayerBalance balance { shape, loads };
        std::vector<std::uint32_t> ranksOfExpert(shape.experts);
        for (std::uint32_t slot = 0; slot < shape.ranks * shape.slotsPerRank; ++slot) {
            const auto rank = slot % shape.ranks;
            const auto expert = slot < shape.experts ? slot : static_cast<std::uint32_t>(random.below(shape.experts));
            if (balance.holds(expert, rank))
                continue;
            balance.addReplica(expert, rank);
            ranksOfExpert[expert] |= 1U << rank;
        }
        balance.balanceShares(200);
        EXPECT_NEAR(balance.skew() / (exactPeak(ranksOfExpert, loads) * shape.ranks), 1, 0.005) << "seed " << seed;
    }
}

// Guards against a search that ends far from the best placement. The bounds are the skew targets relative to the
// optimum over all placements.
TEST(LayerPlanTest, IsCloseToTheBruteForceOptimum)
{
    const GroupShape shape { .ranks = 4, .experts = 5, .layers = 1, .slotsPerRank = 2 };
    std::vector<double> ratios;
    double sum = 0;
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        base::SeededRandom random { seed };
        const auto start = *solveLayer(shape, randomLoads(shape.experts, random));
        const auto loads = randomLoads(shape.experts, random);
        const auto plan = improveLayer(shape, start, loads, {});
        const auto fresh = improveLayer(shape, *solveLayer(shape, loads), loads, {});
        ratios.push_back(std::min(plan.skewAfter, fresh.skewAfter) / bruteForce(shape, loads));
        sum += ratios.back();
    }
    std::ranges::sort(ratios);
    const auto mean = sum / static_cast<double>(ratios.size());
    const auto p99 = ratios[ratios.size() * 99 / 100];
    std::cout << "skew relative to the optimum: mean " << mean << ", p99 " << p99 << "\n";
    EXPECT_GE(ratios.front(), 0.995);
    EXPECT_LE(mean, 1.05);
    EXPECT_LE(p99, 1.15);
}

// Guards against plans without a replica of an expert or beyond the memory of a rank.
TEST(LayerPlanTest, PlansAreValidForRandomShapes)
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        base::SeededRandom random { seed };
        GroupShape shape { .ranks = static_cast<std::uint32_t>(2 + random.below(30)), .experts = 0, .layers = 1 };
        shape.slotsPerRank = static_cast<std::uint32_t>(1 + random.below(5));
        shape.experts = static_cast<std::uint32_t>(1 + random.below(shape.ranks * shape.slotsPerRank));
        const auto loads = randomLoads(shape.experts, random);
        const auto layer = solveLayer(shape, loads);
        ASSERT_TRUE(layer) << "seed " << seed;
        const auto plan = improveLayer(shape, *layer, randomLoads(shape.experts, random), {});
        MapError error;
        EXPECT_TRUE(ExpertMap::create(shape, { plan.layer }, error)) << "seed " << seed << ": " << error.detail;
        EXPECT_EQ(plan.moves, countMoves(*layer, plan.layer)) << "seed " << seed;
    }
}

TEST(PlannerTest, ChangesTheMapAfterASurge)
{
    PlannerScenario scenario { 1 };
    scenario.surge();
    const auto decision = scenario.decide();
    ASSERT_EQ(decision.reason, DecisionReason::Changed);
    EXPECT_GT(decision.gain, decision.cost);
    EXPECT_LT(decision.skewProposed, decision.skewNow);
    EXPECT_EQ(decision.moves, countMoves(scenario.map, *decision.map));
    EXPECT_EQ(decision.bytes, decision.charges[0].bytes + decision.charges[1].bytes);
    EXPECT_EQ(decision.charges[0].bytes, decision.bytes * 3 / 4);
}

// Guards against map changes that are caused by noise alone.
TEST(PlannerTest, NoiseCausesNoChange)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        PlannerScenario scenario { seed };
        for (int i = 0; i < 50; ++i) {
            scenario.run(1);
            const auto decision = scenario.decide();
            ASSERT_FALSE(decision.map) << "seed " << seed << " interval " << scenario.interval;
        }
    }
}

// Guards against a noise test that cannot fail: without the significance test the same scenarios must cause changes.
TEST(PlannerTest, NoiseCausesChangesWithoutTheSignificanceTest)
{
    std::uint32_t changes = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
        changes += PlannerScenario { seed }.decide({ .significance = 0 }).map ? 1 : 0;
    EXPECT_GT(changes, 0U);
}

// Guards against changes whose cost to the owners exceeds the gain.
TEST(PlannerTest, KeepsTheMapWhenCostOutweighsGain)
{
    PlannerScenario scenario { 2 };
    scenario.surge();
    for (auto& owner : scenario.owners)
        owner.costWeight = 1'000'000;
    const auto decision = scenario.decide();
    EXPECT_FALSE(decision.map);
    EXPECT_EQ(decision.reason, DecisionReason::GainBelowCost);
}

// Guards against plans that transfer more bytes than the weight store allows.
TEST(PlannerTest, MovesNoMoreThanTheWeightStoreAllows)
{
    PlannerScenario scenario { 3 };
    scenario.surge();
    const PlannerOptions options;
    scenario.pacer
        = WeightPacer { { .bytesPerSecond = 3 * options.bytesPerExpert, .maxWait = std::chrono::seconds { 1 } } };
    const auto decision = scenario.decide();
    EXPECT_LE(decision.bytes, 3 * options.bytesPerExpert);
    const auto again = scenario.decide();
    EXPECT_LE(decision.bytes + again.bytes, 3 * options.bytesPerExpert);
}

TEST(PlannerTest, ReportsWhyItKeepsTheMap)
{
    PlannerScenario scenario { 4 };
    EXPECT_EQ(Planner {}.decide(scenario.map, LoadEstimator { group }, scenario.owners, scenario.pacer, {}).reason,
        DecisionReason::TooFewReports);
    scenario.owners.clear();
    EXPECT_EQ(scenario.decide().reason, DecisionReason::NoOwners);
}

} // namespace chivewinch::expert
