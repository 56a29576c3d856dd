#include "gateway/target_clients.hpp"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

namespace chivewinch::gateway {
namespace {

// Guards against idle connections of many entries that together use up what a target accepts: with four for each of 42
// entries, a target that accepts 120 had none left.
TEST(TargetClients, AllEntriesTogetherLeaveHalfOfTheConnectionsOfATarget)
{
    constexpr std::size_t most = 4;
    for (const std::uint32_t limit : { 1U, 48U, 120U, 490U, 1'324U }) {
        for (std::size_t entries = 1; entries <= 350; ++entries) {
            const auto share = idleConnectionShare(limit, entries, most);
            EXPECT_LE(share * entries, limit / 2) << limit << " " << entries;
            EXPECT_LE(share, most);
        }
    }
    EXPECT_EQ(idleConnectionShare(120, 42, most), 1U);
    EXPECT_EQ(idleConnectionShare(48, 6, most), most);
}

// Guards against clients that keep the connections of an earlier number of entries.
TEST(TargetClients, FollowTheNumberOfEntries)
{
    boost::asio::io_context context;
    TargetClients clients { context.get_executor(), {} };
    const membership::ListedTarget target {
        .id = "t", .pool = "p", .endpoint = { .address = "127.0.0.1", .port = 80 }
    };
    const auto client = clients.clientFor(target);
    EXPECT_EQ(client->clientOptions().maxIdleConnections, AttemptOptions {}.maxIdleConnections);
    clients.setConnectionLimits({ { "p", 120 } }, 42);
    EXPECT_EQ(client->clientOptions().maxIdleConnections, 1U);
    clients.setConnectionLimits({ { "p", 120 } }, 61);
    EXPECT_EQ(client->clientOptions().maxIdleConnections, 0U);
    clients.setConnectionLimits({}, 61);
    EXPECT_EQ(client->clientOptions().maxIdleConnections, AttemptOptions {}.maxIdleConnections);
}

} // namespace
} // namespace chivewinch::gateway
