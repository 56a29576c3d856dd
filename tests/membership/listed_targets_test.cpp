#include "membership/listed_targets.hpp"

#include <gtest/gtest.h>

namespace chivewinch::membership {
namespace {

using namespace std::chrono_literals;
using base::SteadyTime;

constexpr SteadyTime start { 1h };

ListedTarget target(const std::string& id, bool leaving = false)
{
    return { .id = id, .pool = "p", .endpoint = { .address = "10.0.0.1", .port = 80 }, .leaving = leaving };
}

TEST(ListedTargets, RemovesAtOnceWhileListIsReachable)
{
    ListedTargets targets;
    targets.replace({ target("a"), target("b") }, start);
    targets.remove("a", start + 1s);
    EXPECT_EQ(targets.find("a"), nullptr);
    targets.replace({}, start + 2s);
    EXPECT_TRUE(targets.snapshot().empty());
}

// Guards against requests that are refused because every entry expired during an outage of the list.
TEST(ListedTargets, KeepsExpiredEntriesDuringRecoveryTime)
{
    ListedTargets targets;
    targets.replace({ target("a"), target("b") }, start);
    targets.markDisconnected(start + 1s);
    targets.markReconnected(start + 6s, start + 5s + 600ms);
    targets.replace({}, start + 6s);
    EXPECT_NE(targets.find("a"), nullptr);
    targets.put(target("a"), start + 7s);
    targets.advance(start + 8s);
    EXPECT_NE(targets.find("b"), nullptr);
    targets.advance(start + 8s + 400ms);
    EXPECT_NE(targets.find("a"), nullptr);
    EXPECT_EQ(targets.find("b"), nullptr);
}

// Guards against work for a target that was leaving before the outage of the list or leaves during the recovery time.
TEST(ListedTargets, DropsLeavingTargetsAlsoAfterAnOutage)
{
    ListedTargets targets;
    targets.replace({ target("a", true), target("b") }, start);
    targets.markDisconnected(start);
    targets.markReconnected(start + 6s, start + 5s + 600ms);
    targets.remove("a", start + 6s);
    EXPECT_EQ(targets.find("a"), nullptr);
    targets.put(target("b", true), start + 6s);
    ASSERT_NE(targets.find("b"), nullptr);
    EXPECT_TRUE(targets.find("b")->leaving);
    targets.remove("b", start + 7s);
    EXPECT_EQ(targets.find("b"), nullptr);
}

// Guards against a keepExpired option without effect: with the option off, expired entries are removed at once.
TEST(ListedTargets, RemovesExpiredEntriesWithoutKeepExpired)
{
    ListedTargets targets { { .keepExpired = false } };
    targets.replace({ target("a") }, start);
    targets.markDisconnected(start);
    targets.markReconnected(start + 6s, start + 5s + 600ms);
    targets.replace({}, start + 6s);
    EXPECT_EQ(targets.find("a"), nullptr);
}

// Guards against removed entries that are kept for seconds after an outage too short for any entry to expire.
TEST(ListedTargets, ShortOutageKeepsNoRemovedEntry)
{
    ListedTargets targets;
    targets.replace({ target("a") }, start);
    targets.markDisconnected(start);
    targets.markReconnected(start + 100ms, start);
    targets.remove("a", start + 200ms);
    EXPECT_EQ(targets.find("a"), nullptr);
}

// Guards against a process whose own cut looks like an outage of the list, and that sends work to a target that left
// meanwhile although it has been in contact for the whole bound: the later its next call, the longer it did.
TEST(ListedTargets, DropsAMissingTargetBeforeTheProcessIsInContactAgain)
{
    constexpr auto contactBound = 3s;
    constexpr auto tick = 50ms;
    for (auto untilNextCall = 0ms; untilNextCall <= 1'200ms; untilNextCall += 10ms) {
        ListedTargets targets;
        targets.replace({ target("a") }, start);
        targets.markDisconnected(start);
        // The cut ends right after the beginning of a call, which fails.
        const auto endOfCut = start + 2s;
        const auto reconnected = endOfCut + untilNextCall;
        targets.markReconnected(reconnected, endOfCut);
        targets.remove("a", reconnected);
        auto now = reconnected;
        for (; targets.find("a"); now += tick)
            targets.advance(now + tick);
        EXPECT_LT(now, endOfCut + contactBound) << untilNextCall.count();
    }
}

// Guards against a target whose entry expired in an outage of the list, and that gets no work although it registers
// again within two seconds of the list's return, whenever that comes between two calls.
TEST(ListedTargets, KeepsWorkForTargetsThatRegisterAgain)
{
    constexpr auto callGap = 700ms;
    const auto failedCall = start + 5s;
    for (auto untilReturn = 0ms; untilReturn <= callGap; untilReturn += 10ms) {
        const auto returned = failedCall + untilReturn;
        ListedTargets targets;
        targets.replace({ target("a") }, start);
        targets.markDisconnected(start);
        targets.markReconnected(failedCall + callGap, failedCall);
        targets.replace({}, failedCall + callGap);
        targets.advance(returned + 2s - 1ms);
        EXPECT_NE(targets.find("a"), nullptr) << untilReturn.count();
        targets.put(target("a"), returned + 2s);
        targets.advance(returned + 10s);
        EXPECT_NE(targets.find("a"), nullptr) << untilReturn.count();
    }
}

// Guards against removed targets that are kept although their entries cannot have expired, and against a zone whose
// expired targets are dropped because the list was available to another zone.
TEST(ListedTargets, RemovesMissingTargetsByZone)
{
    ListedTargets targets;
    auto far = target("b");
    far.zone = "far";
    targets.replace({ target("a"), far, target("c") }, start);
    targets.markDisconnected(start);
    targets.markReconnected(start + 5s, start + 4s + 900ms);
    targets.replace({ target("c") }, start + 5s);
    EXPECT_EQ(targets.zonesWithMissing(), (std::set<base::ZoneId> { "", "far" }));
    const auto version = targets.version();
    EXPECT_EQ(targets.removeMissing("far"), 1U);
    EXPECT_EQ(targets.removeMissing("far"), 0U);
    EXPECT_EQ(targets.version(), version + 1);
    EXPECT_EQ(targets.find("b"), nullptr);
    EXPECT_NE(targets.find("a"), nullptr);
    EXPECT_NE(targets.find("c"), nullptr);
}

} // namespace
} // namespace chivewinch::membership
