#include "suspect/zone_schedule.hpp"

#include <gtest/gtest.h>

namespace chivewinch::suspect {

using namespace std::chrono_literals;

namespace internal {

constexpr std::uint64_t firstSeed = 20261204;
constexpr std::uint64_t schedules = 1'500;

struct ZoneSum {
    std::size_t maxCrashes = 0;
    std::size_t overTwicePerEntry = 0; ///< Schedules in which one fingerprint caused over two crashes per entry.
    std::size_t overEntriesPlusOne = 0; ///< Schedules with more crashes by one fingerprint than entries plus one.
    std::size_t overTwo = 0; ///< Schedules in which one fingerprint caused more than two crashes.
    std::size_t harmlessCompleted = 0;
    std::size_t harmlessNotNormal = 0;
    std::size_t isolationViolations = 0;
    std::size_t crashingBlocked = 0;
};

ZoneSum runZones(ZoneOptions options, std::uint64_t count = schedules)
{
    ZoneSum sum;
    for (std::uint64_t seed = firstSeed; seed < firstSeed + count; ++seed) {
        options.seed = seed;
        options.crashing = 1 + seed % 2;
        const auto one = ZoneSchedule { options }.run();
        sum.maxCrashes = std::max(sum.maxCrashes, one.maxCrashes);
        sum.overTwo += one.maxCrashes > 2 ? 1 : 0;
        sum.overTwicePerEntry += one.maxCrashes > 2 * one.entries ? 1 : 0;
        sum.overEntriesPlusOne += one.maxCrashes > one.entries + 1 ? 1 : 0;
        sum.harmlessCompleted += one.harmlessCompleted;
        sum.harmlessNotNormal += one.harmlessNotNormal;
        sum.isolationViolations += one.isolationViolations;
        sum.crashingBlocked += one.crashingBlocked;
    }
    std::cout << "seeds " << firstSeed << " to " << firstSeed + count - 1 << ": at most " << sum.maxCrashes
              << " targets lost to a fingerprint, " << sum.overTwo << " schedules over two, " << sum.harmlessCompleted
              << " harmless runs completed, " << sum.crashingBlocked << " crashing fingerprints blocked\n";
    return sum;
}

} // namespace internal

// Guards against a request that is sent to all entries at once and crashes one target after the other.
TEST(SuspectZoneTest, AtMostTwoTargetsAreLostPerFingerprint)
{
    const auto sum = internal::runZones({});
    EXPECT_LE(sum.maxCrashes, 2U);
    EXPECT_GT(sum.crashingBlocked, 0U);
    EXPECT_GT(sum.harmlessCompleted, internal::schedules);
}

// Guards against a bound that holds only while strikes reach other processes.
TEST(SuspectZoneTest, AtMostTwoTargetsAreLostWithoutPropagation)
{
    EXPECT_LE(internal::runZones({ .propagate = false }).maxCrashes, 2U);
}

// Guards against a third candidate that replaces a crashed one when entries no longer use the crashed target.
TEST(SuspectZoneTest, AtMostTwoTargetsAreLostWhenCrashedTargetsAreNotUsed)
{
    EXPECT_LE(internal::runZones({ .avoidCrashed = true }).maxCrashes, 2U);
}

// Guards against an agent that loses its strikes in a crash and runs the fingerprint again after its restart.
TEST(SuspectZoneTest, AtMostTwoTargetsAreLostWhenAgentsLoseStrikes)
{
    EXPECT_LE(internal::runZones({ .lost = 0, .agentKeepsStrikes = false }).maxCrashes, 2U);
}

// Guards against an unbounded loss when entries choose targets independently of each other.
TEST(SuspectZoneTest, WithoutPairLossIsTwicePerEntryAndOnePerEntryPlusOneWithTimelyStrikes)
{
    const EntryGuardOptions independent { .useCandidatePair = false };
    const auto withoutReports = internal::runZones({ .propagate = false, .entry = independent });
    EXPECT_EQ(withoutReports.overTwicePerEntry, 0U);
    const auto withReports = internal::runZones({ .lost = 0, .entry = independent });
    EXPECT_EQ(withReports.overEntriesPlusOne, 0U);
}

// Guards against a harmless fingerprint that stays isolated or blocked because peers renew its strikes.
TEST(SuspectZoneTest, HarmlessRequestsAreNormalAgainAfterExpiry)
{
    EXPECT_EQ(internal::runZones({ .harmless = 8 }, 1'000).harmlessNotNormal, 0U);
}

// Guards against two fingerprints with a strike on one target, where a harmless one gets its second strike.
TEST(SuspectZoneTest, FingerprintsWithStrikeDoNotShareATarget)
{
    EXPECT_EQ(internal::runZones({ .harmless = 8 }, 1'000).isolationViolations, 0U);
}

// Each test below guards against an invariant test that cannot fail: without the mechanism, violations must occur.
TEST(SuspectMechanismTest, WithoutPairMoreThanTwoAreLost)
{
    EXPECT_GT(internal::runZones({ .entry = { .useCandidatePair = false } }, 500).overTwo, 0U);
}

TEST(SuspectMechanismTest, WithoutStableCandidatesMoreThanTwoAreLost)
{
    const ZoneOptions options { .avoidCrashed = true, .entry = { .stableCandidates = false } };
    EXPECT_GT(internal::runZones(options).overTwo, 0U);
}

TEST(SuspectMechanismTest, WithoutRefusalAfterCrashMoreThanTwoAreLost)
{
    const ZoneOptions options { .propagate = false, .target = { .refuseRerunAfterCrash = false } };
    EXPECT_GT(internal::runZones(options, 500).overTwo, 0U);
}

TEST(SuspectMechanismTest, WithoutOneTargetPerEntryTwicePerEntryIsExceeded)
{
    const ZoneOptions options { .propagate = false,
        .entry = { .hold = 0ns, .singleTarget = false, .useCandidatePair = false },
        .target = { .refuseRerunAfterCrash = false } };
    EXPECT_GT(internal::runZones(options, 500).overTwicePerEntry, 0U);
}

TEST(SuspectMechanismTest, WithoutHoldEntriesPlusOneIsExceeded)
{
    const ZoneOptions options { .lost = 0, .maxDelay = 400ms, .entry = { .hold = 0ns, .useCandidatePair = false } };
    EXPECT_GT(internal::runZones(options).overEntriesPlusOne, 0U);
}

TEST(SuspectMechanismTest, WithoutIsolationFingerprintsWithStrikeShareATarget)
{
    EXPECT_GT(internal::runZones({ .harmless = 8, .target = { .isolate = false } }, 500).isolationViolations, 0U);
}

} // namespace chivewinch::suspect
