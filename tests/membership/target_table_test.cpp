#include "membership/target_table.hpp"

#include <gtest/gtest.h>

namespace chivewinch::membership {

using namespace std::chrono_literals;

class TargetTableTest : public testing::Test {
protected:
    base::ManualClock clock;
    TargetTable table;

    ApplyResult applyEvent(EventKind kind, std::uint64_t incarnation, std::uint64_t sequence = 0,
        TargetState state = TargetState::Live, const char* target = "t1")
    {
        return this->table.apply({ .kind = kind,
                                     .target = target,
                                     .zone = "a",
                                     .incarnation = base::Incarnation { incarnation },
                                     .sequence = sequence,
                                     .state = state },
            this->clock.now());
    }

    void advanceBy(std::chrono::nanoseconds duration)
    {
        for (auto rest = duration; rest > 0ns; rest -= 100ms) {
            this->clock.advance(std::min<std::chrono::nanoseconds>(rest, 100ms));
            this->table.advance(this->clock.now());
        }
    }

    TargetState state(const char* target = "t1")
    {
        for (const auto& view : this->table.snapshot())
            if (view.target == target)
                return view.state;
        return TargetState::Count;
    }
};

// Guards against work for a target that has sent only a hello.
TEST_F(TargetTableTest, IsUsableFromFirstHeartbeatOn)
{
    this->applyEvent(EventKind::Hello, 5);
    EXPECT_EQ(this->state(), TargetState::Joining);
    EXPECT_TRUE(this->table.usable("a").empty());
    this->applyEvent(EventKind::Heartbeat, 5, 1);
    EXPECT_EQ(this->table.usable("a").size(), 1U);
    EXPECT_TRUE(this->table.usable("b").empty());
}

// Guards against work for a silent target while another one is available.
TEST_F(TargetTableTest, SilenceLeadsToSuspectThenGone)
{
    for (const auto* target : { "t1", "t2", "t3" })
        this->applyEvent(EventKind::Heartbeat, 5, 1, TargetState::Live, target);
    for (std::uint64_t second = 1; second <= 12; ++second) {
        this->advanceBy(1s);
        this->applyEvent(EventKind::Heartbeat, 5, 1 + second, TargetState::Live, "t2");
        this->applyEvent(EventKind::Heartbeat, 5, 1 + second, TargetState::Live, "t3");
        EXPECT_EQ(this->state(),
            second < 3        ? TargetState::Live
                : second < 10 ? TargetState::Suspect
                              : TargetState::Gone)
            << second;
        EXPECT_EQ(this->table.usable("a").size(), second < 3 ? 3U : 2U);
    }
    this->applyEvent(EventKind::Heartbeat, 5, 2);
    EXPECT_EQ(this->state(), TargetState::Live);
}

// Guards against a target that becomes live again after its goodbye through a late heartbeat.
TEST_F(TargetTableTest, OnlyLargerIncarnationReturnsAfterGoodbye)
{
    this->applyEvent(EventKind::Heartbeat, 5, 1);
    this->applyEvent(EventKind::Goodbye, 5);
    EXPECT_EQ(this->state(), TargetState::Leaving);
    EXPECT_EQ(this->applyEvent(EventKind::Heartbeat, 5, 2), ApplyResult::AlreadyLeft);
    EXPECT_EQ(this->state(), TargetState::Leaving);
    this->advanceBy(10s);
    EXPECT_EQ(this->state(), TargetState::Gone);
    EXPECT_EQ(this->applyEvent(EventKind::Heartbeat, 5, 3), ApplyResult::AlreadyLeft);
    EXPECT_EQ(this->applyEvent(EventKind::Heartbeat, 4, 9), ApplyResult::StaleIncarnation);
    EXPECT_EQ(this->state(), TargetState::Gone);
    this->applyEvent(EventKind::Heartbeat, 6, 1);
    EXPECT_EQ(this->state(), TargetState::Live);
}

// Guards against a goodbye that is ignored because the target is already gone.
TEST_F(TargetTableTest, GoodbyeCountsAfterSilence)
{
    for (const auto* target : { "t1", "t2", "t3" })
        this->applyEvent(EventKind::Heartbeat, 5, 1, TargetState::Live, target);
    for (std::uint64_t second = 1; second <= 11; ++second) {
        this->advanceBy(1s);
        this->applyEvent(EventKind::Heartbeat, 5, 1 + second, TargetState::Live, "t2");
        this->applyEvent(EventKind::Heartbeat, 5, 1 + second, TargetState::Live, "t3");
    }
    EXPECT_EQ(this->state(), TargetState::Gone);
    this->applyEvent(EventKind::Goodbye, 5);
    this->applyEvent(EventKind::Heartbeat, 5, 2);
    EXPECT_EQ(this->state(), TargetState::Gone);
}

// Guards against a restarted target that never gets work again because of a list entry of its previous incarnation.
TEST_F(TargetTableTest, LateListNoticeOnlyStopsNewWorkForRestartedTarget)
{
    this->applyEvent(EventKind::Heartbeat, 5, 1);
    this->applyEvent(EventKind::Heartbeat, 6, 1);
    this->applyEvent(EventKind::ListedLeaving, 0);
    EXPECT_EQ(this->state(), TargetState::Live);
    EXPECT_TRUE(this->table.usable("a").empty());
    this->applyEvent(EventKind::ListedLive, 0);
    EXPECT_EQ(this->table.usable("a").size(), 1U);
}

TEST_F(TargetTableTest, ListNoticeMakesLongRunningTargetLeave)
{
    this->applyEvent(EventKind::Heartbeat, 5, 1);
    this->advanceBy(60s);
    this->applyEvent(EventKind::Heartbeat, 5, 2);
    this->applyEvent(EventKind::ListedLeaving, 0);
    EXPECT_EQ(this->state(), TargetState::Leaving);
    this->applyEvent(EventKind::ListedLive, 0);
    EXPECT_EQ(this->state(), TargetState::Leaving);
}

// Guards against an old answer that makes a suspect target live.
TEST_F(TargetTableTest, OnlyAnswerToLaterAttemptRevivesSuspect)
{
    this->applyEvent(EventKind::Heartbeat, 5, 1);
    const auto early = this->clock.now();
    this->advanceBy(4s);
    ASSERT_EQ(this->state(), TargetState::Suspect);
    Event answer {
        .kind = EventKind::Answer, .target = "t1", .incarnation = base::Incarnation { 5 }, .started = early
    };
    this->table.apply(answer, this->clock.now());
    EXPECT_EQ(this->state(), TargetState::Suspect);
    answer.started = this->clock.now();
    this->table.apply(answer, this->clock.now());
    EXPECT_EQ(this->state(), TargetState::Live);
}

// Guards against targets that are marked as gone because their heartbeats were lost while this process was paused.
TEST_F(TargetTableTest, PauseOfThisProcessMakesNoTargetGone)
{
    for (const bool excludePause : { true, false }) {
        this->table = TargetTable { { .excludePause = excludePause } };
        for (const auto* target : { "t1", "t2", "t3" })
            this->applyEvent(EventKind::Heartbeat, 5, 1, TargetState::Live, target);
        this->clock.advance(11s);
        this->applyEvent(EventKind::Heartbeat, 5, 2, TargetState::Live, "t2");
        this->applyEvent(EventKind::Heartbeat, 5, 2, TargetState::Live, "t3");
        this->table.advance(this->clock.now());
        EXPECT_EQ(this->state(), excludePause ? TargetState::Suspect : TargetState::Gone);
    }
}

// Guards against a table that grows with every instance that ever existed.
TEST_F(TargetTableTest, RemovesTargetsGoneForLong)
{
    this->applyEvent(EventKind::Heartbeat, 5, 1);
    this->applyEvent(EventKind::Goodbye, 5);
    this->advanceBy(11s);
    EXPECT_EQ(this->table.snapshot().size(), 1U);
    this->advanceBy(3600s);
    EXPECT_TRUE(this->table.snapshot().empty());
}

} // namespace chivewinch::membership
