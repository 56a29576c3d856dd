#include "settings/definition.hpp"

#include <gtest/gtest.h>

namespace chivewinch::settings {

using namespace std::chrono_literals;

class DefinitionTest : public testing::Test {
protected:
    Definition definition { "chivewinch-entry", "test",
        {
            { .name = "listen", .description = "d", .type = ValueType::endpoint(), .defaultValue = std::nullopt },
            { .name = "drain-timeout",
                .description = "d",
                .type = ValueType::duration(1s, 10min),
                .defaultValue = "30s" },
            { .name = "workers", .description = "d", .type = ValueType::integer(1, 64), .defaultValue = "2" },
        } };
    std::map<std::string, std::string> variables;

    std::optional<Values> parse(const std::vector<std::string>& arguments)
    {
        return this->definition.parse(arguments, [this](const std::string& name) -> std::optional<std::string> {
            const auto found = this->variables.find(name);
            return found == this->variables.end() ? std::nullopt : std::optional { found->second };
        });
    }
};

TEST_F(DefinitionTest, FlagOverridesVariableAndVariableOverridesDefault)
{
    this->variables = { { "CHIVEWINCH_ENTRY_WORKERS", "3" }, { "CHIVEWINCH_ENTRY_DRAIN_TIMEOUT", "2m" } };
    const auto values = this->parse({ "--listen", "127.0.0.1:80", "--workers", "4" });
    ASSERT_TRUE(values) << this->definition.lastReason().detail;
    EXPECT_EQ(values->integer("workers"), 4);
    EXPECT_EQ(values->duration("drain-timeout"), 2min);
    EXPECT_EQ(values->endpoint("listen"), (Endpoint { .address = "127.0.0.1", .port = 80 }));
}

// Guards against an error message that does not say which setting is invalid and which values are accepted.
TEST_F(DefinitionTest, InvalidValueErrorNamesSettingValueAndAcceptedValues)
{
    EXPECT_FALSE(this->parse({ "--listen", "127.0.0.1:80", "--workers", "90" }));
    EXPECT_EQ(this->definition.lastReason().code, ErrorCode::InvalidValue);
    EXPECT_EQ(this->definition.lastReason().detail,
        "setting workers (--workers): value \"90\" is not accepted; expected integer from 1 to 64");
}

TEST_F(DefinitionTest, MissingRequiredSettingIsAnError)
{
    EXPECT_FALSE(this->parse({}));
    EXPECT_EQ(this->definition.lastReason().code, ErrorCode::Missing);
}

// Guards against an abbreviated or misspelled flag that is silently accepted as another one.
TEST_F(DefinitionTest, UnknownAndAbbreviatedFlagsAreErrors)
{
    EXPECT_FALSE(this->parse({ "--listen", "127.0.0.1:80", "--worker", "4" }));
    EXPECT_EQ(this->definition.lastReason().code, ErrorCode::UnknownFlag);
    EXPECT_FALSE(this->parse({ "--listen", "127.0.0.1:80", "stray" }));
}

TEST(ValueTypeTest, ParsesEndpoints)
{
    EXPECT_EQ(parseEndpoint("[::1]:9"), (Endpoint { .address = "::1", .port = 9 }));
    for (const auto* text :
        { "", ":80", "localhost:80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:65536", "::1:80", "[127.0.0.1]:1" })
        EXPECT_FALSE(parseEndpoint(text)) << text;
}

TEST(ValueTypeTest, ParsesDurations)
{
    EXPECT_EQ(parseDuration("250ms"), 250ms);
    EXPECT_EQ(parseDuration("2h"), 2h);
    for (const auto* text : { "", "5", "s", "-1s", "1.5s", "1 s", "99999999999999999999s" })
        EXPECT_FALSE(parseDuration(text)) << text;
}

TEST(ValueTypeTest, SplitsLists)
{
    EXPECT_EQ(splitList(""), std::vector<std::string> {});
    EXPECT_EQ(splitList("a,b"), (std::vector<std::string> { "a", "b" }));
}

} // namespace chivewinch::settings
