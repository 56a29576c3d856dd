#include "expert/expert_fixture.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace chivewinch::expert {

namespace {

const GroupShape shape { .ranks = 16, .experts = 32, .layers = 8, .slotsPerRank = 4 };

} // namespace

// Guards against missing reports of a rank that lower the estimated popularity of its experts.
TEST(LoadEstimatorTest, MissingRanksDoNotBiasTheEstimate)
{
    base::SeededRandom random { 1 };
    const auto loads = randomLoads(shape.experts, random);
    const auto map = solvedMap(shape, loads);
    LoadEstimator estimator { shape };
    for (std::uint64_t interval = 0; interval < 60; ++interval)
        observe(estimator, map, loads, interval, random, { 3, 7 });
    for (std::uint32_t expert = 0; expert < shape.experts; ++expert) {
        std::uint32_t reporting = 0;
        for (const auto& replica : map.layer(0))
            reporting
                += replica.expert == expert && replica.share > 0 && replica.rank != 3 && replica.rank != 7 ? 1 : 0;
        if (reporting == 0)
            continue;
        EXPECT_NEAR(estimator.layer(0).load[expert] / loads[expert], 1, 0.05) << "expert " << expert;
    }
}

// Guards against reports that are counted twice, after their interval is closed, or for replicas that the rank does not
// hold.
TEST(LoadEstimatorTest, RefusesRepeatedLateAndMalformedReports)
{
    base::SeededRandom random { 2 };
    const auto loads = randomLoads(shape.experts, random);
    const auto map = solvedMap(shape, loads);
    LoadEstimator estimator { shape };
    auto report = reportsOf(map, loads, 0, random).front();
    EXPECT_EQ(estimator.add(report, map), ReportResult::Accepted);
    EXPECT_EQ(estimator.add(report, map), ReportResult::Duplicate);
    report.tokens.push_back(1);
    EXPECT_EQ(estimator.add(report, map), ReportResult::Malformed);
    report.rank = shape.ranks;
    EXPECT_EQ(estimator.add(report, map), ReportResult::Malformed);
    observe(estimator, map, loads, 0, random);
    EXPECT_EQ(estimator.add(reportsOf(map, loads, 0, random).back(), map), ReportResult::TooLate);
    EXPECT_EQ(estimator.lateReports(), 1U);
    EXPECT_EQ(estimator.add(reportsOf(map, loads, 100, random).front(), map), ReportResult::Malformed);
}

// Guards against intervals that never close when many ranks send no reports.
TEST(LoadEstimatorTest, IncompleteIntervalsCloseAfterTheLatePeriod)
{
    base::SeededRandom random { 3 };
    const auto loads = randomLoads(shape.experts, random);
    const auto map = solvedMap(shape, loads);
    LoadEstimator estimator { shape };
    const std::vector<std::uint32_t> silent { 0, 1, 2, 3, 4, 5, 6, 7 };
    observe(estimator, map, loads, 0, random, silent);
    EXPECT_EQ(estimator.layer(0).intervals, 0U);
    estimator.close(EstimatorOptions {}.lateIntervals);
    EXPECT_EQ(estimator.layer(0).intervals, 1U);
}

// Guards against noise that is classified as drift.
TEST(LoadEstimatorTest, NoiseIsNotDrift)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        base::SeededRandom random { seed };
        const auto loads = randomLoads(shape.experts, random);
        const auto map = solvedMap(shape, loads);
        LoadEstimator estimator { shape };
        for (std::uint64_t interval = 0; interval < 200; ++interval) {
            observe(estimator, map, loads, interval, random, { static_cast<std::uint32_t>(random.below(shape.ranks)) });
            for (std::uint32_t layer = 0; layer < shape.layers; ++layer)
                ASSERT_EQ(estimator.layer(layer).drift, Drift::None) << "seed " << seed << " interval " << interval;
        }
    }
}

// Guards against a surge that is classified as noise. As during a tournament weekend, popularity rises threefold within
// ten intervals.
TEST(LoadEstimatorTest, DetectsASurgeWhileItRises)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        base::SeededRandom random { seed };
        auto loads = randomLoads(shape.experts, random);
        const auto map = solvedMap(shape, loads);
        LoadEstimator estimator { shape };
        std::uint64_t interval = 0;
        for (; interval < 40; ++interval)
            observe(estimator, map, loads, interval, random);
        for (; interval < 50; ++interval) {
            for (std::uint32_t expert = 0; expert < 4; ++expert)
                loads[expert] *= 1.116;
            observe(estimator, map, loads, interval, random);
        }
        EXPECT_NE(estimator.layer(0).drift, Drift::None) << "seed " << seed;
    }
}

} // namespace chivewinch::expert
