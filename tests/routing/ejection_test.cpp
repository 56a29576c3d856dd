#include "routing/router.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

namespace chivewinch::routing {
namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t targetCount = 16;
constexpr int failuresEach = 4;

std::string targetName(std::uint32_t index) { return "t" + std::to_string(index); }

/**
 * Number of ejected targets after failuresEach rounds in which the first `failing` targets fail and the others succeed.
 */
std::uint32_t ejectedAfter(std::uint32_t failing, EjectionOptions ejection)
{
    base::SeededRandom random { 1 };
    Router router { { .entry = "e", .zone = "a", .ejection = ejection }, random };
    PoolSpec pool { .name = "p" };
    std::vector<membership::TargetView> views;
    for (std::uint32_t index = 0; index < targetCount; ++index) {
        pool.targets.push_back(targetName(index));
        views.push_back({ .target = targetName(index),
            .zone = "a",
            .incarnation = base::Incarnation { 1 },
            .state = membership::TargetState::Live });
    }
    router.setPools(std::span { &pool, 1 });
    router.setTargets(views);
    base::SteadyTime now { 1h };
    for (int round = 0; round < failuresEach; ++round) {
        for (std::uint32_t index = 0; index < targetCount; ++index)
            router.finished(
                targetName(index), index < failing ? Result::Failure : Result::Success, std::nullopt, now += 10ms);
    }
    return static_cast<std::uint32_t>(
        std::ranges::count_if(pool.targets, [&](const auto& target) { return router.isEjected(target, now); }));
}

// Guards against the ejection of a third of the targets after an outage that affects all of them. The ranks of a group
// run their steps together, so they fail together although no single rank is faulty.
TEST(Ejection, DoesNotEjectWhenMostTargetsFail)
{
    EXPECT_EQ(ejectedAfter(targetCount, {}), 0U);
    EXPECT_EQ(ejectedAfter(targetCount * 3 / 4, {}), 0U);
    EXPECT_GT(ejectedAfter(targetCount, { .maxFailingShare = 1 }), 0U);
}

TEST(Ejection, EjectsMinorityOfFailingTargets)
{
    EXPECT_EQ(ejectedAfter(1, {}), 1U);
    EXPECT_EQ(ejectedAfter(4, {}), 4U);
}

} // namespace
} // namespace chivewinch::routing
