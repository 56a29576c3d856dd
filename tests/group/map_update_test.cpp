#include "base/random.hpp"
#include "group/codec.hpp"
#include "group/map_update.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>

namespace chivewinch::group {
namespace {

/** Adds an expert at the given number of random layers and ranks. */
GroupMap changed(GroupMap map, std::size_t places, std::uint32_t experts, base::RandomSource& random)
{
    for (std::size_t place = 0; place < places; ++place) {
        auto& layer = map[random.below(map.size())];
        auto& held = layer[random.below(layer.size())];
        held.push_back(static_cast<std::uint16_t>(random.below(experts)));
        std::ranges::sort(held);
    }
    return map;
}

TEST(MapUpdate, AppliesADifferenceToTheInitialMap)
{
    base::SeededRandom random { 1 };
    const auto initial = initialMap({ .layers = 3, .experts = 10, .ranks = 4 });
    EXPECT_EQ(initial[2][1], (std::vector<std::uint16_t> { 1, 5, 9 }));
    const auto next = changed(initial, 5, 10, random);
    MapCache agent;
    const auto found = agent.resolve(MapCache::difference(initial, 0, next, 7, 10));
    ASSERT_TRUE(found);
    EXPECT_EQ(*found, next);
}

// Guards against two ranks that use different maps under one version. The test runs random sequences of changes; each
// agent misses some of them and is sometimes restarted.
TEST(MapUpdate, NeverResolvesToADifferentMap)
{
    constexpr std::uint64_t seed = 20'261'205;
    constexpr int rounds = 2'000;
    base::SeededRandom random { seed };
    auto inUse = initialMap({ .layers = 3, .experts = 24, .ranks = 8 });
    std::uint64_t version = 0;
    std::uint64_t newest = 0;
    std::array<MapCache, 3> agents;
    std::array<int, 2> outcomes {};
    for (int round = 1; round <= rounds; ++round) {
        const auto next = changed(inUse, random.below(6), 24, random);
        const auto nextVersion = ++newest;
        const auto update = MapCache::difference(inUse, version, next, nextVersion, 24);
        for (auto& agent : agents) {
            if (random.below(8) == 0)
                agent = {};
            if (random.below(4) == 0)
                continue;
            auto found = agent.resolve(update);
            ++outcomes[found ? 1 : 0];
            if (!found)
                found = agent.resolve(fullUpdate(next, nextVersion));
            ASSERT_TRUE(found);
            EXPECT_EQ(*found, next);
        }
        // A change may be abandoned.
        if (random.below(5) > 0) {
            inUse = next;
            version = nextVersion;
        }
    }
    EXPECT_GT(outcomes[0], rounds / 20);
    EXPECT_GT(outcomes[1], rounds / 2);
}

// Guards against an update that was corrupted in transit, or whose sender has a different base map under the same
// version.
TEST(MapUpdate, IsRefusedIfTheResultDiffers)
{
    const auto initial = initialMap({ .layers = 2, .experts = 8, .ranks = 4 });
    auto next = initial;
    next[1][2].push_back(7);
    const auto good = MapCache::difference(initial, 0, next, 3, 8);
    auto wrongPlace = good;
    wrongPlace.changes.front().rank = 9;
    auto wrongExperts = good;
    wrongExperts.changes.front().added = { 1 };
    auto huge = good;
    huge.initial = { .layers = 4'000'000'000U, .experts = 4'000'000'000U, .ranks = 4'000'000'000U };
    for (const auto& update : { wrongPlace, wrongExperts, huge, MapUpdate {} }) {
        MapCache agent;
        EXPECT_FALSE(agent.resolve(update));
    }
    // A known version with another map is rejected too.
    MapCache agent;
    EXPECT_TRUE(agent.resolve(good));
    EXPECT_FALSE(agent.resolve(fullUpdate(initial, 3)));
}

// Guards against changes that take seconds on the links of large groups. With full maps, the first rank's machine sent
// 11 KB to each of 16 agents for 192 ranks, and each of these sent the map on to 11 others.
TEST(MapUpdate, TakesFewBytesAtTheMostLoadedMachine)
{
    struct Case {
        std::uint32_t ranks;
        std::uint32_t layers;
        std::uint32_t experts;
        std::size_t limit; ///< Bytes.
    };
    base::SeededRandom random { 2 };
    // A link of 6 Mbit/s sends 75 KB in 0.1 s.
    for (const auto& size : { Case { 8, 6, 64, 25'000 }, Case { 72, 12, 144, 50'000 }, Case { 192, 10, 384, 60'000 },
             Case { 512, 10, 512, 75'000 } }) {
        const auto inUse = initialMap({ .layers = size.layers, .experts = size.experts, .ranks = size.ranks });
        const auto next = changed(inUse, 200, size.experts, random);
        RankQuery query { .group = "group-name",
            .map = MapCache::difference(inUse, 0, next, 1'790'000'000'000'000, size.experts) };
        query.map.initial = {};
        for (std::uint32_t rank = 0; rank < size.ranks; ++rank) {
            query.members.push_back({ .id = "i-7f3a91c2",
                .endpoint = { .address = "10.200.100.50", .port = 8'000 },
                .epoch = 3,
                .rank = rank });
            query.orders.push_back({ .rank = rank, .epoch = 3, .version = query.map.version });
        }
        std::size_t bytes = 0;
        std::size_t largestPart = 0;
        for (const auto& part : split(query, 16)) {
            bytes += encode(part).size();
            std::size_t relayed = 0;
            for (const auto& own : split(part, 16))
                relayed += encode(own).size();
            largestPart = std::max(largestPart, relayed);
        }
        RecordProperty("first_rank_" + std::to_string(size.ranks), static_cast<int>(bytes));
        std::printf("%u ranks: %zu bytes from the first rank, %zu from a relay\n", size.ranks, bytes, largestPart);
        EXPECT_LT(std::max(bytes, largestPart), size.limit) << size.ranks;
    }
}

} // namespace
} // namespace chivewinch::group
