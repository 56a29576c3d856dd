#include "http/shedding.hpp"

#include <gtest/gtest.h>

#include <vector>

namespace chivewinch::http {
namespace {

using namespace std::chrono_literals;
using Time = std::chrono::steady_clock::time_point;
using Views = std::vector<ConnectionView>;

constexpr auto idle = ConnectionState::Idle;
constexpr auto receiving = ConnectionState::Receiving;
constexpr auto blocked = ConnectionState::Blocked;
constexpr auto serving = ConnectionState::Serving;

// Load: a crowd holds all connections. Guards against closing what is being served, or what an ordinary caller has just
// begun, before the connections of the crowd.
TEST(Shedding, ClosesIdleConnectionsOfTheCrowdFirst)
{
    const Time now { 1h };
    EXPECT_EQ(connectionToClose(Views { { 1, serving, now }, { 2, serving, now } }), std::nullopt);
    EXPECT_EQ(connectionToClose(Views {}), std::nullopt);
    const Views mixed { { 7, idle, now - 9s }, { 1, blocked, now - 5s }, { 1, receiving, now - 2s },
        { 1, idle, now - 1s }, { 1, idle, now - 2s }, { 1, serving, now - 9s } };
    EXPECT_EQ(connectionToClose(mixed), 4U);
    EXPECT_EQ(connectionToClose(Views { { 1, blocked, now - 5s }, { 1, receiving, now - 1s } }), 1U);
    EXPECT_EQ(connectionToClose(Views { { 1, receiving, now - 1s }, { 1, receiving, now - 2s } }), 1U);
}

// Guards against a source whose connections are being served and that loses its idle one to a crowd.
TEST(Shedding, CountsOnlyWhatIsNotServed)
{
    const Time now { 1h };
    EXPECT_EQ(connectionToClose(Views { { 1, serving, now }, { 1, serving, now }, { 1, idle, now - 9s },
                  { 2, idle, now }, { 2, idle, now - 1s } }),
        4U);
}

// Guards against an ordinary request that finds no memory while unfinished ones hold more than it needs, and against
// large requests that displace small ones.
TEST(Shedding, ClosesTheLargestUnfinishedRequest)
{
    const Time now { 1h };
    const Views views { { 1, receiving, now, 20'000 }, { 2, receiving, now, 90'000 }, { 3, serving, now, 500'000 },
        { 4, receiving, now, 50'000 } };
    EXPECT_EQ(unfinishedRequestToClose(views, 10'000), 1U);
    EXPECT_EQ(unfinishedRequestToClose(views, 45'001), std::nullopt);
    EXPECT_EQ(unfinishedRequestToClose(Views {}, 1), std::nullopt);
}

// Guards against a head of many short fields that counts as little as its bytes.
TEST(Shedding, CountsTheFieldsOfAHead)
{
    EXPECT_GE(headMemory(15'000, 2'500), 2'500U * 2 * 96);
    EXPECT_LE(headMemory(500, 12), 8'000U);
}

} // namespace
} // namespace chivewinch::http
