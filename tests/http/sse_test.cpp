#include "http/sse.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace chivewinch::http {

// Guards against a token that is lost or counted twice when an event is split across reads.
RC_GTEST_PROP(EventSplitterTest, FindsEveryEventAtAnyReadBoundary, ())
{
    const auto count = *rc::gen::inRange(0, 20);
    std::string body;
    for (int i = 0; i < count; ++i)
        body += makeEvent("token " + std::to_string(i));
    EventSplitter splitter;
    int found = 0;
    for (std::size_t position = 0; position < body.size();) {
        const auto length = *rc::gen::inRange<std::size_t>(1, 30);
        splitter.append(std::string_view { body }.substr(position, length));
        position += length;
        while (const auto event = splitter.next())
            RC_ASSERT(eventData(*event) == "token " + std::to_string(found++));
    }
    RC_ASSERT(found == count);
    RC_ASSERT(splitter.rest().empty());
}

TEST(EventDataTest, ReadsDataField)
{
    EXPECT_EQ(eventData("data: x\n\n"), "x");
    EXPECT_EQ(eventData("data:x\n\n"), "x");
    EXPECT_EQ(eventData(": comment\n\n"), "");
}

} // namespace chivewinch::http
