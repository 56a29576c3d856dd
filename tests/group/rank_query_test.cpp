#include "group/rank_query.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace chivewinch::group {
namespace {

using expert::MapOrderKind;

RankQuery queryOf(std::uint32_t ranks)
{
    RankQuery query { .group = "g", .map = fullUpdate({ { { 0 }, { 1 } } }, 2) };
    for (std::uint32_t rank = 0; rank < ranks; ++rank)
        query.members.push_back({ .id = "engine-" + std::to_string(rank), .epoch = 1, .rank = rank });
    return query;
}

// Guards against a rank that is omitted or gets an order twice, and against one machine that sends to all others.
TEST(RankQuery, IsSplitIntoFewPartsThatCoverAllRanksOnce)
{
    for (std::uint32_t ranks = 1; ranks <= 260; ++ranks) {
        auto query = queryOf(ranks);
        for (const auto& member : query.members)
            query.orders.push_back({ .rank = member.rank, .kind = MapOrderKind::Prepare, .epoch = 1, .version = 2 });
        const auto parts = split(query, 16);
        EXPECT_LE(parts.size(), 16U) << ranks;
        std::vector<Member> members;
        std::vector<expert::MapOrder> orders;
        for (const auto& part : parts) {
            ASSERT_FALSE(part.members.empty());
            EXPECT_LE(part.members.size(), (ranks + 15) / 16) << ranks;
            EXPECT_EQ(part.map, query.map);
            members.insert(members.end(), part.members.begin(), part.members.end());
            orders.insert(orders.end(), part.orders.begin(), part.orders.end());
            for (const auto& order : part.orders)
                EXPECT_TRUE(std::ranges::count(part.members, order.rank, &Member::rank) == 1);
        }
        EXPECT_EQ(members, query.members);
        EXPECT_EQ(orders, query.orders);
    }
}

TEST(RankQuery, CarriesTheMapOnlyToRanksThatLoadIt)
{
    auto query = queryOf(2);
    query.orders = { { .rank = 0, .kind = MapOrderKind::Prepare }, { .rank = 1, .kind = MapOrderKind::Arm } };
    const auto parts = split(query, 2);
    ASSERT_EQ(parts.size(), 2U);
    EXPECT_EQ(parts[0].map, query.map);
    EXPECT_TRUE(parts[1].map.empty());
}

TEST(RankAnswers, AreSummed)
{
    RankAnswers sum;
    sum.merge({ .reports = { { 0, {} } }, .loads = { 1, 2 } });
    sum.merge({ .reports = { { 3, {} } }, .loads = { 10, 20 } });
    // Answers without loads, and answers whose loads have a different size.
    sum.merge({ .reports = { { 4, {} } } });
    sum.merge({ .loads = { 5 } });
    EXPECT_EQ(sum.reports.size(), 3U);
    EXPECT_EQ(sum.loads, (std::vector<double> { 11, 22 }));
}

} // namespace
} // namespace chivewinch::group
