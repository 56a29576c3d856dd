#include "base/random.hpp"
#include "limit/team_limiter.hpp"
#include "support/schedules.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <deque>
#include <iostream>
#include <string_view>
#include <vector>

namespace chivewinch::limit {

using namespace std::chrono_literals;

namespace {

/** Simulates entries that admit requests of one team, each with its own random number of live entries. */
class LimiterSchedule {
public:
    LimiterSchedule(std::uint64_t seed, const LimiterOptions& options)
        : random { seed }
        , expected { 1 + this->random.below(12) }
        , entries(1 + this->random.below(this->expected), TeamLimiter { options })
        , ended(this->entries.size())
    {
        constexpr std::array rates { 0.5, 3.0, 40.0, 400.0 };
        this->limit.requestsPerSecond = rates[this->random.below(rates.size())];
        this->limit.concurrency = std::array { 1.0, 5.0, 50.0 }[this->random.below(3)];
        for (auto& entry : this->entries) {
            this->changeView(entry);
            entry.setTeams({ &this->limit, 1 });
        }
    }

    std::string_view run()
    {
        for (int step = 0; step < 400 && this->violation.empty(); ++step) {
            this->now += std::chrono::milliseconds { this->random.below(this->random.below(20) == 0 ? 3000 : 30) };
            this->endRequests();
            if (this->random.below(10) == 0)
                this->changeView(this->entries[this->random.below(this->entries.size())]);
            const auto entry = this->random.below(this->entries.size());
            for (auto tries = this->random.below(20); tries > 0; --tries)
                this->start(entry);
        }
        return this->violation;
    }

private:
    base::SeededRandom random;
    std::size_t expected;
    std::vector<TeamLimiter> entries;
    std::vector<std::deque<base::SteadyTime>> ended; ///< End times of the running requests of each entry.
    TeamLimit limit { .team = "t" };
    base::SteadyTime now { 1000s };
    base::SteadyTime lastAdmission {};
    double excess = 0; ///< Maximum of admissions - 2 * limit * T over all times T that end now.
    std::string_view violation;

    void changeView(TeamLimiter& entry)
    {
        entry.setEntries(1 + this->random.below(this->entries.size()), this->expected);
    }

    void start(std::size_t entry)
    {
        if (!this->entries[entry].tryStart("t", this->now).admitted())
            return;
        if (this->random.below(10) == 0) {
            this->entries[entry].cancelStart("t");
            return;
        }
        this->ended[entry].push_back(this->now + std::chrono::milliseconds { this->random.below(2000) });
        const auto passed = std::chrono::duration<double>(this->now - this->lastAdmission).count();
        this->lastAdmission = this->now;
        this->excess = std::max(0.0, this->excess - 2 * this->limit.requestsPerSecond * passed) + 1;
        const auto entryCount = static_cast<double>(this->entries.size());
        const auto halfExpected = static_cast<double>((this->expected + 1) / 2);
        const auto burst = std::max(1.0, this->limit.requestsPerSecond / halfExpected);
        if (this->excess > entryCount * burst + 1e-6)
            this->violation = "rate above twice the limit plus one burst per entry";
        std::size_t running = 0;
        for (const auto& times : this->ended)
            running += times.size();
        if (static_cast<double>(running) > 2 * this->limit.concurrency + entryCount)
            this->violation = "concurrency above twice the limit plus one per entry";
    }

    void endRequests()
    {
        for (std::size_t i = 0; i < this->entries.size(); ++i) {
            const auto before = this->ended[i].size();
            std::erase_if(this->ended[i], [this](const auto time) { return time <= this->now; });
            for (auto count = before - this->ended[i].size(); count > 0; --count)
                this->entries[i].finished("t", this->now);
        }
    }
};

int countFailures(int schedules, const LimiterOptions& options)
{
    int failures = 0;
    for (int seed = 1; seed <= schedules; ++seed) {
        const auto violation = LimiterSchedule { static_cast<std::uint64_t>(seed), options }.run();
        if (!violation.empty() && failures++ == 0)
            std::cout << "first failure: seed " << seed << ": " << violation << std::endl;
    }
    return failures;
}

constexpr int fullCount = support::schedulesToRun(20'000);
constexpr int switchedOffCount = 500;

} // namespace

// Guards against entries that together admit more than the documented bound under partitions, when they disagree about
// the number of live entries.
TEST(LimiterScheduleTest, OverAdmissionStaysWithinBound)
{
    std::cout << "seeds 1 to " << fullCount << std::endl;
    EXPECT_EQ(countFailures(fullCount, {}), 0);
}

// Checks that the schedules exercise each mechanism: the bound must be exceeded when the mechanism is disabled.
TEST(LimiterScheduleTest, BoundFailsWithoutItsMechanism)
{
    EXPECT_GT(countFailures(switchedOffCount, { .useMinimumDivisor = false }), 0);
    EXPECT_GT(countFailures(switchedOffCount, { .limitRate = false }), 0);
    EXPECT_GT(countFailures(switchedOffCount, { .limitConcurrency = false }), 0);
}

// Guards against a team that gets less than its limit, or more than its limit plus a burst, without a partition.
TEST(LimiterScheduleTest, WithoutPartitionTeamGetsItsLimit)
{
    for (const std::size_t count : { 1U, 3U, 8U }) {
        base::SeededRandom random { count };
        std::vector<TeamLimiter> entries(count);
        const TeamLimit limit { .team = "t", .requestsPerSecond = 100, .concurrency = 1000 };
        for (auto& entry : entries) {
            entry.setEntries(count, count);
            entry.setTeams({ &limit, 1 });
        }
        int admitted = 0;
        const base::SteadyTime start { 1000s };
        for (auto time = start; time < start + 60s; time += 1ms) {
            auto& entry = entries[random.below(count)];
            if (!entry.tryStart("t", time).admitted())
                continue;
            ++admitted;
            entry.finished("t", time);
        }
        EXPECT_GE(admitted, 100 * 60);
        EXPECT_LE(admitted, 100 * 61);
    }
}

// Guards against refused requests that consume tokens or slots of later requests.
TEST(LimiterScheduleTest, RefusedRequestsConsumeNoTokensOrSlots)
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        SCOPED_TRACE(seed);
        base::SeededRandom random { seed };
        TeamLimiter withoutRetries;
        TeamLimiter withRetries;
        const TeamLimit limit { .team = "t", .requestsPerSecond = 10, .concurrency = 3 };
        withoutRetries.setTeams({ &limit, 1 });
        withRetries.setTeams({ &limit, 1 });
        base::SteadyTime now { 1000s };
        for (int step = 0; step < 200; ++step) {
            now += std::chrono::milliseconds { random.below(200) };
            const bool admitted = withoutRetries.tryStart("t", now).admitted();
            ASSERT_EQ(withRetries.tryStart("t", now).admitted(), admitted);
            for (int i = 0; !admitted && i < 20; ++i)
                ASSERT_FALSE(withRetries.tryStart("t", now).admitted());
            if (random.below(2) == 0) {
                withoutRetries.finished("t", now);
                withRetries.finished("t", now);
            }
        }
    }
}

// Guards against refused callers that all get the same Retry-After and retry at the same time.
TEST(LimiterScheduleTest, RetryAfterIsSpread)
{
    for (const bool spreadRetries : { true, false }) {
        TeamLimiter limiter { { .spreadRetries = spreadRetries } };
        const TeamLimit limit { .team = "t", .requestsPerSecond = 10, .concurrency = 1000 };
        limiter.setTeams({ &limit, 1 });
        const base::SteadyTime now { 1000s };
        std::vector<int> returnsPerSecond(32);
        for (int i = 0; i < 210; ++i)
            if (const auto decision = limiter.tryStart("t", now); !decision.admitted())
                ++returnsPerSecond[static_cast<std::size_t>(decision.retryAfter / 1s)];
        EXPECT_EQ(*std::ranges::max_element(returnsPerSecond) <= 11, spreadRetries);
    }
}

} // namespace chivewinch::limit
