#include "base/random.hpp"
#include "limit/load_shedder.hpp"

#include <gtest/gtest.h>

#include <array>
#include <deque>
#include <iostream>
#include <string>

namespace chivewinch::limit {

using namespace std::chrono_literals;

namespace {

constexpr std::array owners { "a", "b" };

/** Simulates a shedder in front of a pool with a fixed capacity and a FIFO queue. */
struct ShedderRun {
    double capacity = 0; ///< Requests per second.
    std::array<std::array<double, 2>, 2> offered {}; ///< Requests per second, by owner and priority (0 and 7).
    std::array<std::array<int, 2>, 2> arrived {};
    std::array<std::array<int, 2>, 2> admitted {};
    int served = 0;
    std::size_t longestQueue = 0;

    static constexpr auto warmUp = 5s;
    static constexpr auto measured = 10s;

    void run(LoadShedder& shedder, base::RandomSource& random)
    {
        const base::SteadyTime start { 1000s };
        double work = 0;
        std::size_t queue = 0;
        for (auto now = start; now < start + warmUp + measured; now += 1ms) {
            const bool counts = now >= start + warmUp;
            for (std::size_t owner = 0; owner < 2; ++owner)
                for (std::size_t level = 0; level < 2; ++level)
                    for (double due = this->offered[owner][level] * 1e-3; due > 0; due -= 1)
                        if (random.unit() < due)
                            queue += this->arrive(shedder, owner, level, counts, now);
            work = queue == 0 ? 0 : work + this->capacity * 1e-3;
            for (; work >= 1 && queue > 0; work -= 1, --queue) {
                shedder.served(now);
                this->served += counts ? 1 : 0;
            }
            shedder.setQueued(queue);
            this->longestQueue = std::max(this->longestQueue, counts ? queue : 0);
        }
    }

    std::size_t arrive(LoadShedder& shedder, std::size_t owner, std::size_t level, bool counts, base::SteadyTime now)
    {
        const bool isAdmitted
            = shedder.admit(owners[owner], static_cast<std::uint8_t>(level == 0 ? 0 : 7), now).admitted();
        this->arrived[owner][level] += counts ? 1 : 0;
        this->admitted[owner][level] += counts && isAdmitted ? 1 : 0;
        return isAdmitted ? 1 : 0;
    }

    [[nodiscard]] double share(std::size_t owner) const
    {
        const double sum = this->admitted[owner][0] + this->admitted[owner][1];
        return sum / (this->capacity * 10);
    }

    [[nodiscard]] double demand(std::size_t owner) const
    {
        const double sum = this->arrived[owner][0] + this->arrived[owner][1];
        return sum / (this->capacity * 10);
    }

    [[nodiscard]] double goodput() const { return this->served / (this->capacity * 10); }
};

/** Runs a random load of up to four times the capacity; returns the violated rule, or an empty string. */
std::string runRandomLoad(std::uint64_t seed, const ShedderOptions& options)
{
    base::SeededRandom random { seed };
    ShedderRun run { .capacity = 100 + static_cast<double>(random.below(400)) };
    for (auto& rates : run.offered)
        for (auto& rate : rates)
            rate = run.capacity * random.unit();
    LoadShedder shedder { options };
    run.run(shedder, random);
    for (std::size_t owner = 0; owner < 2; ++owner)
        if (run.share(owner) < 0.9 * std::min(run.demand(owner), 0.5))
            return "owner gets less than its fair share";
    if (run.goodput() < 0.95 * std::min(run.demand(0) + run.demand(1), 1.0))
        return "capacity left unused";
    return "";
}

int countFailedRuns(int runs, const ShedderOptions& options)
{
    int failures = 0;
    for (int seed = 1; seed <= runs; ++seed) {
        const auto violation = runRandomLoad(static_cast<std::uint64_t>(seed), options);
        if (!violation.empty() && failures++ == 0)
            std::cout << "first failure: seed " << seed << ": " << violation << std::endl;
    }
    return failures;
}

} // namespace

// Guards against an owner that gets less than its fair share, and against unused capacity while requests are refused.
TEST(LoadShedderTest, OwnersKeepFairShareUnderRandomLoad)
{
    constexpr int runs = 500;
    std::cout << "seeds 1 to " << runs << std::endl;
    EXPECT_EQ(countFailedRuns(runs, {}), 0);
    EXPECT_GT(countFailedRuns(runs, { .fairOwners = false }), 0);
}

// Guards against reduced goodput and an unbounded queue at twice the capacity.
TEST(LoadShedderTest, GoodputHoldsAtTwiceTheCapacity)
{
    for (const bool enabled : { true, false }) {
        base::SeededRandom random { 5 };
        ShedderRun run { .capacity = 500, .offered = { { { 250, 250 }, { 250, 250 } } } };
        LoadShedder shedder { { .enabled = enabled } };
        run.run(shedder, random);
        EXPECT_GE(run.goodput(), 0.95);
        // 250 requests take 500 ms, five times the target delay of 100 ms.
        EXPECT_EQ(run.longestQueue <= 250, enabled) << run.longestQueue;
    }
}

// Guards against shares that ignore the weights of the owners.
TEST(LoadShedderTest, SharesFollowWeights)
{
    base::SeededRandom random { 6 };
    ShedderRun run { .capacity = 500, .offered = { { { 500, 500 }, { 500, 500 } } } };
    LoadShedder shedder { { .ownerWeights = { { "a", 1 }, { "b", 3 } } } };
    run.run(shedder, random);
    EXPECT_NEAR(run.share(0), 0.25, 0.05);
    EXPECT_NEAR(run.share(1), 0.75, 0.05);
}

// Guards against high-priority requests that are shed while low-priority ones of the same owner are admitted.
TEST(LoadShedderTest, ShedsLowPrioritiesFirst)
{
    for (const bool usePriorities : { true, false }) {
        base::SeededRandom random { 7 };
        ShedderRun run { .capacity = 500, .offered = { { { 400, 200 }, { 400, 200 } } } };
        LoadShedder shedder { { .usePriorities = usePriorities } };
        run.run(shedder, random);
        for (std::size_t owner = 0; owner < 2; ++owner) {
            const double important = static_cast<double>(run.admitted[owner][1]) / run.arrived[owner][1];
            EXPECT_EQ(important >= 0.95, usePriorities) << important;
        }
    }
}

// Guards against refused requests while the load is below the capacity.
TEST(LoadShedderTest, AdmitsEverythingBelowCapacity)
{
    base::SeededRandom random { 8 };
    ShedderRun run { .capacity = 500, .offered = { { { 200, 0 }, { 200, 0 } } } };
    LoadShedder shedder;
    run.run(shedder, random);
    EXPECT_EQ(run.admitted, run.arrived);
}

} // namespace chivewinch::limit
