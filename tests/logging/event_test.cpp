#include "logging/event.hpp"

#include <gtest/gtest.h>

namespace chivewinch::logging {

TEST(EventTest, WritesKeysAndValues)
{
    Event event { "request_done" };
    event.field("tokens", 7).field("ok", true).field("seconds", 0.25).field("team", "bars");
    EXPECT_EQ(event.line(), "event=request_done tokens=7 ok=true seconds=0.250 team=bars");
}

// Guards against log injection, where text from a caller adds a second event or a second key.
TEST(EventTest, QuotesValuesThatWouldBreakTheLine)
{
    Event event { "refused" };
    event.field("path", "/a b\nevent=fake \"x\\");
    EXPECT_EQ(event.line(), "event=refused path=\"/a b event=fake \\\"x\\\\\"");
}

} // namespace chivewinch::logging
