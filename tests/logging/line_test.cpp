#include "base/random.hpp"
#include "logging/event.hpp"
#include "logging/line.hpp"

#include <gtest/gtest.h>

namespace chivewinch::logging {

TEST(LogLineTest, ReadsWhatEventWrites)
{
    Event event { "attempt_failed" };
    event.field("reason", "read: \"reset\" by \\peer").field("events", 5).field("empty", "");
    const auto line
        = parseLine("collector time=2026-12-04T07:00:00.000Z level=INFO instance=e1 " + event.line() + "\n");
    ASSERT_TRUE(line);
    EXPECT_EQ(line->field("event"), "attempt_failed");
    EXPECT_EQ(line->field("reason"), "read: \"reset\" by \\peer");
    EXPECT_EQ(line->field("events"), "5");
    EXPECT_EQ(line->field("empty"), "");
    EXPECT_EQ(line->field("none"), "");
    EXPECT_TRUE(line->text.starts_with("time=2026")) << "the collector's prefix is not part of the line";
}

// Guards against lines of other programs and truncated lines that are parsed as events.
TEST(LogLineTest, RejectsOtherText)
{
    for (const auto* text : { "", "plain text", "event=start", "time=1 level=INFO", "time=1 event=a reason=\"open" })
        EXPECT_FALSE(parseLine(text)) << text;
}

// Guards against a crash on arbitrary bytes in a log.
TEST(LogLineTest, AnyBytesAreReadOrRejected)
{
    constexpr int rounds = 20'000;
    constexpr std::string_view alphabet = "time=event \"\\\n\x01\xff";
    base::SeededRandom random { 1 };
    for (int round = 0; round < rounds; ++round) {
        std::string text = "time=1 ";
        for (auto length = random.below(30); length > 0; --length)
            text += alphabet[random.below(alphabet.size())];
        const auto line = parseLine(text);
        EXPECT_TRUE(!line || !line->field("event").empty());
    }
}

} // namespace chivewinch::logging
