#include "ctl/expert_input.hpp"
#include "ctl/table.hpp"

#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>

namespace chivewinch::ctl {

namespace {

bundle::Bundle twoRankBundle()
{
    bundle::Bundle content;
    content.groups = {
        { .id = "g", .model = "m", .ranks = 2, .layers = 2, .experts = 3, .rankMemoryMib = 40, .expertSizeMib = 10 }
    };
    content.expertLayers = { { .group = "g", .layer = 0, .slots = { 0, 1, 0, 2 } } };
    return content;
}

} // namespace

// Guards against planning from an expert map other than the one in the bundle.
TEST(ExpertInputTest, BuildsTheMapOfTheBundle)
{
    auto content = twoRankBundle();
    content.groups[0].rankMemoryMib = 40;
    std::string reason;
    const auto input = buildGroupInput(content, "g", reason);
    ASSERT_TRUE(input) << reason;
    const auto& layer = input->map.layer(0);
    ASSERT_EQ(layer.size(), 4U);
    EXPECT_EQ(layer[0].share + layer[1].share, expert::shareUnit);
    EXPECT_EQ(layer[2].share, expert::shareUnit);
    EXPECT_FALSE(buildGroupInput(content, "none", reason));
    EXPECT_EQ(reason, "the bundle has no group \"none\"");
}

TEST(ExpertInputTest, ReportsLineNumberOfMalformedReport)
{
    std::string reason;
    const auto input = buildGroupInput(twoRankBundle(), "g", reason);
    ASSERT_TRUE(input) << reason;
    expert::LoadEstimator estimator { input->map.shape() };
    const std::string path = testing::TempDir() + "reports.jsonl";
    std::ofstream { path } << R"({"interval":0,"layer":0,"rank":0,"tokens":[5,5]})"
                           << "\n{\n";
    EXPECT_FALSE(readReports(path, input->map, estimator, reason));
    EXPECT_NE(reason.find(":2: "), std::string::npos) << reason;
    std::remove(path.c_str());
}

TEST(TableTest, AlignsColumns)
{
    EXPECT_EQ(renderTable({ { "A", "LONG" }, { "value", "x" } }), "A      LONG\nvalue  x\n");
}

} // namespace chivewinch::ctl
