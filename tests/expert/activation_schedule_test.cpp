#include "base/random.hpp"
#include "expert/group_model.hpp"
#include "support/schedules.hpp"

#include <gtest/gtest.h>

#include <array>
#include <cstdlib>
#include <iostream>

namespace chivewinch::expert {

namespace {

constexpr std::uint64_t schedules = support::schedulesToRun(50'000);
constexpr std::uint32_t actionsPerSchedule = 300;
constexpr std::size_t maxInFlight = 60;

/** One random schedule: a phase with faults, then a phase without faults in which the group must make progress. */
class Schedule {
public:
    Schedule(std::uint64_t seed, ActivationChecks checks)
        : random { seed }
        , crashesPerThousand { std::array<std::uint64_t, 4> { 0, 2, 5, 20 }[this->random.below(4)] }
        , model { static_cast<std::uint32_t>(2 + this->random.below(3)), mapRef(0, 0), checks }
    {
    }

    std::string run()
    {
        for (std::uint32_t i = 0; i < actionsPerSchedule && this->model.checker.violation.empty(); ++i)
            this->step();
        this->changedUnderFaults = this->model.checker.newest.version > 0;
        this->runWithoutFaults();
        return this->model.checker.violation;
    }

    [[nodiscard]] std::uint64_t completed() const { return this->model.checker.completed; }
    [[nodiscard]] bool changed() const { return this->changedUnderFaults; }

private:
    void collect()
    {
        for (auto& packet : this->model.outbox)
            this->network.push_back(std::move(packet));
        this->model.outbox.clear();
        while (this->network.size() > maxInFlight)
            this->network.erase(
                this->network.begin() + static_cast<std::ptrdiff_t>(this->random.below(this->network.size())));
    }

    void deliverOne()
    {
        if (this->network.empty())
            return;
        const auto index = this->random.below(this->network.size());
        const auto packet = this->network[index];
        const bool keepCopy = this->random.below(6) == 0;
        const bool lost = this->random.below(12) == 0;
        if (!keepCopy)
            this->network.erase(this->network.begin() + static_cast<std::ptrdiff_t>(index));
        if (!lost)
            this->model.deliver(packet);
    }

    // Proposes a map as one of two planners that both act as the lease holder. The planner with the smaller fencing
    // number may propose from an outdated map.
    void propose()
    {
        const auto fencing = 1 + this->random.below(2);
        const auto base = std::max(this->model.decider.active().version, this->model.record.version);
        const auto version = base + 1 + this->random.below(2);
        this->network.push_back(this->model.recordProposal(mapRef(fencing, version)));
    }

    void crash()
    {
        const auto rank = static_cast<std::uint32_t>(this->random.below(this->model.size()));
        switch (this->random.below(3)) {
        case 0:
            this->model.crashDecider();
            break;
        case 1:
            this->model.crashAgent(rank);
            break;
        default:
            this->model.crashEngine(rank);
        }
    }

    void step()
    {
        const auto choice = this->random.below(100);
        const auto rank = static_cast<std::uint32_t>(this->random.below(this->model.size()));
        if (this->random.below(1000) < this->crashesPerThousand)
            this->crash();
        else if (choice < 73)
            this->deliverOne();
        else if (choice < 82)
            this->model.finishLoad(rank, this->random.below(20) != 0);
        else if (choice < 96)
            this->advance();
        else if (choice < 98)
            this->propose();
        else
            this->model.tick(std::chrono::milliseconds { 500 });
        this->collect();
        if (this->crashesPerThousand == 0)
            this->checkRefusals();
    }

    void advance()
    {
        if (this->model.stepComplete())
            this->model.finishStep();
        else
            this->model.nextStep();
    }

    // Without restarts every step header must name a map that its receiver has loaded.
    void checkRefusals()
    {
        for (const auto& agent : this->model.agents) {
            if (agent.refusedHeaders() > 0)
                this->model.checker.fail("header named a map that a rank had not loaded");
        }
    }

    void faultFreeRound()
    {
        this->model.tick(std::chrono::milliseconds { 500 });
        for (std::uint32_t i = 0; i < 4; ++i) {
            this->collect();
            for (const auto& packet : std::exchange(this->network, {}))
                this->model.deliver(packet);
            for (std::uint32_t rank = 0; rank < this->model.size(); ++rank)
                this->model.finishLoad(rank, true);
        }
        this->collect();
        this->advance();
        this->advance();
    }

    // Checks that after the last fault steps continue and the newest planner can change the map.
    void runWithoutFaults()
    {
        constexpr std::uint32_t faultFreeRounds = 12;
        for (std::uint32_t i = 0; i < faultFreeRounds; ++i)
            this->faultFreeRound();
        const auto before = this->model.checker.completed;
        const auto wanted = mapRef(3, std::max(this->model.decider.active().version, this->model.record.version) + 1);
        this->model.deliver(this->model.recordProposal(wanted));
        for (std::uint32_t i = 0; i < faultFreeRounds; ++i)
            this->faultFreeRound();
        if (this->model.checker.completed < before + faultFreeRounds / 2)
            this->model.checker.fail("group stalled after the faults were over");
        if (this->model.checker.newest != wanted)
            this->model.checker.fail("proposal did not come into force after the faults were over");
    }

    base::SeededRandom random;
    std::uint64_t crashesPerThousand;
    bool changedUnderFaults = false;
    GroupModel model;
    std::vector<Packet> network;
};

std::uint64_t firstSeed()
{
    const auto* text = std::getenv("EXPERT_SEED");
    return text == nullptr ? 1 : std::strtoull(text, nullptr, 10);
}

/** Returns the seed of the first schedule that breaks the named invariant; nullopt if none does. */
std::optional<std::uint64_t> firstViolation(ActivationChecks checks, std::string_view invariant)
{
    for (auto seed = firstSeed(); seed < firstSeed() + schedules; ++seed) {
        if (Schedule { seed, checks }.run() == invariant) {
            std::cout << "seed " << seed << ": " << invariant << "\n";
            return seed;
        }
    }
    return std::nullopt;
}

} // namespace

// Guards against two maps in one step, steps out of order, maps of a stale planner and stalls. The schedules lose,
// delay and duplicate messages, pause processes (by not selecting them for a while) and crash the decider, agents and
// engines. EXPERT_SEED=n sets the first seed.
TEST(ActivationScheduleTest, AllRanksUseTheSameMapInEveryStep)
{
    std::uint64_t steps = 0;
    std::uint64_t changed = 0;
    for (auto seed = firstSeed(); seed < firstSeed() + schedules; ++seed) {
        Schedule schedule { seed, {} };
        ASSERT_EQ(schedule.run(), "") << "seed " << seed;
        steps += schedule.completed();
        changed += schedule.changed() ? 1 : 0;
    }
    std::cout << "schedules " << schedules << " from seed " << firstSeed() << ", completed steps " << steps
              << ", schedules with a change under faults " << changed << "\n";
    EXPECT_GT(steps, schedules);
}

// Guards against invariants that cannot fail: in this test and the next three, one or two safety checks are switched
// off and the corresponding invariant must break.
TEST(ActivationScheduleTest, FindsMixedMapsWithoutTheHeldMapCheck)
{
    EXPECT_TRUE(firstViolation({ .allPrepared = false, .heldMap = false }, "two maps in one step"));
}

TEST(ActivationScheduleTest, FindsAnUnloadedMapWithoutTheAllPreparedRule)
{
    EXPECT_TRUE(firstViolation({ .allPrepared = false }, "header named a map that a rank had not loaded"));
}

TEST(ActivationScheduleTest, FindsAStalePlannerWithoutFencing)
{
    EXPECT_TRUE(firstViolation({ .fencing = false }, "map of an older planner replaced a newer one"));
}

TEST(ActivationScheduleTest, FindsOldStepsWithoutTheTermCheck)
{
    EXPECT_TRUE(firstViolation({ .term = false }, "rank ran an older step after a newer one"));
}

} // namespace chivewinch::expert
