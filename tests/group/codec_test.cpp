#include "group/codec.hpp"

#include <gtest/gtest.h>

namespace chivewinch::group {
namespace {

TEST(GroupCodec, IsItsOwnInverse)
{
    const ExpertCounts counts { .epoch = 3, .tokens = { 1, 2, 3 }, .pace = 1.5 };
    EXPECT_EQ(decodeCounts(encode(counts)), counts);
    const RankExperts experts { .epoch = 3, .version = 9, .layers = { { 1, 2 }, { 3 } } };
    EXPECT_EQ(decodeExperts(encode(experts)), experts);
}

// Guards against an agent that ends because a peer sends something else.
TEST(GroupCodec, RefusesOtherBodies)
{
    for (const auto* body : { "", "{", "[]", "null", R"({"epoch":"x","tokens":[]})",
             R"({"epoch":1,"tokens":[-1.5,"a"]})", R"({"epoch":1,"version":1,"layers":[1]})" }) {
        EXPECT_EQ(decodeCounts(body), std::nullopt) << body;
        EXPECT_EQ(decodeExperts(body), std::nullopt) << body;
    }
}

} // namespace
} // namespace chivewinch::group
