#include "routing/request.hpp"

#include <gtest/gtest.h>

namespace chivewinch::routing {

// Guards against enum values without a metric label.
TEST(RoutingNamesTest, EveryValueHasName)
{
    for (std::size_t i = 0; i < static_cast<std::size_t>(ChoiceKind::Count); ++i)
        EXPECT_NE(toString(static_cast<ChoiceKind>(i)), "invalid");
    for (std::size_t i = 0; i < static_cast<std::size_t>(Result::Count); ++i)
        EXPECT_NE(toString(static_cast<Result>(i)), "invalid");
}

} // namespace chivewinch::routing
