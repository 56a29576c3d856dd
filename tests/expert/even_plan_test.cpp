#include "base/random.hpp"
#include "expert/even_plan.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace chivewinch::expert {
namespace {

constexpr std::uint32_t ranks = 16;
constexpr std::uint32_t experts = 64;
constexpr std::uint32_t slots = 5;

LayerHolding inTurn()
{
    LayerHolding holding(ranks);
    for (std::uint16_t expert = 0; expert < experts; ++expert)
        holding[expert % ranks].push_back(expert);
    return holding;
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

void expectValid(const LayerHolding& before, const EvenPlan& plan, const EvenPlanOptions& options)
{
    std::vector<std::uint32_t> replicas(experts);
    std::uint32_t loaded = 0;
    for (std::uint32_t rank = 0; rank < ranks; ++rank) {
        const auto& held = plan.holding[rank];
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

// Guards against plans that the engines refuse: too many places, too many new experts, an expert on no rank.
TEST(EvenPlan, KeepsTheLimitsOfTheEngines)
{
    const EvenPlanOptions options { .slotsPerRank = slots, .maxNewPerRank = 2 };
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        SCOPED_TRACE(seed);
        auto holding = inTurn();
        for (int change = 0; change < 3; ++change) {
            const auto plan
                = improveEvenly(holding, skewedLoads(seed * 7 + static_cast<std::uint64_t>(change)), options);
            expectValid(holding, plan, options);
            EXPECT_LE(plan.skewAfter, plan.skewBefore);
            holding = plan.holding;
        }
    }
}

// Guards against a search that stops early while one rank has several times the mean.
TEST(EvenPlan, RelievesTheBusiestRank)
{
    double before = 0;
    double after = 0;
    constexpr int runs = 50;
    for (std::uint64_t seed = 1; seed <= runs; ++seed) {
        const auto plan = improveEvenly(inTurn(), skewedLoads(seed), { .slotsPerRank = slots, .maxNewPerRank = 2 });
        before += plan.skewBefore / runs;
        after += plan.skewAfter / runs;
    }
    std::cout << "mean skew " << before << " -> " << after << "\n";
    EXPECT_GT(before, 2.5);
    EXPECT_LT(after, 1.3);
}

// Guards against a slow rank that sets the pace of all with a fair share of the load.
TEST(EvenPlan, GivesASlowRankLess)
{
    std::vector<double> paces(ranks, 1.0);
    paces[3] = 1.6;
    const std::vector<double> loads(experts, 1.0);
    const auto even = evenSkew(inTurn(), loads, paces);
    const auto plan = improveEvenly(inTurn(), loads, { .slotsPerRank = slots, .maxNewPerRank = 2, .paces = paces });
    EXPECT_GT(even, 1.5);
    EXPECT_LT(plan.skewAfter, 1.25);
    EXPECT_EQ(evenSkew(plan.holding, loads, paces), plan.skewAfter);
}

// Guards against moved weights that bring nothing.
TEST(EvenPlan, LeavesEvenLoadsAlone)
{
    const std::vector<double> loads(experts, 1.0);
    const auto plan = improveEvenly(inTurn(), loads, { .slotsPerRank = slots, .maxNewPerRank = 2 });
    EXPECT_EQ(plan.loaded, 0U);
    EXPECT_EQ(plan.holding, inTurn());
}

} // namespace
} // namespace chivewinch::expert
