#include "quota/fleet.hpp"
#include "support/schedules.hpp"

#include <gtest/gtest.h>

#include <array>

namespace chivewinch::quota {
namespace {

using namespace std::chrono_literals;

constexpr std::array<std::size_t, 6> fleetSizes { 2, 3, 9, 30, 98, 300 };
constexpr std::array<double, 8> limitValues { 0.1, 0.5, 1, 1.1, 2.9, 7, 40, 150 };

// Guards against processes that together exceed the limit of a target, at any size of the fleet and of the limit.
TEST(TargetLimits, AllProcessesTogetherKeepTheLimit)
{
    for (const auto size : fleetSizes) {
        for (const auto limit : limitValues) {
            Fleet fleet { { .members = size, .requestsPerSecond = 5 * limit + 50 }, size };
            fleet.setLimit(limit);
            fleet.run(20s);
            EXPECT_LE(fleet.worstExcess(), 0) << size << " members, limit " << limit;
        }
    }
}

// Shows that the check of the rule finds processes that each use the whole limit.
TEST(TargetLimits, ExceedsTheLimitIfItIsNotDivided)
{
    Fleet fleet { { .members = 9, .divideLimits = false }, 1 };
    fleet.setLimit(1);
    fleet.run(10s);
    EXPECT_GT(fleet.worstExcess(), 0);
}

void injectRandomFault(Fleet& fleet, base::RandomSource& random)
{
    const auto index = static_cast<std::size_t>(random.below(fleet.size()));
    const std::chrono::milliseconds time { 500 + random.below(8'000) };
    switch (random.below(7)) {
    case 0:
        fleet.freeze(index, time);
        break;
    case 1:
        fleet.cut(index, time);
        break;
    case 2:
        fleet.restart(index);
        break;
    case 3:
        fleet.join();
        break;
    case 4:
        fleet.setLimit(limitValues[random.below(limitValues.size())]);
        break;
    case 5:
        fleet.setLimit(std::nullopt);
        break;
    case 6:
        fleet.restartTarget();
        fleet.setLimit(limitValues[random.below(limitValues.size())]);
        break;
    }
}

// Guards against exceeding the limit while processes join, restart, freeze or are cut off, and while the limit changes,
// ends or is stated by a new incarnation.
TEST(TargetLimits, KeepsTheLimitUnderFaults)
{
    const auto count = support::schedulesToRun<std::uint64_t>(300);
    for (std::uint64_t seed = 1; seed <= count; ++seed) {
        base::SeededRandom random { seed };
        Fleet fleet { { .members = fleetSizes[random.below(5)], .requestsPerSecond = 20 + 180 * random.unit() }, seed };
        fleet.setLimit(limitValues[random.below(limitValues.size())]);
        for (int fault = 0; fault < 12; ++fault) {
            injectRandomFault(fleet, random);
            fleet.run(std::chrono::milliseconds { random.below(5'000) });
        }
        fleet.run(8s);
        ASSERT_LE(fleet.worstExcess(), 0) << "seed " << seed;
    }
}

// Guards against a limit that is kept by using a small part of it, or by a few processes only.
TEST(TargetLimits, UsesTheLimitAndLendsToAllProcesses)
{
    for (const auto limit : { 1.0, 5.0 }) {
        Fleet fleet { { .members = 9, .requestsPerSecond = 50 }, 5 };
        fleet.setLimit(limit);
        fleet.run(20s);
        const auto from = fleet.time();
        fleet.run(180s);
        EXPECT_GE(static_cast<double>(fleet.startedSince(from)), 0.7 * 180 * limit) << limit;
        EXPECT_EQ(fleet.sendersSince(from), 9U) << limit;
    }
}

// Guards against processes that use a target no longer after its limit has ended, because they get no answers from it.
TEST(TargetLimits, TheEndOfALimitReachesAllProcesses)
{
    for (const auto size : fleetSizes) {
        Fleet fleet { { .members = size }, 8 };
        fleet.setLimit(1);
        fleet.run(30s);
        fleet.setLimit(std::nullopt);
        fleet.run(15s);
        EXPECT_EQ(fleet.limitedCount(), 0U) << size;
    }
}

// Guards against a target that gets nothing while some of its owners do not run.
TEST(TargetLimits, UsesTheLimitWhileOwnersAreFrozen)
{
    Fleet fleet { { .members = 9 }, 4 };
    fleet.setLimit(1);
    fleet.run(10s);
    for (std::size_t index = 0; index < 4; ++index)
        fleet.freeze(index, 60s);
    const auto from = fleet.time();
    fleet.run(30s);
    EXPECT_GE(fleet.startedSince(from), 5U);
}

// Guards against excluding a target for ever: the end of its limit shows only in an answer.
TEST(TargetLimits, SendsAFewRequestsDespiteALimitOfZero)
{
    Fleet fleet { { .members = 3 }, 6 };
    fleet.setLimit(0);
    fleet.run(10s);
    const auto from = fleet.time();
    fleet.run(300s);
    EXPECT_GE(fleet.startedSince(from), 1U);
    EXPECT_LE(fleet.worstExcess(), 0);
}

// Guards against applying the limit of an ended incarnation to the one that the list shows.
TEST(TargetLimits, IgnoresALateAnswerOfAnEndedIncarnation)
{
    const base::SteadyTime now { 1h };
    TargetLimits limits { { .instance = "e" } };
    limits.setMembers({ { "e", "z" } }, now);
    limits.setTargets({ { "t", { .incarnation = base::Incarnation { 2 }, .zone = "z" } } }, now);
    EXPECT_EQ(limits.observe("t", base::Incarnation { 1 }, 1, now, now), LimitChange::None);
    EXPECT_FALSE(limits.isLimited("t"));
    EXPECT_EQ(limits.observe("t", base::Incarnation { 2 }, 1, now, now), LimitChange::Named);
    EXPECT_TRUE(limits.isLimited("t"));
}

// Guards against lending to a process with few requests: the router asks twice for a request that finds no other
// target.
TEST(TargetLimits, CountsARequestOnceAsDemand)
{
    const base::SteadyTime now { 1h };
    std::vector<Member> members;
    for (int i = 0; i < 9; ++i)
        members.push_back({ "e" + std::to_string(i), "z" });
    const auto owners = chooseOwners("t", "z", members, ownerCount(1));
    const auto borrower = std::ranges::find_if(
        members, [&owners](const auto& member) { return std::ranges::find(owners, member.instance) == owners.end(); });
    TargetLimits limits { { .instance = borrower->instance } };
    limits.setMembers(members, now);
    limits.setTargets({ { "t", { .incarnation = base::Incarnation { 1 }, .zone = "z" } } }, now);
    limits.observe("t", base::Incarnation { 1 }, 1, now, now);
    EXPECT_FALSE(limits.mayStart("t", now));
    EXPECT_FALSE(limits.mayStart("t", now));
    EXPECT_EQ(limits.nextQuery(now).value().second.items.at(0).demand, 1U);
    EXPECT_FALSE(limits.mayStart("t", now + 1ms));
    EXPECT_EQ(limits.nextQuery(now + 1ms).value().second.items.at(0).demand, 2U);
}

TEST(ChooseOwners, AddingAMemberReplacesOneOwnerAtMost)
{
    std::vector<Member> members;
    for (int i = 0; i < 40; ++i) {
        auto larger = members;
        larger.push_back({ "e" + std::to_string(i), "z" + std::to_string(i % 3) });
        const auto before = chooseOwners("t", "z1", members, 6);
        const auto after = chooseOwners("t", "z1", larger, 6);
        std::vector<std::string> added;
        std::ranges::set_difference(after, before, std::back_inserter(added));
        EXPECT_LE(added.size(), 1U) << i;
        members = std::move(larger);
    }
}

// Guards against a zone that cannot use its own target while it is cut off from the others.
TEST(ChooseOwners, ChoosesHalfFromTheZoneOfTheTarget)
{
    std::vector<Member> members;
    for (int i = 0; i < 30; ++i)
        members.push_back({ "e" + std::to_string(i), "z" + std::to_string(i % 3) });
    const auto owners = chooseOwners("t", "z1", members, 5);
    ASSERT_EQ(owners.size(), 5U);
    const auto local = std::ranges::count_if(owners,
        [&members](const auto& owner) { return std::ranges::find(members, owner, &Member::instance)->zone == "z1"; });
    EXPECT_GE(local, 3);
}

TEST(LimitMessages, RejectsInvalidBodies)
{
    const LimitQuery query { .items = { { .report = { .target = "t",
                                              .incarnation = base::Incarnation { 7 },
                                              .limit = 0.5,
                                              .sentAge = 20ms,
                                              .observedAge = 10ms },
                                 .demand = 2 } } };
    EXPECT_EQ(decodeLimitQuery(encode(query)), query);
    const LimitAnswer answer { .items = { { .report = query.items[0].report, .hasPermit = true, .opensIn = 5ms } } };
    EXPECT_EQ(decodeLimitAnswer(encode(answer)), answer);
    for (const auto limit : { -1.0, 1e300, std::nan("") }) {
        auto invalid = query;
        invalid.items[0].report.limit = limit;
        EXPECT_EQ(decodeLimitQuery(encode(invalid)), std::nullopt) << limit;
    }
    EXPECT_EQ(decodeLimitQuery("x"), std::nullopt);
    EXPECT_EQ(decodeLimitAnswer(encode(query)), std::nullopt);
}

} // namespace
} // namespace chivewinch::quota
