#include "base/reason.hpp"

#include <gtest/gtest.h>

#include <set>

namespace chivewinch::base {

// Guards against a reason with a missing or duplicate name, which would merge two metric counters.
TEST(ReasonTest, NamesAreUniqueAndComplete)
{
    std::set<std::string_view> names;
    for (std::size_t i = 0; i < static_cast<std::size_t>(RefusalReason::Count); ++i)
        names.insert(toString(static_cast<RefusalReason>(i)));
    EXPECT_EQ(names.size(), static_cast<std::size_t>(RefusalReason::Count));
    EXPECT_FALSE(names.contains(""));

    names.clear();
    for (std::size_t i = 0; i < static_cast<std::size_t>(RetryReason::Count); ++i)
        names.insert(toString(static_cast<RetryReason>(i)));
    EXPECT_EQ(names.size(), static_cast<std::size_t>(RetryReason::Count));
    EXPECT_FALSE(names.contains(""));
    EXPECT_EQ(toString(RefusalReason::Count), "invalid");
}

} // namespace chivewinch::base
