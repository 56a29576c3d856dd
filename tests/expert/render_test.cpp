#include "expert/render.hpp"

#include <gtest/gtest.h>

namespace chivewinch::expert {

// Guards against a chart that hides the most loaded rank of a block.
TEST(RenderBarsTest, ShowsTheLargestLoadOfEachBlock)
{
    const std::vector<double> loads { 1, 2, 0.5, 0.25 };
    EXPECT_EQ(renderBars(loads, { .width = 4, .maxRows = 2 }), "      0-1    2.000  ####\n      2-3    0.500  #\n");
    EXPECT_EQ(renderBars({}, {}), "");
}

TEST(RenderSvgTest, IsACompleteDocumentAndRepeatable)
{
    const std::vector<Series> series { { .label = "ours", .x = { 0, 1, 10 }, .y = { 3, 2, 1 } } };
    const PlotOptions options { .title = "a < b & c", .xLabel = "x", .yLabel = "y", .logarithmicX = true };
    const auto svg = renderSvg(series, options);
    EXPECT_TRUE(svg.starts_with("<?xml"));
    EXPECT_TRUE(svg.ends_with("</svg>\n"));
    EXPECT_NE(svg.find(">a &lt; b &amp; c</text>"), std::string::npos);
    EXPECT_TRUE(svg == renderSvg(series, options));
    const std::vector<double> loads { 1, 2 };
    EXPECT_NE(renderSvg(loads, options).find("</svg>"), std::string::npos);
    EXPECT_NE(renderSvg(std::span<const Series> {}, options).find("</svg>"), std::string::npos);
}

TEST(PlanReportTest, NamesReasonAndCharges)
{
    Decision decision { .reason = DecisionReason::WithinNoise, .skewNow = 1.0312 };
    decision.charges = { { .owner = "lepelgilde", .bytes = 42 } };
    const auto report = planReport(decision);
    EXPECT_NE(report.find("keep (within_noise)"), std::string::npos);
    EXPECT_NE(report.find("skew now       1.0312"), std::string::npos);
    EXPECT_NE(report.find("lepelgilde 42 bytes"), std::string::npos);
}

} // namespace chivewinch::expert
