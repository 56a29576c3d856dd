#include "expert/held_group_model.hpp"

#include <gtest/gtest.h>

namespace chivewinch::expert {
namespace {

constexpr std::uint32_t heldRanks = 3;
constexpr std::uint64_t heldAt = 5;

/** A group whose ranks have loaded map 1 and whose next step is held. */
HeldGroup heldGroup()
{
    HeldGroup group { {}, heldRanks, 0 };
    group.step = heldAt - 1;
    for (auto& engine : group.engines)
        engine.prepared = engine.largestVersion = 1;
    group.engines.front().held = heldAt;
    group.changes = 1;
    return group;
}

void sendAll(HeldGroup& group, const std::vector<MapOrder>& orders)
{
    for (const auto& order : orders)
        (void)group.execute(order);
}

// Guards against an agent that arms ranks forever, and does not end, after another agent has completed the change.
TEST(HeldActivation, ArmingEndsAfterAnotherAgentHasCompletedTheChange)
{
    auto group = heldGroup();
    group.advanceFirst(group.currentReports());
    ASSERT_EQ(group.activation.phase(), ActivationPhase::Arming);
    sendAll(group, completeHeldChange(group.currentReports()));
    sendAll(group, completeHeldChange(group.currentReports()));
    ASSERT_TRUE(group.canStep());
    group.beginStep();
    group.advanceFirst(group.currentReports());
    EXPECT_TRUE(group.activation.idle());
    EXPECT_EQ(group.engines.back().version, 1U);
}

// Guards against a step that stays held because the agent waits for a later step that it has released.
TEST(HeldActivation, ReleasesAnEarlierStepThatIsHeldLate)
{
    auto group = heldGroup();
    group.step = heldAt - 2;
    sendAll(group, completeHeldChange(group.currentReports()));
    sendAll(group, completeHeldChange(group.currentReports()));
    group.engines.front().held = heldAt - 1;
    ASSERT_FALSE(group.canStep());
    EXPECT_EQ(completeHeldChange(group.currentReports()),
        (std::vector<MapOrder> { { .kind = MapOrderKind::Release, .epoch = 1, .step = heldAt - 1 } }));
    EXPECT_TRUE(group.recovers(3));
    EXPECT_FALSE(group.mixedMaps);
}

// Guards against a step that stays held because no loaded map differs from the map in use.
TEST(HeldActivation, AStepHeldForNoChangeIsUsedForTheNextOne)
{
    auto group = heldGroup();
    for (auto& engine : group.engines)
        engine.version = 1;
    EXPECT_TRUE(needsFurtherChange(group.currentReports()));
    EXPECT_TRUE(completeHeldChange(group.currentReports()).empty());
    EXPECT_TRUE(group.recovers(3));
    EXPECT_FALSE(group.mixedMaps);
    EXPECT_EQ(group.engines.front().version, 2U);
}

// Guards against a step that stays held because one rank is armed for a change that another rank has replaced.
TEST(HeldActivation, DisarmsARankWhoseChangeCannotBeCompleted)
{
    auto group = heldGroup();
    group.engines.back().armed = { .version = 1, .step = heldAt };
    group.engines[1].prepared = group.engines[1].largestVersion = 2;
    group.changes = 2;
    EXPECT_TRUE(needsFurtherChange(group.currentReports()));
    EXPECT_TRUE(group.recovers(3));
    EXPECT_FALSE(group.mixedMaps);
}

// Guards against a planned stop that waits for a step which begins only with the next request.
TEST(HeldActivation, NeedsNothingMoreOnceTheReleaseIsConfirmed)
{
    auto group = heldGroup();
    for (int round = 0; round < 3; ++round) {
        group.advanceFirst(group.currentReports());
        for (const auto& order : std::exchange(group.inFlight, {})) {
            if (group.execute(order))
                group.activation.confirm(order);
        }
    }
    EXPECT_TRUE(group.canStep());
    EXPECT_FALSE(group.activation.idle());
    EXPECT_TRUE(group.activation.canStop());
}

} // namespace
} // namespace chivewinch::expert
