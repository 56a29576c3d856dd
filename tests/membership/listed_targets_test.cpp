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
    targets.markReconnected(start + 6s);
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
    targets.markReconnected(start + 6s);
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
    targets.markReconnected(start + 6s);
    targets.replace({}, start + 6s);
    EXPECT_EQ(targets.find("a"), nullptr);
}

// Guards against removed entries that are kept for seconds after an outage too short for any entry to expire.
TEST(ListedTargets, ShortOutageKeepsNoRemovedEntry)
{
    ListedTargets targets;
    targets.replace({ target("a") }, start);
    targets.markDisconnected(start);
    targets.markReconnected(start + 100ms);
    targets.remove("a", start + 200ms);
    EXPECT_EQ(targets.find("a"), nullptr);
}

} // namespace
} // namespace chivewinch::membership
