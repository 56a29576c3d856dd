#include "base/hash.hpp"

#include <gtest/gtest.h>

namespace chivewinch::base {

// Guards against a final-frame digest that depends on how the answer was split into frames.
TEST(StreamHashTest, EqualsHashOfWholeInput)
{
    StreamHash hash;
    hash.update("spoon ");
    hash.update("");
    hash.update("engraving");
    EXPECT_EQ(hash.digest(), hash64("spoon engraving"));
}

TEST(CombineHashTest, DependsOnOrder) { EXPECT_NE(combineHash(1, 2), combineHash(2, 1)); }

} // namespace chivewinch::base
