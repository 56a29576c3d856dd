#include "base/random.hpp"
#include "http/server_lifetimes.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

namespace chivewinch::http {
namespace {

// Guards against taking an answer of a process that was started later for a sign of an earlier one.
TEST(ServerLifetimes, JoinsOnlySpansThatOverlap)
{
    ServerLifetimes lifetimes;
    lifetimes.record(1, 4);
    lifetimes.record(6, 9);
    EXPECT_TRUE(lifetimes.isOneProcess(1, 4));
    EXPECT_FALSE(lifetimes.isOneProcess(4, 6));
    EXPECT_FALSE(lifetimes.isOneProcess(1, 9));
    EXPECT_FALSE(lifetimes.isOneProcess(5, 5));
    lifetimes.record(3, 7);
    EXPECT_TRUE(lifetimes.isOneProcess(1, 9));
    EXPECT_FALSE(lifetimes.isOneProcess(1, 10));
}

// Guards against joining two processes, whatever connections were accepted, answered and forgotten.
TEST(ServerLifetimes, JoinsNoTwoProcesses)
{
    struct Connection {
        EventNumber accepted = 0;
        std::size_t process = 0;
    };

    constexpr std::uint64_t seeds = 300;
    std::size_t proved = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        base::SeededRandom random { seed };
        ServerLifetimes lifetimes;
        std::vector<Connection> connections;
        std::vector<std::size_t> processAt { 0 };
        std::size_t process = 0;
        for (int step = 0; step < 200; ++step) {
            if (random.below(20) == 0) {
                ++process;
                connections.clear();
            }
            const auto event = lifetimes.next();
            processAt.push_back(process);
            if (connections.empty() || random.below(3) == 0) {
                connections.push_back({ .accepted = event, .process = process });
                continue;
            }
            const auto& connection = connections[random.below(connections.size())];
            lifetimes.record(connection.accepted, event);
            EXPECT_TRUE(lifetimes.isOneProcess(connection.accepted, event));
        }
        for (EventNumber first = 1; first < processAt.size(); ++first) {
            for (EventNumber second = first; second < processAt.size(); ++second) {
                if (!lifetimes.isOneProcess(first, second))
                    continue;
                ++proved;
                ASSERT_EQ(processAt[first], processAt[second]) << seed << " " << first << " " << second;
            }
        }
    }
    EXPECT_GT(proved, seeds);
}

} // namespace
} // namespace chivewinch::http
