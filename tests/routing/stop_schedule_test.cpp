#include "membership/schedule.hpp"
#include "routing/router.hpp"

#include <gtest/gtest.h>

#include <iostream>

namespace chivewinch::routing {

namespace {

/** Membership schedule with a router that takes its targets from the target table. */
class RoutedSchedule final : public membership::Schedule {
public:
    RoutedSchedule(std::uint64_t seed, const membership::Options& options)
        : membership::Schedule { seed, options, {} }
        , routerRandom { seed + 1 }
        , router { { .entry = "e", .zone = "z" }, this->routerRandom }
    {
        PoolSpec pool { .name = "m", .targets = {} };
        for (int i = 0; i < 10; ++i)
            pool.targets.push_back(std::string { "t" }.append(std::to_string(i)));
        this->router.setPools({ &pool, 1 });
    }

private:
    base::SeededRandom routerRandom;
    Router router;
    std::uint64_t version = 0;

    void checkWork() override
    {
        if (this->version != this->table.version())
            this->router.setTargets(this->table.snapshot());
        this->version = this->table.version();
        const RouteRequest request { .pool = "m", .prefixHash = this->random.below(3) };
        const auto choice = this->router.choose(request, this->now);
        const auto usable = this->table.usable("z");
        this->require(choice.has_value() == !usable.empty(), "choice differs from the usable targets");
        if (!choice)
            return;
        const bool isLive = usable.front().state == membership::TargetState::Live;
        this->require(
            isLive || choice->kind == ChoiceKind::LastResort, "suspect target chosen other than as last resort");
        this->checkTarget(choice->target, choice->incarnation, isLive);
        this->router.started(request, *choice, this->now);
        const auto result = this->random.below(3) == 0 ? Result::Failure : Result::Success;
        this->router.finished(choice->target, result, std::nullopt, this->now);
    }
};

int countStopFailures(int schedules, const membership::Options& options)
{
    int failures = 0;
    for (int seed = 1; seed <= schedules; ++seed) {
        const auto violation = RoutedSchedule { static_cast<std::uint64_t>(seed), options }.run();
        if (!violation.empty() && failures++ == 0)
            std::cout << "first failure: seed " << seed << ": " << violation << std::endl;
    }
    return failures;
}

} // namespace

// Guards against a router that keeps sending work to a leaving or dead target, or refuses while a target is usable.
TEST(StopScheduleTest, WorkStopsWithinThreeSecondsThroughTheRouter)
{
    constexpr int schedules = 5000;
    std::cout << "seeds 1 to " << schedules << std::endl;
    EXPECT_EQ(countStopFailures(schedules, {}), 0);
    EXPECT_GT(countStopFailures(300, { .leaveIsFinal = false }), 0);
    EXPECT_GT(countStopFailures(300, { .detectSilence = false }), 0);
}

} // namespace chivewinch::routing
