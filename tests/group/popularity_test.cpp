#include "base/random.hpp"
#include "group/popularity.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <numeric>
#include <optional>

namespace chivewinch::group {
namespace {

using namespace std::chrono_literals;
using base::SteadyTime;

constexpr std::uint32_t experts = 64;
constexpr std::uint32_t layers = 4;
constexpr auto interval = 160ms;

/**
 * Simulated requests of several topics. Each topic uses the experts of a layer in its own proportions, which share a
 * common part.
 */
class Traffic {
public:
    explicit Traffic(std::uint64_t seed)
        : random { seed }
        , topics(topicCount, std::vector<double>(std::size_t { layers } * experts))
    {
        for (std::size_t index = 0; index < std::size_t { layers } * experts; ++index)
            this->draw(index);
    }

    /** Simulates a change of the content: all topics use some of the experts in new proportions. */
    void shift()
    {
        constexpr double share = 0.6;
        for (std::size_t index = 0; index < std::size_t { layers } * experts; ++index)
            if (this->random.unit() < share)
                this->draw(index);
    }

    std::vector<double> reading(int requests)
    {
        std::vector<double> tokens(std::size_t { layers } * experts);
        for (int request = 0; request < requests; ++request) {
            const auto& topic = this->topics[this->random.below(topicCount)];
            const auto size = 200 + 1'200 * this->random.unit();
            for (std::size_t index = 0; index < tokens.size(); ++index)
                tokens[index] += size * topic[index];
        }
        return tokens;
    }

    /** Distance between the tokens and the true popularity over all topics. */
    [[nodiscard]] double errorOf(const std::vector<double>& tokens) const
    {
        std::vector<double> truth(tokens.size());
        for (const auto& topic : this->topics)
            for (std::size_t index = 0; index < truth.size(); ++index)
                truth[index] += topic[index];
        const auto total = std::accumulate(tokens.begin(), tokens.end(), 0.0);
        const auto trueTotal = std::accumulate(truth.begin(), truth.end(), 0.0);
        double error = 0;
        for (std::size_t index = 0; index < truth.size(); ++index)
            error += std::abs(tokens[index] / total - truth[index] / trueTotal) / 2;
        return error;
    }

private:
    static constexpr std::size_t topicCount = 9;

    base::SeededRandom random;
    std::vector<std::vector<double>> topics;

    void draw(std::size_t index)
    {
        constexpr double commonPart = 0.65;
        const auto weight = [this] { return std::pow(0.05 + this->random.unit(), 3); };
        const auto common = weight();
        for (auto& topic : this->topics)
            topic[index] = commonPart * common + (1 - commonPart) * weight();
    }
};

/** Time from a shift until the popularity is known again and close to the true one; nullopt if this does not happen. */
std::optional<std::chrono::milliseconds> timeToFollow(
    std::uint64_t seed, int requestsPerReading, PopularityOptions options)
{
    Traffic traffic { seed };
    Popularity popularity { options, experts };
    SteadyTime now { 1h };
    constexpr int before = 30;
    constexpr int after = 20;
    for (int reading = 0; reading < before; ++reading)
        popularity.add(traffic.reading(requestsPerReading), now += interval);
    EXPECT_EQ(popularity.shifts(), 0U) << "seed " << seed;
    traffic.shift();
    const auto shifted = now;
    for (int reading = 0; reading < after; ++reading) {
        popularity.add(traffic.reading(requestsPerReading), now += interval);
        if (popularity.isKnown() && traffic.errorOf(popularity.tokens()) < 0.1)
            return std::chrono::duration_cast<std::chrono::milliseconds>(now - shifted);
    }
    return std::nullopt;
}

// Guards against a map that is ready only when the next shift occurs: shifts follow each other within 2.2 s.
TEST(Popularity, FollowsAShiftWithinTheNextReadings)
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        const auto time = timeToFollow(seed, 40, {});
        ASSERT_TRUE(time) << "seed " << seed;
        EXPECT_LE(*time, 2 * interval) << "seed " << seed;
    }
}

// Shows that the popularity follows a shift more slowly if earlier readings only decay.
TEST(Popularity, FollowsSlowlyWithoutReset)
{
    int late = 0;
    for (std::uint64_t seed = 1; seed <= 200; ++seed)
        late += timeToFollow(seed, 40, { .resetsOnShift = false }).value_or(1h) > 4 * interval ? 1 : 0;
    EXPECT_GT(late, 190);
}

// Guards against random variation of a few requests being detected as shifts; each would cost a change of the map.
TEST(Popularity, DetectsNoShiftInFewRequests)
{
    std::uint64_t shifts = 0;
    constexpr std::uint64_t runs = 50;
    constexpr int readings = 200;
    for (std::uint64_t seed = 1; seed <= runs; ++seed) {
        Traffic traffic { seed };
        Popularity popularity { {}, experts };
        SteadyTime now { 1h };
        for (int reading = 0; reading < readings; ++reading)
            popularity.add(traffic.reading(8), now += interval);
        shifts += popularity.shifts();
    }
    EXPECT_LE(static_cast<double>(shifts) / (runs * readings), 0.001);
}

// Guards against a plan that uses a reading which began before the shift that it reveals.
TEST(Popularity, IsUnknownRightAfterAShift)
{
    Traffic traffic { 3 };
    Popularity popularity { {}, experts };
    SteadyTime now { 1h };
    EXPECT_FALSE(popularity.isKnown());
    for (int reading = 0; reading < 10; ++reading)
        popularity.add(traffic.reading(40), now += interval);
    EXPECT_TRUE(popularity.isKnown());
    auto mixed = traffic.reading(20);
    traffic.shift();
    const auto rest = traffic.reading(20);
    std::ranges::transform(mixed, rest, mixed.begin(), std::plus {});
    popularity.add(mixed, now += interval);
    EXPECT_EQ(popularity.shifts(), 1U);
    EXPECT_FALSE(popularity.isKnown());
}

// Guards against a crash when the engines restart with other limits or count no tokens.
TEST(Popularity, AcceptsReadingsOfOtherShapes)
{
    Popularity popularity { {}, 2 };
    SteadyTime now { 1h };
    popularity.add({ 5, 5, 5, 5 }, now += interval);
    popularity.add({ 5, 5 }, now += interval);
    popularity.add({ 1, 2, 3 }, now += interval);
    popularity.add({}, now += interval);
    popularity.add({ 0, 0 }, now += interval);
    EXPECT_EQ(popularity.shifts(), 0U);
    Popularity { {}, 0 }.add({ 1 }, now);
}

} // namespace
} // namespace chivewinch::group
