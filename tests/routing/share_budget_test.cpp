#include "base/random.hpp"
#include "routing/share_budget.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <vector>

namespace chivewinch::routing::internal {
namespace {

using namespace std::chrono_literals;
using base::SteadyTime;

// Guards against two bursts of retries within one window that each use the whole budget. This happens if the budget
// discards retries before the window has passed.
TEST(ShareBudget, HoldsInEveryWindow)
{
    constexpr auto window = 10s;
    constexpr double share = 0.2;
    constexpr std::uint32_t constant = 3;
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        SCOPED_TRACE(seed);
        base::SeededRandom random { seed };
        ShareBudget budget { share, constant, window };
        std::vector<SteadyTime> ordinary;
        std::vector<SteadyTime> exceptional;
        const SteadyTime start { 1h };
        for (auto now = start; now < start + 60s; now += 20ms) {
            // Requests arrive at any time, retries in bursts as in an outage.
            if (random.below(2) == 0) {
                ordinary.push_back(now);
                budget.recordOrdinary(now);
            }
            const bool isBurst = (now - start) % (9s + std::chrono::milliseconds { seed * 20 }) < 300ms;
            while (isBurst && budget.allows(now)) {
                budget.recordExceptional(now);
                exceptional.push_back(now);
            }
        }
        for (const auto last : exceptional) {
            const auto within = [&](const std::vector<SteadyTime>& times) {
                return std::ranges::count_if(times, [&](auto time) { return time > last - window && time <= last; });
            };
            EXPECT_LE(
                static_cast<double>(within(exceptional)), share * static_cast<double>(within(ordinary)) + constant);
        }
    }
}

} // namespace
} // namespace chivewinch::routing::internal
