#include "expert/group_model.hpp"

#include <gtest/gtest.h>

namespace chivewinch::expert {

namespace {

/** Group of three ranks on a reliable network that has completed a first step with the boot map. */
class DeciderTest : public testing::Test {
protected:
    GroupModel model { 3, mapRef(0, 0), {} };

    DeciderTest()
    {
        this->deliverAll();
        this->step();
    }

    void deliverAll()
    {
        while (!this->model.outbox.empty()) {
            for (const auto& packet : std::exchange(this->model.outbox, {}))
                this->model.deliver(packet);
        }
    }

    /** Runs one step. Returns false if the step does not complete on all ranks. */
    bool step()
    {
        this->model.nextStep();
        this->deliverAll();
        if (!this->model.stepComplete())
            return false;
        this->model.finishStep();
        return true;
    }

    ProposalStatus propose(const MapRef& map)
    {
        DeciderActions actions;
        const auto status = this->model.decider.propose(map, this->model.now, actions);
        for (const auto& action : actions)
            this->model.deliver({ .rank = action.rank, .content = action.message });
        this->deliverAll();
        return status;
    }

    void load(std::uint32_t rank, bool loaded)
    {
        this->model.finishLoad(rank, loaded);
        this->deliverAll();
    }

    [[nodiscard]] ProposalStatus status() const { return this->model.decider.change()->status; }
};

} // namespace

TEST_F(DeciderTest, MapComesIntoUseWithTheStepAfterTheLastLoad)
{
    EXPECT_EQ(this->propose(mapRef(1, 1)), ProposalStatus::Preparing);
    for (const std::uint32_t rank : { 0U, 1U, 2U }) {
        EXPECT_TRUE(this->step());
        EXPECT_EQ(this->model.engines[0].lastMap, mapRef(0, 0));
        this->load(rank, true);
    }
    EXPECT_TRUE(this->step());
    EXPECT_EQ(this->model.engines[2].lastMap, mapRef(1, 1));
    EXPECT_EQ(this->status(), ProposalStatus::InForce);
}

// Guards against a group that stalls because one rank never loads the map.
TEST_F(DeciderTest, OverdueChangeIsAbandonedWithoutHoldingSteps)
{
    (void)this->propose(mapRef(1, 1));
    this->load(0, true);
    this->load(1, true);
    for (int i = 0; i < 20; ++i) {
        EXPECT_TRUE(this->step());
        this->model.tick(std::chrono::milliseconds { 500 });
        this->deliverAll();
    }
    EXPECT_EQ(this->status(), ProposalStatus::TimedOut);
    EXPECT_EQ(this->model.decider.active(), mapRef(0, 0));
    EXPECT_EQ(this->model.engines[0].slots.size(), 1U) << "the abandoned map stays in memory";
    EXPECT_EQ(this->propose(mapRef(1, 2)), ProposalStatus::Preparing);
}

TEST_F(DeciderTest, FailedLoadAbandonsTheChange)
{
    (void)this->propose(mapRef(1, 1));
    this->load(1, false);
    EXPECT_EQ(this->status(), ProposalStatus::LoadFailed);
    EXPECT_TRUE(this->step());
}

TEST_F(DeciderTest, RestartedRankAbandonsTheChange)
{
    (void)this->propose(mapRef(1, 1));
    this->model.crashEngine(2);
    this->deliverAll();
    EXPECT_EQ(this->status(), ProposalStatus::RankRestarted);
    EXPECT_TRUE(this->step());
}

// Guards against a planner that resumes after a pause and overwrites the map of its successor.
TEST_F(DeciderTest, RefusesAnOlderPlannerAndAnOldVersion)
{
    EXPECT_EQ(this->propose(mapRef(2, 5)), ProposalStatus::Preparing);
    EXPECT_EQ(this->propose(mapRef(1, 6)), ProposalStatus::StaleFencing);
    EXPECT_EQ(this->propose(mapRef(2, 5)), ProposalStatus::Preparing);
    EXPECT_EQ(this->propose(mapRef(2, 6)), ProposalStatus::Busy);
    for (const std::uint32_t rank : { 0U, 1U, 2U })
        this->load(rank, true);
    EXPECT_TRUE(this->step());
    EXPECT_EQ(this->propose(mapRef(2, 5)), ProposalStatus::InForce);
    EXPECT_EQ(this->propose(mapRef(2, 4)), ProposalStatus::StaleVersion);
    EXPECT_EQ(this->propose(mapRef(3, 5)), ProposalStatus::StaleVersion);
}

TEST_F(DeciderTest, NewerPlannerSupersedesAChangeInProgress)
{
    (void)this->propose(mapRef(1, 1));
    this->load(0, true);
    EXPECT_EQ(this->propose(mapRef(2, 2)), ProposalStatus::Preparing);
    for (const std::uint32_t rank : { 0U, 1U, 2U })
        this->load(rank, true);
    EXPECT_TRUE(this->step());
    EXPECT_EQ(this->model.decider.active(), mapRef(2, 2));
}

// Guards against a late order of an older planner that reaches the engine. Engines that ignore fencing numbers would
// execute it.
TEST_F(DeciderTest, AgentKeepsLateOrdersOfAnOlderPlannerFromTheEngine)
{
    (void)this->propose(mapRef(2, 5));
    const auto& joined = this->model.engines[1].lastStep.term;
    const Prepare late { .term = joined, .map = mapRef(1, 6) };
    EXPECT_TRUE(this->model.agents[1].onMessage(late).empty());
    EXPECT_EQ(this->model.engines[1].loading, mapRef(2, 5));
}

} // namespace chivewinch::expert
