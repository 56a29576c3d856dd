#include "expert/cost.hpp"
#include "expert/pacer.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace chivewinch::expert {

namespace {

std::vector<OwnerPolicy> ownersOf(const std::vector<std::uint32_t>& usage)
{
    std::vector<OwnerPolicy> owners;
    for (std::size_t i = 0; i < usage.size(); ++i)
        owners.push_back({ .owner = "owner" + std::to_string(i), .usageTokens = usage[i] });
    return owners;
}

} // namespace

// Guards against bytes that are charged to no owner or to two owners.
RC_GTEST_PROP(CostTest, ChargesSumToTheBytes, (std::uint64_t bytes, const std::vector<std::uint32_t>& usage))
{
    RC_PRE(!usage.empty());
    std::uint64_t sum = 0;
    for (const auto& charge : attributeCost(bytes, ownersOf(usage)))
        sum += charge.bytes;
    RC_ASSERT(sum == bytes);
}

// Guards against charges that depend on the order in which the owners are listed.
RC_GTEST_PROP(CostTest, OrderDoesNotMatter, (std::uint64_t bytes, const std::vector<std::uint32_t>& usage))
{
    auto owners = ownersOf(usage);
    const auto charges = attributeCost(bytes, owners);
    std::ranges::reverse(owners);
    RC_ASSERT(attributeCost(bytes, owners) == charges);
}

// Guards against rounding that favours one owner by more than a byte.
RC_GTEST_PROP(
    CostTest, EachChargeIsWithinOneByteOfTheExactPart, (std::uint32_t bytes, const std::vector<std::uint16_t>& usage))
{
    std::uint64_t total = 0;
    for (const auto tokens : usage)
        total += tokens;
    RC_PRE(total > 0);
    const auto charges = attributeCost(bytes, ownersOf({ usage.begin(), usage.end() }));
    for (const auto& charge : charges) {
        const auto tokens = usage[std::stoul(charge.owner.substr(5))];
        const auto floor = std::uint64_t { bytes } * tokens / total;
        RC_ASSERT(charge.bytes == floor || charge.bytes == floor + 1);
    }
}

TEST(CostTest, RemainderGoesToTheLargestFractionThenByName)
{
    const std::vector<OwnerPolicy> owners { { .owner = "b", .usageTokens = 1 }, { .owner = "a", .usageTokens = 1 },
        { .owner = "c", .usageTokens = 4 } };
    const std::vector<OwnerCharge> expected { { "a", 2 }, { "b", 2 }, { "c", 6 } };
    EXPECT_EQ(attributeCost(10, owners), expected);
    const std::vector<OwnerCharge> unused { { "a", 2 }, { "b", 1 } };
    EXPECT_EQ(attributeCost(3, { { .owner = "b" }, { .owner = "a" } }), unused);
}

// Guards against transfers of several groups that together exceed the rate of the weight store.
RC_GTEST_PROP(PacerTest, ReservationsNeverOverlapOrExceedTheWait, (const std::vector<std::uint32_t>& sizes))
{
    WeightPacer pacer { { .bytesPerSecond = 1'000'000, .maxWait = std::chrono::minutes { 30 } } };
    base::SteadyTime now { std::chrono::hours { 1 } };
    base::SteadyTime busyUntil = now;
    for (const auto size : sizes) {
        const auto available = pacer.available(now);
        const auto reservation = pacer.reserve(size, now);
        RC_ASSERT(reservation.has_value() == (size <= available));
        if (reservation) {
            RC_ASSERT(reservation->start >= busyUntil);
            RC_ASSERT(reservation->end - reservation->start == pacer.duration(size));
            RC_ASSERT(reservation->end <= now + std::chrono::minutes { 30 });
            busyUntil = reservation->end;
        }
        now += std::chrono::seconds { size % 100 };
    }
}

} // namespace chivewinch::expert
