#include "protocol/convert.hpp"
#include "protocol/message_reader.hpp"

#include <gtest/gtest.h>

#include <limits>

namespace chivewinch::protocol {

using namespace std::chrono_literals;

// Guards against a conversion that loses the identity, the age or the cleared flag of a strike.
TEST(ConvertTest, StrikesRoundTrip)
{
    const suspect::StrikeList strikes {
        { .strike = { .fingerprint = 7, .target = "t1", .incarnation = base::Incarnation { 9 } },
            .age = 250ms,
            .cleared = true },
        { .strike = { .fingerprint = 8, .target = "t2", .incarnation = base::Incarnation { 1 } }, .age = 0ms },
    };
    wire::Heartbeat heartbeat;
    assignStrikes(heartbeat, strikes);
    EXPECT_EQ(toStrikes(heartbeat), strikes);
}

TEST(ConvertTest, AttemptKeyRoundTrips)
{
    const delivery::AttemptKey key { .attempt = { .request = { .high = 1, .low = 2 }, .number = 3 },
        .incarnation = base::Incarnation { 4 } };
    wire::AttemptStart message;
    assignKey(message, key);
    EXPECT_EQ(keyOf(message), key);
}

// Guards against undefined behaviour if a peer sends an issue time that is out of range.
TEST(ConvertTest, ClampsTimesOutOfRange)
{
    for (const auto millis :
        { std::numeric_limits<std::int64_t>::min(), std::int64_t { -1 }, std::numeric_limits<std::int64_t>::max() })
        EXPECT_GE(fromUnixMillis(millis).time_since_epoch().count(), 0);
    EXPECT_EQ(toUnixMillis(fromUnixMillis(1'700'000'000'123)), 1'700'000'000'123);
}

TEST(MessageReaderTest, ReportsMalformedMessages)
{
    MessageReader reader;
    int count = 0;
    const auto counter = [&count](const wire::Control&, std::size_t) { ++count; };
    EXPECT_TRUE(reader.read<wire::Control>(wire::frame(wire::Control {}), counter));
    EXPECT_EQ(count, 1);
    std::string bad;
    wire::appendFrame(bad, "\xFF\xFF\xFF\xFF");
    EXPECT_FALSE(reader.read<wire::Control>(bad, counter));
}

} // namespace chivewinch::protocol
