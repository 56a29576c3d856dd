#include "gateway/dispatcher.hpp"

#include <gtest/gtest.h>

#include <map>
#include <set>

namespace chivewinch::gateway {
namespace {

using namespace std::chrono_literals;
using base::RefusalReason;
using base::SteadyTime;

class DispatcherTest : public testing::Test {
protected:
    DispatcherTest()
        : dispatcher { options(), this->random }
    {
    }

    static DispatcherOptions options()
    {
        DispatcherOptions options;
        options.router.useSubset = false;
        options.router.compareAll = true;
        options.router.spill.onlyWithoutLocalCapacity = false;
        return options;
    }

    static membership::ListedTarget target(const std::string& id, bool leaving = false)
    {
        return { .id = id,
            .pool = "p",
            .endpoint = { .address = "10.0.0.1", .port = 80 },
            .zone = "z",
            .capacity = 2,
            .leaving = leaving };
    }

    TargetRequest targetRequest(std::uint64_t id, std::vector<base::TargetId> excluded = {}) const
    {
        return { .id = { .low = id },
            .pool = "p",
            .team = "t",
            .excluded = std::move(excluded),
            .latestStart = this->now + 300ms };
    }

    SteadyTime now { 1h };
    base::SeededRandom random { 3 };
    Dispatcher dispatcher;
};

TEST_F(DispatcherTest, UsesTheLeastLoadedTarget)
{
    this->dispatcher.setTargets({ target("a"), target("b"), target("c") }, this->now);
    std::map<std::string, int> uses;
    for (std::uint64_t i = 0; i < 6; ++i)
        ++uses[this->dispatcher.request(this->targetRequest(i), {}, this->now).choice.value().target];
    for (const auto& [id, count] : uses)
        EXPECT_EQ(count, 2) << id;
}

// Guards against sending new requests to a target that the list shows as leaving or no longer contains.
TEST_F(DispatcherTest, SendsNoRequestsToLeavingTargets)
{
    this->dispatcher.setTargets({ target("a"), target("b", true) }, this->now);
    for (std::uint64_t i = 0; i < 2; ++i)
        EXPECT_EQ(this->dispatcher.request(this->targetRequest(i), {}, this->now).choice.value().target, "a");
    EXPECT_EQ(this->dispatcher.findUsable("b"), nullptr);
    this->dispatcher.setTargets({}, this->now);
    EXPECT_EQ(this->dispatcher.request(this->targetRequest(9), {}, this->now).reason, RefusalReason::NoTarget);
    EXPECT_EQ(this->dispatcher.findUsable("a"), nullptr);
}

// Load: all targets were restarted under new IDs, and the entries of their predecessors have not expired. Guards
// against sending half of the requests to targets that do not exist any more, where they are refused.
TEST_F(DispatcherTest, SendsNoRequestsToATargetThatAnotherHasReplaced)
{
    auto before = target("before");
    before.incarnation = base::Incarnation { 5 };
    auto after = target("after");
    after.incarnation = base::Incarnation { 6 };
    auto elsewhere = target("elsewhere");
    elsewhere.endpoint.port = 81;
    elsewhere.incarnation = base::Incarnation { 1 };
    this->dispatcher.setTargets({ before, elsewhere }, this->now);
    EXPECT_NE(this->dispatcher.findUsable("before"), nullptr);
    this->dispatcher.setTargets({ before, after, elsewhere }, this->now);
    EXPECT_EQ(this->dispatcher.findUsable("before"), nullptr);
    EXPECT_EQ(this->dispatcher.usableTargets("p"), (std::vector<base::TargetId> { "after", "elsewhere" }));
}

class GroupTest : public DispatcherTest {
protected:
    static membership::ListedTarget inGroup(const std::string& id, const std::string& group)
    {
        auto result = target(id);
        result.group = group;
        result.capacity = 20;
        return result;
    }

    std::set<std::string> usedTargets(int requests)
    {
        std::set<std::string> used;
        for (int i = 0; i < requests; ++i) {
            const auto reply = this->dispatcher.request(this->targetRequest(++this->requestCount), {}, this->now);
            if (reply.choice)
                used.insert(reply.choice->target);
        }
        return used;
    }

    const std::vector<membership::ListedTarget> listed { inGroup("a1", "a"), inGroup("a2", "a"), inGroup("b1", "b"),
        inGroup("b2", "b") };
    std::uint64_t requestCount = 0;
};

// Load: one of two groups has lost a rank, and all of its targets refuse at once. Guards against offering them half of
// the requests, which uses up the retries, while the other group can serve them.
TEST_F(GroupTest, SendsNoRequestsToAGroupThatCannotRun)
{
    this->dispatcher.setTargets(this->listed, this->now);
    EXPECT_TRUE(this->dispatcher.closeGroup("a1", this->now));
    EXPECT_FALSE(this->dispatcher.closeGroup("a2", this->now));
    EXPECT_EQ(this->usedTargets(8), (std::set<std::string> { "b1", "b2" }));
    this->dispatcher.setTargets(this->listed, this->now);
    EXPECT_EQ(this->usedTargets(8), (std::set<std::string> { "b1", "b2" }));
    this->now += 500ms;
    EXPECT_EQ(this->usedTargets(2), (std::set<std::string> { "a1", "a2" }));
}

// Guards against a pool that refuses everything because its last group was closed, and against closing targets that are
// in no group.
TEST_F(GroupTest, KeepsTheLastGroupOpen)
{
    this->dispatcher.setTargets({ inGroup("a1", "a"), inGroup("a2", "a"), target("c") }, this->now);
    EXPECT_FALSE(this->dispatcher.closeGroup("c", this->now));
    EXPECT_FALSE(this->dispatcher.closeGroup("unknown", this->now));
    this->dispatcher.setTargets(this->listed, this->now);
    EXPECT_TRUE(this->dispatcher.closeGroup("a1", this->now));
    EXPECT_FALSE(this->dispatcher.closeGroup("b1", this->now));
    EXPECT_EQ(this->usedTargets(4), (std::set<std::string> { "b1", "b2" }));
    this->dispatcher.setEvacuatedZones({ "z" }, this->now);
    EXPECT_FALSE(this->dispatcher.closeGroup("b1", this->now + 1s));
}

class EvacuationTest : public DispatcherTest {
protected:
    static membership::ListedTarget inZone(const std::string& id, const std::string& zone)
    {
        auto result = target(id);
        result.zone = zone;
        return result;
    }

    const std::vector<membership::ListedTarget> listed { inZone("a1", "a"), inZone("a2", "a"), inZone("b", "b") };
};

// Guards against a request that reaches an evacuated zone: a new one, one that has its target already but is not sent
// yet, or one after the list was read again. Trials of requests that crash targets use the same set of targets.
TEST_F(EvacuationTest, SendsNoRequestsToAnEvacuatedZone)
{
    this->dispatcher.setTargets(this->listed, this->now);
    this->dispatcher.setEvacuatedZones({ "a" }, this->now);
    EXPECT_EQ(this->dispatcher.findUsable("a1"), nullptr);
    EXPECT_EQ(this->dispatcher.usableTargets("p"), (std::vector<base::TargetId> { "b" }));
    EXPECT_EQ(this->dispatcher.request(this->targetRequest(1), {}, this->now).choice.value().target, "b");
    auto longer = this->listed;
    longer.push_back(inZone("a3", "a"));
    this->dispatcher.setTargets(longer, this->now);
    EXPECT_EQ(this->dispatcher.findUsable("a3"), nullptr);
    EXPECT_TRUE(this->dispatcher.markTargetLeaving("a2", {}, this->now));
    EXPECT_EQ(this->dispatcher.request(this->targetRequest(2), {}, this->now).choice.value().target, "b");
    EXPECT_FALSE(this->dispatcher.request(this->targetRequest(3), {}, this->now).choice);
}

// Guards against a waiting request that gets a place in an evacuated zone when one becomes free there.
TEST_F(EvacuationTest, WaitingRequestsGoToOtherZones)
{
    this->dispatcher.setTargets(this->listed, this->now);
    for (std::uint64_t i = 0; i < 6; ++i)
        ASSERT_TRUE(this->dispatcher.request(this->targetRequest(i), {}, this->now).choice);
    std::optional<routing::Choice> granted;
    const auto reply = this->dispatcher.request(
        this->targetRequest(9), [&](const auto& choice) { granted = choice; }, this->now);
    ASSERT_EQ(reply.reason, RefusalReason::None);
    this->dispatcher.setEvacuatedZones({ "a" }, this->now);
    this->dispatcher.finished("p", "a1", routing::Result::Success, this->now + 1ms);
    EXPECT_FALSE(granted);
    this->dispatcher.finished("p", "b", routing::Result::Success, this->now + 2ms);
    ASSERT_TRUE(granted);
    EXPECT_EQ(granted->target, "b");
}

// Guards against keeping callers waiting while no zone is left, and against a zone that stays unused after its
// evacuation.
TEST_F(EvacuationTest, RefusesAtOnceWithoutAZoneAndReturnsToIt)
{
    this->dispatcher.setTargets(this->listed, this->now);
    this->dispatcher.setEvacuatedZones({ "a", "b" }, this->now);
    EXPECT_EQ(this->dispatcher.request(this->targetRequest(1), {}, this->now).reason, RefusalReason::NoTarget);
    this->dispatcher.setEvacuatedZones({ "b" }, this->now);
    EXPECT_EQ(this->dispatcher.usableTargets("p"), (std::vector<base::TargetId> { "a1", "a2" }));
    EXPECT_TRUE(this->dispatcher.request(this->targetRequest(2), {}, this->now).choice);
}

// Guards against a flood after an evacuation: the targets of the zone may be cold before their reports say so.
TEST_F(EvacuationTest, LimitsTheZoneAfterItsEvacuation)
{
    auto& limits = this->dispatcher.targetLimits();
    limits.coldTargets().setRates({ { "p", { .requestsPerSecond = 2, .duration = 3s } } }, this->now);
    this->dispatcher.setTargets(this->listed, this->now);
    this->dispatcher.setEvacuatedZones({ "a" }, this->now);
    EXPECT_FALSE(limits.isLimited("a1"));
    this->dispatcher.setEvacuatedZones({}, this->now);
    EXPECT_TRUE(limits.isLimited("a1"));
    EXPECT_FALSE(limits.isLimited("b"));
    limits.advance(this->now + 3s);
    EXPECT_FALSE(limits.isLimited("a1"));
}

// Load: a target that is cold and has no requests looks least loaded to all entries. Guards against sending it all of
// them.
TEST_F(EvacuationTest, SendsAColdTargetOnlyWhatItTolerates)
{
    auto& limits = this->dispatcher.targetLimits();
    limits.setMembers({ { .instance = {}, .zone = "a" } }, this->now);
    limits.coldTargets().setRates({ { "p", { .requestsPerSecond = 2, .duration = 3s } } }, this->now);
    this->dispatcher.setTargets(this->listed, this->now);
    auto cold = this->listed.front();
    cold.coldFor = 2s;
    this->dispatcher.recordColdTime(cold, this->now);
    std::map<std::string, int> uses;
    for (std::uint64_t i = 0; i < 5; ++i)
        ++uses[this->dispatcher.request(this->targetRequest(i), {}, this->now).choice.value().target];
    EXPECT_EQ(uses, (std::map<std::string, int> { { "a1", 1 }, { "a2", 2 }, { "b", 2 } }));
}

// Guards against using a target that has reported that it leaves, when an older list still shows it, or shows it again
// after the target has left.
TEST_F(DispatcherTest, ExcludesATargetThatReportedLeaving)
{
    const std::vector listed { target("a"), target("b") };
    this->dispatcher.setTargets(listed, this->now);
    EXPECT_TRUE(this->dispatcher.markTargetLeaving("b", {}, this->now));
    EXPECT_FALSE(this->dispatcher.markTargetLeaving("b", {}, this->now));
    EXPECT_EQ(this->dispatcher.findUsable("b"), nullptr);
    this->dispatcher.setTargets(listed, this->now + 1s);
    EXPECT_EQ(this->dispatcher.findUsable("b"), nullptr);
    this->dispatcher.setTargets({ target("a") }, this->now + 2s);
    this->dispatcher.setTargets(listed, this->now + 20s);
    EXPECT_EQ(this->dispatcher.findUsable("b"), nullptr);
    // The notice does not apply to the next incarnation.
    auto next = target("b");
    next.incarnation = base::Incarnation { 7 };
    this->dispatcher.setTargets({ target("a"), next }, this->now + 21s);
    EXPECT_NE(this->dispatcher.findUsable("b"), nullptr);
}

// Guards against sending requests to a target that has asked for none, before and after the list is read again.
TEST_F(DispatcherTest, SkipsAClosedTargetUntilItReopens)
{
    const std::vector listed { target("a"), target("b") };
    this->dispatcher.setTargets(listed, this->now);
    this->dispatcher.markTargetClosed("a", {}, this->now + 2s, this->now);
    this->dispatcher.setTargets(listed, this->now);
    EXPECT_EQ(this->dispatcher.request(this->targetRequest(1), {}, this->now).choice.value().target, "b");
    EXPECT_EQ(this->dispatcher.request(this->targetRequest(2), {}, this->now).choice.value().target, "b");
    EXPECT_EQ(this->dispatcher.request(this->targetRequest(3), {}, this->now).reason, RefusalReason::None);
    this->now += 2s;
    EXPECT_EQ(this->dispatcher.request(this->targetRequest(4), {}, this->now).choice.value().target, "a");
}

// Guards against telling callers the times of an earlier limit: each refused caller gets the next free turn.
TEST_F(DispatcherTest, PlansReturnsForTheCurrentLimitOnly)
{
    auto& limits = this->dispatcher.targetLimits();
    limits.setMembers({ { .instance = {}, .zone = "z" } }, this->now);
    this->dispatcher.setTargets({ target("a") }, this->now);
    limits.observe("a", {}, 0.5, this->now, this->now);
    EXPECT_EQ(this->dispatcher.request(this->targetRequest(1), {}, this->now).choice.value().target, "a");
    EXPECT_EQ(this->dispatcher.request(this->targetRequest(2), {}, this->now).reason, RefusalReason::TargetLimit);
    EXPECT_EQ(this->dispatcher.retryAfter("p", 9s, this->now), 2s);
    EXPECT_EQ(this->dispatcher.retryAfter("p", 9s, this->now), 4s);
    EXPECT_EQ(this->dispatcher.retryAfter("p", 9s, this->now), 6s);
    this->now += 1s;
    limits.observe("a", {}, std::nullopt, this->now, this->now);
    EXPECT_LE(this->dispatcher.retryAfter("p", 9s, this->now), 1s);
    limits.observe("a", {}, 1, this->now + 1ms, this->now + 1ms);
    this->now += 1ms;
    while (limits.mayStart("a", this->now))
        limits.recordStart("a", this->now);
    EXPECT_LE(this->dispatcher.retryAfter("p", 9s, this->now), 1s);
}

// Guards against queueing callers while all targets are closed, and against asking them to retry before one reopens.
TEST_F(DispatcherTest, RefusesAtOnceWhileAllTargetsAreClosed)
{
    this->dispatcher.setTargets({ target("a"), target("b") }, this->now);
    this->dispatcher.markTargetClosed("a", {}, this->now + 5s, this->now);
    this->dispatcher.markTargetClosed("b", {}, this->now + 3s, this->now);
    EXPECT_EQ(this->dispatcher.request(this->targetRequest(1), {}, this->now).reason, RefusalReason::NoTarget);
    EXPECT_GE(this->dispatcher.retryAfter("p", 1s, this->now), 3s);
    EXPECT_LE(this->dispatcher.retryAfter("p", 1s, this->now), 4s);
}

TEST_F(DispatcherTest, ExcludesTargetsThatWereTried)
{
    this->dispatcher.setTargets({ target("a"), target("b") }, this->now);
    EXPECT_EQ(this->dispatcher.request(this->targetRequest(1, { "a" }), {}, this->now).choice.value().target, "b");
}

TEST_F(DispatcherTest, AssignsAFreedTargetToAWaitingRequest)
{
    this->dispatcher.setTargets({ target("a") }, this->now);
    const auto first = this->dispatcher.request(this->targetRequest(1), {}, this->now);
    const auto second = this->dispatcher.request(this->targetRequest(2), {}, this->now);
    ASSERT_TRUE(first.choice && second.choice);
    std::optional<routing::Choice> granted;
    const auto third = this->dispatcher.request(
        this->targetRequest(3), [&](const auto& choice) { granted = choice; }, this->now);
    EXPECT_FALSE(third.choice);
    EXPECT_EQ(third.reason, RefusalReason::None);
    this->dispatcher.finished("p", "a", routing::Result::Success, this->now + 10ms);
    ASSERT_TRUE(granted);
    EXPECT_EQ(granted->target, "a");
}

// Guards against keeping a request in the queue although it can no longer start in time.
TEST_F(DispatcherTest, RefusesAWaitingRequestAfterItsLatestStart)
{
    this->dispatcher.setTargets({ target("a") }, this->now);
    (void)this->dispatcher.request(this->targetRequest(1), {}, this->now);
    (void)this->dispatcher.request(this->targetRequest(2), {}, this->now);
    int refusals = 0;
    (void)this->dispatcher.request(
        this->targetRequest(3), [&](const auto& choice) { refusals += choice ? 0 : 1; }, this->now);
    this->dispatcher.advance(this->now + 200ms);
    EXPECT_EQ(refusals, 0);
    this->dispatcher.advance(this->now + 301ms);
    EXPECT_EQ(refusals, 1);
    EXPECT_EQ(this->dispatcher.waitingCount(), 0U);
}

// Guards against giving callers that are refused together the same retry time, and a retry time that callers ignore.
TEST_F(DispatcherTest, SpreadsTheRetriesOfRefusedCallers)
{
    auto earliest = 1'000'000ms;
    auto latest = 0ms;
    for (int i = 0; i < 200; ++i) {
        const auto time = this->dispatcher.retryAfter("p", 8s, this->now);
        earliest = std::min(earliest, time);
        latest = std::max(latest, time);
        EXPECT_LE(this->dispatcher.retryAfter("p", 300ms, this->now), 100ms);
    }
    EXPECT_GE(earliest, 100ms);
    EXPECT_LE(latest, 800ms);
    EXPECT_GT(latest - earliest, 500ms);
}

// Guards against a caller's only retry falling into the same outage: a group that has lost a rank is unavailable for
// seconds, during which every target refuses at once.
TEST_F(DispatcherTest, AsksCallersToWaitLongerDuringAnOutage)
{
    this->dispatcher.setTargets({ target("a") }, this->now);
    for (std::uint64_t i = 0; i < 4; ++i) {
        (void)this->dispatcher.request(this->targetRequest(i), {}, this->now);
        this->dispatcher.finished("p", "a", routing::Result::Refused, this->now);
    }
    for (int i = 0; i < 100; ++i) {
        EXPECT_GE(this->dispatcher.retryAfter("p", 8s, this->now), 2s);
        EXPECT_LE(this->dispatcher.retryAfter("p", 8s, this->now), 8'000ms / 3);
    }
    (void)this->dispatcher.request(this->targetRequest(9), {}, this->now);
    this->dispatcher.finished("p", "a", routing::Result::Success, this->now);
    EXPECT_LE(this->dispatcher.retryAfter("p", 8s, this->now), 800ms);
}

} // namespace
} // namespace chivewinch::gateway
