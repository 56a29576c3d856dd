#include "base/random.hpp"
#include "gateway/snapshot.hpp"

#include <gtest/gtest.h>

namespace chivewinch::gateway {
namespace {

Configuration configuration(std::uint64_t version)
{
    return { .version = version,
        .routes = { { .name = "all", .host = "h", .pathPrefix = "/", .pools = { { .pool = "p" } } },
            { .name = "deep", .host = "h", .pathPrefix = "/a/b/", .pools = { { .pool = "p" } } },
            { .name = "a", .host = "h", .pathPrefix = "/a/", .pools = { { .pool = "p" } } } },
        .teams = { { .name = "t", .keys = { "k1", "k2" } } },
        .hasTeams = true };
}

TEST(Snapshot, FindsTheLongestPrefixOfTheHost)
{
    const Snapshot snapshot { configuration(1) };
    EXPECT_EQ(snapshot.route("h", "/a/b/c")->name, "deep");
    EXPECT_EQ(snapshot.route("h", "/a/c")->name, "a");
    EXPECT_EQ(snapshot.route("h", "/ab")->name, "all");
    EXPECT_EQ(snapshot.route("other", "/a/"), nullptr);
}

TEST(Snapshot, FindsTheTeamOfAKey)
{
    const Snapshot snapshot { configuration(1) };
    EXPECT_EQ(snapshot.teamOf("k2")->name, "t");
    EXPECT_EQ(snapshot.teamOf("k"), nullptr);
    EXPECT_EQ(snapshot.teamOf(""), nullptr);
}

TEST(Snapshot, DividesRequestsByWeight)
{
    const Route route { .pools
        = { { .pool = "a", .weight = 0 }, { .pool = "b", .weight = 90 }, { .pool = "c", .weight = 10 } } };
    base::SeededRandom random { 7 };
    constexpr int requests = 100'000;
    int toC = 0;
    for (int i = 0; i < requests; ++i) {
        const auto pool = Snapshot::pickPool(route, random.unit());
        ASSERT_NE(pool, "a");
        toC += pool == "c" ? 1 : 0;
    }
    EXPECT_NEAR(toC, requests / 10, requests / 100);
    EXPECT_EQ(Snapshot::pickPool(route, 1.0), "c");
    EXPECT_TRUE(Snapshot::pickPool(Route {}, 0.5).empty());
}

// Guards against reverting to an older configuration when an old answer of the store arrives late.
TEST(SnapshotHolder, AcceptsOnlyNewerVersions)
{
    SnapshotHolder holder;
    EXPECT_EQ(holder.current(), nullptr);
    EXPECT_TRUE(holder.replaceIfNewer(configuration(5)));
    EXPECT_FALSE(holder.replaceIfNewer(configuration(5)));
    EXPECT_FALSE(holder.replaceIfNewer(configuration(4)));
    EXPECT_EQ(holder.current()->version(), 5U);
    EXPECT_TRUE(holder.replaceIfNewer(configuration(9)));
}

} // namespace
} // namespace chivewinch::gateway
