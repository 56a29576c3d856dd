#include "suspect/zone_schedule.hpp"

#include <gtest/gtest.h>

namespace chivewinch::suspect {

using namespace std::chrono_literals;

namespace internal {

constexpr std::uint64_t firstSeed = 20261204;
constexpr std::uint64_t schedules = 1'500;

struct ZoneSum {
    std::size_t mostLost = 0;
    std::size_t overTwicePerEntry = 0; ///< Schedules in which one fingerprint caused over two crashes per entry.
    std::size_t overEntriesPlusOne = 0; ///< Schedules with more crashes by one fingerprint than entries plus one.
    std::size_t overTwo = 0; ///< Schedules in which one fingerprint caused more than two crashes.
    std::size_t innocentsCompleted = 0;
    std::size_t innocentsNotNormal = 0;
    std::size_t sharedIsolation = 0;
    std::size_t crashingBlocked = 0;
};

ZoneSum runZones(ZoneOptions options, std::uint64_t count = schedules)
{
    ZoneSum sum;
    for (std::uint64_t seed = firstSeed; seed < firstSeed + count; ++seed) {
        options.seed = seed;
        options.crashing = 1 + seed % 2;
        const auto one = ZoneSchedule { options }.run();
        sum.mostLost = std::max(sum.mostLost, one.mostLost);
        sum.overTwo += one.mostLost > 2 ? 1 : 0;
        sum.overTwicePerEntry += one.mostLost > 2 * one.entries ? 1 : 0;
        sum.overEntriesPlusOne += one.mostLost > one.entries + 1 ? 1 : 0;
        sum.innocentsCompleted += one.innocentsCompleted;
        sum.innocentsNotNormal += one.innocentsNotNormal;
        sum.sharedIsolation += one.sharedIsolation;
        sum.crashingBlocked += one.crashingBlocked;
    }
    std::cout << "seeds " << firstSeed << " to " << firstSeed + count - 1 << ": at most " << sum.mostLost
              << " targets lost to a fingerprint, " << sum.overTwo << " schedules over two, " << sum.innocentsCompleted
              << " harmless runs completed, " << sum.crashingBlocked << " crashing fingerprints blocked\n";
    return sum;
}

} // namespace internal

// Guards against a request that is sent to all entries at once and crashes one target after the other.
TEST(SuspectZoneTest, AtMostTwoTargetsAreLostPerFingerprint)
{
    const auto sum = internal::runZones({});
    EXPECT_LE(sum.mostLost, 2U);
    EXPECT_GT(sum.crashingBlocked, 0U);
    EXPECT_GT(sum.innocentsCompleted, internal::schedules);
}

// Guards against a bound that holds only while strikes reach other processes.
TEST(SuspectZoneTest, AtMostTwoTargetsAreLostWithoutPropagation)
{
    EXPECT_LE(internal::runZones({ .propagate = false }).mostLost, 2U);
}

// Guards against a third candidate that replaces a crashed one when entries no longer use the crashed target.
TEST(SuspectZoneTest, AtMostTwoTargetsAreLostWhenCrashedTargetsAreNotUsed)
{
    EXPECT_LE(internal::runZones({ .dropCrashed = true }).mostLost, 2U);
}

// Guards against an agent that loses its strikes in a crash and runs the fingerprint again after its restart.
TEST(SuspectZoneTest, AtMostTwoTargetsAreLostWhenAgentsForget)
{
    EXPECT_LE(internal::runZones({ .lost = 0, .agentKeepsStrikes = false }).mostLost, 2U);
}

// Guards against an unbounded loss when entries choose targets independently of each other.
TEST(SuspectZoneTest, WithoutPairLossIsTwicePerEntryAndOnePerEntryPlusOneWithTimelyStrikes)
{
    const EntryGuardOptions independent { .usePair = false };
    const auto silent = internal::runZones({ .propagate = false, .entry = independent });
    EXPECT_EQ(silent.overTwicePerEntry, 0U);
    const auto timely = internal::runZones({ .lost = 0, .entry = independent });
    EXPECT_EQ(timely.overEntriesPlusOne, 0U);
}

// Guards against a harmless fingerprint that stays isolated or blocked because peers renew its strikes.
TEST(SuspectZoneTest, InnocentRequestsAreNormalAgainAfterExpiry)
{
    EXPECT_EQ(internal::runZones({ .innocents = 8 }, 1'000).innocentsNotNormal, 0U);
}

// Guards against two fingerprints with a strike on one target, where a harmless one gets its second strike.
TEST(SuspectZoneTest, StruckFingerprintsDoNotShareATarget)
{
    EXPECT_EQ(internal::runZones({ .innocents = 8 }, 1'000).sharedIsolation, 0U);
}

// Each test below guards against an invariant test that cannot fail: without the mechanism, violations must occur.
TEST(SuspectMechanismTest, WithoutPairMoreThanTwoAreLost)
{
    EXPECT_GT(internal::runZones({ .entry = { .usePair = false } }, 500).overTwo, 0U);
}

TEST(SuspectMechanismTest, WithoutStableCandidatesMoreThanTwoAreLost)
{
    const ZoneOptions options { .dropCrashed = true, .entry = { .stableCandidates = false } };
    EXPECT_GT(internal::runZones(options).overTwo, 0U);
}

TEST(SuspectMechanismTest, WithoutStruckTargetRuleMoreThanTwoAreLost)
{
    const ZoneOptions options { .propagate = false, .target = { .refuseStruckHere = false } };
    EXPECT_GT(internal::runZones(options, 500).overTwo, 0U);
}

TEST(SuspectMechanismTest, WithoutOneTargetPerEntryTwicePerEntryIsExceeded)
{
    const ZoneOptions options { .propagate = false,
        .entry = { .hold = 0ns, .oneTarget = false, .usePair = false },
        .target = { .refuseStruckHere = false } };
    EXPECT_GT(internal::runZones(options, 500).overTwicePerEntry, 0U);
}

TEST(SuspectMechanismTest, WithoutHoldEntriesPlusOneIsExceeded)
{
    const ZoneOptions options { .lost = 0, .maxDelay = 400ms, .entry = { .hold = 0ns, .usePair = false } };
    EXPECT_GT(internal::runZones(options).overEntriesPlusOne, 0U);
}

TEST(SuspectMechanismTest, WithoutIsolationStruckFingerprintsShareATarget)
{
    EXPECT_GT(internal::runZones({ .innocents = 8, .target = { .isolate = false } }, 500).sharedIsolation, 0U);
}

} // namespace chivewinch::suspect
