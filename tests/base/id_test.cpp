#include "base/id.hpp"
#include "base/random.hpp"

#include <gtest/gtest.h>

namespace chivewinch::base {

// Guards against an identifier that changes when it is written to a header and parsed again.
TEST(RequestIdTest, TextFormRoundTrips)
{
    SeededRandom random { 7 };
    for (int i = 0; i < 1000; ++i) {
        const auto id = randomRequestId(random);
        EXPECT_EQ(parseRequestId(toString(id)), id);
    }
}

TEST(RequestIdTest, RejectsMalformedText)
{
    for (const auto* text : { "", "12", "zz000000000000000000000000000000", "0x00000000000000000000000000000000",
             "0000000000000000000000000000000000", "+0000000000000000000000000000000",
             " 0000000000000000000000000000000" })
        EXPECT_FALSE(parseRequestId(text)) << text;
}

} // namespace chivewinch::base
