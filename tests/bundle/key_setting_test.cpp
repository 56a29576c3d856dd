#include "bundle/key_setting.hpp"

#include <gtest/gtest.h>

namespace chivewinch::bundle {

// Guards against a mistyped key that is silently ignored: its owner would have no key and need not sign.
TEST(KeySettingTest, ReadsKeysAndRejectsEverythingElse)
{
    const std::string key(64, 'a');
    const std::string other(64, 'b');
    Error reason;
    const auto keys = parseTrustedKeys("x=" + key + ",y=" + key + ",x=" + other, reason);
    ASSERT_TRUE(keys);
    EXPECT_EQ(keys->at("x"), (std::vector { key, other }));
    EXPECT_EQ(keys->at("y"), std::vector { key });
    EXPECT_TRUE(parseTrustedKeys("", reason)->empty());
    for (const auto& text :
        { std::string { "x" }, "x=" + key + "0", "=" + key, "x=" + key + ",,", std::string { "x=zz" } })
        EXPECT_FALSE(parseTrustedKeys(text, reason)) << text;
}

} // namespace chivewinch::bundle
