#include "expert/map.hpp"

#include <gtest/gtest.h>

namespace chivewinch::expert {

namespace {

const GroupShape smallShape { .ranks = 2, .experts = 2, .layers = 1, .slotsPerRank = 2 };
const LayerMap layer { { 0, 0, shareUnit / 2 }, { 0, 1, shareUnit / 2 }, { 1, 1, shareUnit } };

} // namespace

TEST(ExpertMapTest, EncodingRoundTrips)
{
    MapError reason;
    const auto map = ExpertMap::create(smallShape, { layer }, reason);
    ASSERT_TRUE(map) << reason.detail;
    EXPECT_EQ(ExpertMap::decode(map->encode(), reason), map);
    EXPECT_FALSE(ExpertMap::decode(map->encode().substr(1), reason));
    EXPECT_FALSE(ExpertMap::decode(map->encode() + "x", reason));
}

// Guards against a map without a replica of an expert, beyond the memory of a rank, or with shares that lose tokens.
TEST(ExpertMapTest, RefusesInvalidLayers)
{
    const auto codeOf = [](const LayerMap& invalid) {
        MapError reason;
        EXPECT_FALSE(ExpertMap::create(smallShape, { invalid }, reason));
        return reason.code;
    };
    using enum MapError::Code;
    EXPECT_EQ(codeOf({ { 0, 0, shareUnit } }), NoReplica);
    EXPECT_EQ(codeOf({ { 0, 0, shareUnit }, { 1, 0, shareUnit - 1 } }), BadShares);
    EXPECT_EQ(codeOf({ { 0, 2, shareUnit }, { 1, 0, shareUnit } }), UnknownRank);
    EXPECT_EQ(codeOf({ { 0, 0, shareUnit }, { 2, 0, shareUnit } }), UnknownExpert);
    EXPECT_EQ(codeOf({ { 0, 0, 1 }, { 0, 0, shareUnit - 1 }, { 1, 0, shareUnit } }), Duplicate);
}

TEST(ExpertMapTest, CountsOnlyNewWeights)
{
    EXPECT_EQ(countMoves(layer, layer), 0U);
    EXPECT_EQ(countMoves(layer, { { 0, 0, shareUnit }, { 1, 0, shareUnit } }), 1U);
    EXPECT_EQ(countMoves({}, layer), 3U);
}

} // namespace chivewinch::expert
