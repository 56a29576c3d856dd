#include "routing/router.hpp"

#include <gtest/gtest.h>

namespace chivewinch::routing {

using namespace std::chrono_literals;

namespace {

membership::TargetView remoteTarget()
{
    return {
        .target = "t", .zone = "b", .incarnation = base::Incarnation { 1 }, .state = membership::TargetState::Live
    };
}

std::size_t startAll(bool hasLocalTargets)
{
    base::SeededRandom random { 1 };
    Router router { { .entry = "e", .zone = "a" }, random };
    const PoolSpec pool { .name = "orders", .targets = { "t" }, .hasLocalTargets = hasLocalTargets };
    router.setPools(std::span { &pool, 1 });
    const auto view = remoteTarget();
    router.setTargets(std::span { &view, 1 });
    const base::SteadyTime now { 1h };
    const RouteRequest request { .pool = "orders" };
    std::size_t started = 0;
    for (int i = 0; i < 100; ++i) {
        const auto choice = router.choose(request, now);
        if (!choice)
            continue;
        router.started(request, *choice, now);
        router.finished("t", Result::Success, LoadReport { .capacity = 64 }, now);
        ++started;
    }
    return started;
}

} // namespace

// Guards against refused requests for a service that runs in one zone only: every attempt from another zone is a
// spill-over, so the share limit must not apply.
TEST(SpillTest, PoolWithoutLocalTargetsHasNoShareLimit) { EXPECT_EQ(startAll(false), 100U); }

TEST(SpillTest, PoolWithLocalTargetsKeepsShareLimit) { EXPECT_LT(startAll(true), 100U); }

} // namespace chivewinch::routing
