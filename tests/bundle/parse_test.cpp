#include "base/random.hpp"
#include "bundle/canonical.hpp"
#include "bundle/parse.hpp"
#include "bundle/schema.hpp"
#include "bundle/snapshot.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <sstream>

namespace chivewinch::bundle {

namespace {

std::string readFile(const std::string& name)
{
    std::ifstream file { std::string { CHIVEWINCH_SOURCE_DIR } + "/" + name };
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::string describeAll(const std::vector<ConfigError>& errors)
{
    std::string text;
    for (const auto& error : errors)
        text += error.path + " = " + error.value + ": " + error.fix + "\n";
    return text;
}

Bundle example(const std::string& name)
{
    std::vector<ConfigError> errors;
    auto bundle = parse(readFile("examples/bundles/" + name), errors);
    EXPECT_TRUE(bundle) << describeAll(errors);
    return bundle.value_or(Bundle {});
}

bool hasPath(const std::vector<ConfigError>& errors, std::string_view path)
{
    return std::ranges::any_of(errors, [&](const auto& error) { return error.path == path && !error.fix.empty(); });
}

} // namespace

class ExampleTest : public testing::TestWithParam<std::string> { };

// Guards against a field that is lost when a bundle is converted to TOML or to parts and back.
TEST_P(ExampleTest, RoundTripsThroughTomlAndParts)
{
    const auto bundle = example(this->GetParam());
    EXPECT_EQ(bundle.targets.size(), 19U);
    EXPECT_EQ(bundle.teams.size(), 10U);
    std::vector<ConfigError> errors;
    EXPECT_EQ(parse(toToml(bundle), errors), bundle) << describeAll(errors);
    Error reason;
    EXPECT_EQ(decode(encode(bundle), reason), bundle) << reason.detail;
    for (const auto& [name, records] : encode(bundle))
        EXPECT_EQ(parsePartText(partText(records)), records) << name;
}

INSTANTIATE_TEST_SUITE_P(Bundles, ExampleTest, testing::Values("kilat-lilin.toml", "lepelgilde.toml"));

// Guards against a parser that stops at the first error, so that operators correct a bundle one error at a time.
TEST(ParseTest, ReportsAllErrorsAtOnceWithPathValueAndFix)
{
    std::vector<ConfigError> errors;
    const auto bundle = parse(R"(
format = 2
colour = "red"
[[owner]]
id = "a"
name = "A"
public_key = "00"
[[team]]
id = "t"
owner = "nobody"
rate = "fast"
priority = 12
models = ["missing"]
speed = 3
[[team]]
owner = "a"
[[target]]
id = "x"
kind = "lathe"
zone = "nowhere"
address = "host.example"
port = 70000
)",
        errors);
    EXPECT_FALSE(bundle);
    for (const auto* path : { "format", "colour", "owner.a.public_key", "team.t.owner", "team.t.rate",
             "team.t.priority", "team.t.models", "team.t.speed", "team.t.key_hash", "team[1].id", "target.x.kind",
             "target.x.zone", "target.x.address", "target.x.port" })
        EXPECT_TRUE(hasPath(errors, path)) << path << "\n" << describeAll(errors);
}

TEST(ParseTest, ReportsSyntaxErrorWithLine)
{
    std::vector<ConfigError> errors;
    EXPECT_FALSE(parse("format = 1\n[[owner\n", errors));
    ASSERT_EQ(errors.size(), 1U);
    EXPECT_TRUE(errors[0].path.starts_with("line ")) << errors[0].path;
}

// Guards against two teams that share a key, and against an expert map without a slot for some expert.
TEST(CheckTest, FindsBrokenReferences)
{
    auto bundle = example("kilat-lilin.toml");
    bundle.teams[1].keyHash = bundle.teams[0].keyHash;
    std::ranges::replace(bundle.expertLayers[0].slots, 15U, 0U);
    bundle.targets[0].service = "ordering";
    bundle.targets[2].address = bundle.targets[1].address;
    const auto errors = check(bundle);
    EXPECT_EQ(errors.size(), 4U) << describeAll(errors);
    EXPECT_TRUE(hasPath(errors, "team." + bundle.teams[1].id + ".key_hash"));
    EXPECT_TRUE(hasPath(errors, "expert_layer.assistant-a/0.slots"));
    EXPECT_TRUE(hasPath(errors, "target.assistant-01.service"));
    EXPECT_TRUE(hasPath(errors, "target.assistant-03.port"));
}

// Guards against damaged text that terminates the process instead of being reported.
TEST(ParsePropertyTest, DamagedTextIsReportedOrRead)
{
    const auto text = readFile("examples/bundles/lepelgilde.toml");
    constexpr std::uint64_t firstSeed = 1;
    constexpr std::uint64_t texts = 300;
    std::cout << "seeds " << firstSeed << " to " << firstSeed + texts - 1 << std::endl;
    for (auto seed = firstSeed; seed < firstSeed + texts; ++seed) {
        base::SeededRandom random { seed };
        auto damaged = text;
        for (std::uint64_t i = 0; i <= random.below(4); ++i) {
            const auto at = random.below(damaged.size());
            if (random.below(2) == 0)
                damaged[at] = static_cast<char>(random.below(256));
            else
                damaged.erase(at, random.below(30));
        }
        std::vector<ConfigError> errors;
        const auto bundle = parse(damaged, errors);
        ASSERT_EQ(bundle.has_value(), errors.empty()) << "seed " << seed;
        ASSERT_TRUE(!bundle || check(*bundle).empty()) << "seed " << seed;
        for (const auto& error : errors)
            ASSERT_FALSE(error.path.empty() || error.fix.empty()) << "seed " << seed;
    }
}

class SnapshotTest : public testing::Test {
protected:
    Snapshot snapshot { example("kilat-lilin.toml"), base::BundleVersion { 7 }, "hash" };
};

TEST_F(SnapshotTest, FindsTeamByKeyAndTargetsByName)
{
    ASSERT_NE(this->snapshot.teamByKey("wax-hall-demo-key"), nullptr);
    EXPECT_EQ(this->snapshot.teamByKey("wax-hall-demo-key")->id, "wax-hall");
    EXPECT_EQ(this->snapshot.teamByKey("guess"), nullptr);
    EXPECT_EQ(this->snapshot.targetsByModel("assistant").size(), 16U);
    EXPECT_EQ(this->snapshot.targetsByService("ordering").size(), 3U);
    EXPECT_TRUE(this->snapshot.targetsByModel("ordering").empty());
    EXPECT_EQ(this->snapshot.expectedEntries(), 9U);
    EXPECT_TRUE(this->snapshot.allowsModel(*this->snapshot.teamByKey("wax-hall-demo-key"), "assistant"));
    EXPECT_FALSE(this->snapshot.allowsModel(*this->snapshot.teamByKey("wax-hall-demo-key"), "other"));
}

// Guards against a non-repeatable call that runs twice because its path is spelled differently.
TEST_F(SnapshotTest, SpellingsOfNonRepeatableCallAreNotRepeatable)
{
    for (const auto* path : { "/cartons/12/confirm", "/cartons/12/confirm/", "//cartons/12/confirm?x=1",
             "/%63artons/12/confirm", "/stock/../cartons/12/confirm", "/cartons%2f12/confirm", "/cartons/%zz" })
        EXPECT_FALSE(this->snapshot.isRepeatable("ordering", "POST", path)) << path;
    EXPECT_TRUE(this->snapshot.isRepeatable("ordering", "GET", "/cartons/12"));
    EXPECT_TRUE(this->snapshot.isRepeatable("ordering", "GET", "/stock"));
    EXPECT_FALSE(this->snapshot.isRepeatable("unknown", "GET", "/stock"));
}

// Guards against documentation that differs from the fields that the parser reads.
TEST(SchemaTest, DocumentationHasTheTable)
{
    EXPECT_NE(readFile("docs/bundle.md").find(schemaTable()), std::string::npos) << schemaTable();
}

} // namespace chivewinch::bundle
