#include "base/random.hpp"
#include "routing/retry_budget.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <vector>

namespace chivewinch::routing {
namespace {

using namespace std::chrono_literals;
using base::SteadyTime;

std::size_t countWithin(const std::vector<SteadyTime>& times, SteadyTime from, SteadyTime to)
{
    return static_cast<std::size_t>(std::ranges::count_if(times, [&](auto time) { return time >= from && time < to; }));
}

/** Simulates requests at changing rates, with periods in which requests fail and retry as often as allowed. */
class RetryBudgetTest : public testing::Test {
protected:
    static constexpr RetryBudgetOptions options { .share = 0.2, .constant = 1, .window = 10s, .burst = 1500ms };

    std::vector<SteadyTime> requests;
    std::vector<SteadyTime> retries;
    RetryBudget budget { options };
    SteadyTime now { 1h };

    void simulate(std::chrono::milliseconds time, int perSecond, bool isFailing)
    {
        const auto step = std::chrono::nanoseconds { 1s } / perSecond;
        for (const auto end = this->now + time; this->now < end; this->now += step) {
            this->requests.push_back(this->now);
            this->budget.recordRequest(this->now);
            while (isFailing && this->budget.tryRetry(this->now))
                this->retries.push_back(this->now);
        }
    }

    /** Largest number of retries above the share of the requests, over all windows that begin with a retry. */
    [[nodiscard]] double worstExcess() const
    {
        double worst = 0;
        for (const auto from : this->retries) {
            const auto allowed
                = options.share * static_cast<double>(countWithin(this->requests, from, from + options.window));
            worst = std::max(
                worst, static_cast<double>(countWithin(this->retries, from, from + options.window)) - allowed);
        }
        return worst;
    }
};

// Guards against a burst of retries that exceeds the share of the window that begins with it. When many requests failed
// together at the end of a busy period, 340 retries were sent at once; that window had 1,236 requests, which allowed
// 335 (lepelgilde, hunt-eea3-39).
TEST_F(RetryBudgetTest, RetryBurstAfterPeakStaysWithinNextWindow)
{
    constexpr int busy = 170;
    constexpr int calm = 100;
    this->simulate(20s, busy, false);
    this->simulate(200ms, busy, true);
    this->simulate(10s, calm, true);
    EXPECT_GE(this->retries.size(), 200U) << "retries stay below the share of the window with the lower rate";
    constexpr double slack = 88;
    EXPECT_LE(this->worstExcess(), slack);
}

// Guards against windows in which retries exceed the share by more than the constant and the burst, at random rates.
TEST_F(RetryBudgetTest, BoundHoldsInEveryWindow)
{
    constexpr std::uint64_t seeds = 300;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        base::SeededRandom random { seed };
        this->requests.clear();
        this->retries.clear();
        this->budget = RetryBudget { options };
        for (int part = 0; part < 12; ++part)
            this->simulate(std::chrono::milliseconds { 200 + random.below(4'000) },
                1 + static_cast<int>(random.below(60)), random.below(3) == 0);
        for (const auto from : this->retries) {
            const auto counted = countWithin(this->requests, from - options.burst, from + options.window);
            EXPECT_LE(static_cast<double>(countWithin(this->retries, from, from + options.window)),
                options.share * static_cast<double>(counted) + options.constant)
                << "seed " << seed;
        }
    }
}

} // namespace
} // namespace chivewinch::routing
