#include "base/random.hpp"
#include "quota/target_limits.hpp"
#include "support/schedules.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <memory>

namespace chivewinch::quota {
namespace {

using namespace std::chrono_literals;

constexpr std::array<double, 6> coldRates { 0.5, 1, 2, 5, 14, 60 };
constexpr auto settleTime = 2'000ms;
constexpr auto step = 10ms;

/** Requests that all processes together may start within any second at a cold target. */
std::size_t allowedPerSecond(double rate) { return static_cast<std::size_t>(std::ceil(std::max(rate, 1.5))); }

/** Simulated processes that all want to send to one target that is cold. */
class ColdFleet {
public:
    ColdFleet(std::size_t size, double rate, double demand, std::uint64_t seed, bool dividesRates = true)
        : rate { rate }
        , dividesRates { dividesRates }
        , demand { demand }
        , random { seed }
    {
        for (std::size_t i = 0; i < size; ++i)
            this->join();
        this->run(2 * settleTime);
    }

    void join()
    {
        const auto index = this->processes.size();
        auto& process = this->processes.emplace_back();
        process.name = "e" + std::to_string(index);
        this->members.push_back({ process.name, "z" + std::to_string(index % 3) });
        this->restart(index);
        for (auto& other : this->processes)
            other.membersAt = this->now + step * static_cast<int>(this->random.below(settleTime / step / 2));
    }

    void restart(std::size_t index)
    {
        auto& process = this->processes[index];
        process.limits = std::make_unique<TargetLimits>(TargetLimitsOptions {
            .instance = process.name, .settleTime = settleTime, .divideLimits = this->dividesRates });
        if (process.wasRegistered)
            process.limits->setRegisteredBefore();
        process.wasRegistered = true;
        process.limits->coldTargets().setRates(
            { { "p", { .requestsPerSecond = this->rate, .duration = 3s } } }, this->now);
        process.membersAt = this->now;
        process.limits->setTargets({ { "t", target() } }, this->now);
        if (this->isCold)
            this->tell(process);
    }

    void freeze(std::size_t index, std::chrono::milliseconds time)
    {
        this->processes[index].frozenUntil = this->now + time;
    }

    /** The target turns cold for good, which all processes learn at once. */
    void turnCold()
    {
        this->isCold = true;
        this->coldSince = this->now;
        for (auto& process : this->processes)
            this->tell(process);
    }

    void run(std::chrono::milliseconds time)
    {
        for (auto passed = 0ms; passed < time; passed += step) {
            this->now += step;
            for (auto& process : this->processes)
                this->advance(process);
        }
    }

    /** Most requests that started within any second since the target is cold. */
    [[nodiscard]] std::size_t mostPerSecond() const
    {
        std::size_t most = 0;
        for (auto first = this->starts.begin(); first != this->starts.end(); ++first) {
            const auto end = std::lower_bound(first, this->starts.end(), *first + 1s);
            most = std::max(most, static_cast<std::size_t>(end - first));
        }
        return most;
    }

    [[nodiscard]] double meanPerSecond() const
    {
        return static_cast<double>(this->starts.size())
            / std::chrono::duration<double> { this->now - this->coldSince }.count();
    }

    [[nodiscard]] std::size_t startCount() const { return this->starts.size(); }
    [[nodiscard]] std::size_t size() const { return this->processes.size(); }

private:
    struct Process {
        std::string name;
        std::unique_ptr<TargetLimits> limits;
        base::SteadyTime frozenUntil {};
        std::optional<base::SteadyTime> membersAt; ///< Time at which the process learns the newest members.
        bool wasRegistered = false;
    };

    static LimitedTarget target() { return { .incarnation = base::Incarnation { 1 }, .zone = "z1", .pool = "p" }; }

    void tell(Process& process) const { process.limits->coldTargets().report("t", target(), 1h, this->now); }

    void advance(Process& process)
    {
        if (this->now < process.frozenUntil)
            return;
        process.limits->advance(this->now);
        if (process.membersAt && this->now >= *process.membersAt) {
            process.membersAt.reset();
            process.limits->setMembers(this->members, this->now);
        }
        const auto share = this->demand / static_cast<double>(this->processes.size());
        if (this->random.unit() >= share * std::chrono::duration<double> { step }.count()
            || !process.limits->mayStart("t", this->now))
            return;
        process.limits->recordStart("t", this->now);
        if (this->isCold)
            this->starts.push_back(this->now);
    }

    double rate;
    bool dividesRates;
    double demand;
    base::SeededRandom random;
    base::SteadyTime now { 1h };
    base::SteadyTime coldSince {};
    bool isCold = false;
    std::deque<Process> processes;
    std::vector<Member> members;
    std::vector<base::SteadyTime> starts;
};

// Load: all processes want to send far more to one cold target than it tolerates. Guards against a flood that crashes
// it, and against a target that is left idle.
TEST(ColdTargets, AllProcessesTogetherKeepAndUseTheRate)
{
    for (const std::size_t size : { 1, 3, 9, 41, 100 }) {
        for (const auto rate : coldRates) {
            ColdFleet fleet { size, rate, 10 * rate + 50 * static_cast<double>(size), size };
            fleet.turnCold();
            fleet.run(20s);
            EXPECT_LE(fleet.mostPerSecond(), allowedPerSecond(rate)) << size << " members, rate " << rate;
            EXPECT_GE(fleet.meanPerSecond(), 0.4 * rate) << size << " members, rate " << rate;
        }
    }
}

// Guards against a flood while processes start, restart in step, freeze or know different members.
TEST(ColdTargets, KeepTheRateUnderFaults)
{
    constexpr std::uint64_t schedules = 300;
    for (std::uint64_t seed = 1; seed <= support::schedulesToRun(schedules); ++seed) {
        base::SeededRandom random { seed };
        const auto rate = coldRates[random.below(coldRates.size())];
        ColdFleet fleet { 1 + random.below(40), rate, 400, seed };
        fleet.turnCold();
        for (int fault = 0; fault < 12; ++fault) {
            const auto index = random.below(fleet.size());
            switch (random.below(4)) {
            case 0:
                fleet.freeze(index, std::chrono::milliseconds { 500 + random.below(4'000) });
                break;
            case 1:
                fleet.restart(index);
                break;
            case 2:
                for (std::size_t each = 0; each < fleet.size(); ++each)
                    fleet.restart(each);
                break;
            default:
                fleet.join();
            }
            fleet.run(std::chrono::milliseconds { 100 + random.below(1'500) });
        }
        EXPECT_LE(fleet.mostPerSecond(), allowedPerSecond(rate)) << "seed " << seed << ", rate " << rate;
    }
}

// Shows that the check of the rate finds processes that each use the whole rate.
TEST(ColdTargets, ExceedTheRateIfItIsNotDivided)
{
    ColdFleet fleet { 9, 2, 400, 1, false };
    fleet.turnCold();
    fleet.run(5s);
    EXPECT_GT(fleet.mostPerSecond(), allowedPerSecond(2));
}

// Load: all processes and all targets have lost power and start together. Guards against processes that refuse
// everything until they count as known, and against the shares that their predecessors have just used.
TEST(ColdTargets, RestartedProcessesUseTheirSharesAtOnce)
{
    for (const auto rate : { 2.0, 14.0 }) {
        ColdFleet fleet { 41, rate, 400, 1 };
        fleet.turnCold();
        fleet.run(1s);
        const auto startsBefore = fleet.startCount();
        for (std::size_t index = 0; index < fleet.size(); ++index)
            fleet.restart(index);
        // Before settleTime, but after the first refill of the buckets.
        fleet.run(1'900ms);
        EXPECT_LE(fleet.mostPerSecond(), allowedPerSecond(rate));
        EXPECT_GE(static_cast<double>(fleet.startCount() - startsBefore), 0.4 * rate);
    }
}

class ColdTargetsTest : public testing::Test {
protected:
    ColdTargetsTest()
    {
        EXPECT_TRUE(this->owners.setMembers({ { "e", "z" } }, this->now - 1h));
        this->cold.setRates({ { "p", { .requestsPerSecond = 2, .duration = 3s } } }, this->now);
        this->cold.setTargets({ { "t", listed() }, { "u", { .zone = "y", .pool = "p" } } }, this->now);
    }

    static LimitedTarget listed(std::uint64_t incarnation = 1)
    {
        return { .incarnation = base::Incarnation { incarnation }, .zone = "z", .pool = "p" };
    }

    base::SteadyTime now { 2h };
    ShareOwners owners { "e", 1s };
    ColdTargets cold { this->owners };
};

TEST_F(ColdTargetsTest, LimitsATargetUntilItsStatedTimeIsOver)
{
    EXPECT_FALSE(this->cold.isLimited("t"));
    this->cold.report("t", listed(), 2s, this->now);
    EXPECT_TRUE(this->cold.mayStart("t", this->now));
    this->cold.recordStart("t", this->now);
    EXPECT_FALSE(this->cold.mayStart("t", this->now));
    EXPECT_EQ(this->cold.opening("t", 0, this->now)->at, this->now + 1s);
    EXPECT_EQ(this->cold.opening("t", 5, this->now)->at, this->now + 2s);
    this->cold.advance(this->now + 1'999ms);
    EXPECT_TRUE(this->cold.isLimited("t"));
    this->cold.advance(this->now + 2s);
    EXPECT_TRUE(this->cold.mayStart("t", this->now + 2s));
    EXPECT_EQ(this->cold.takeChanges(),
        (std::vector<ColdChange> {
            { .target = "t", .isCold = true, .owners = 1, .isOwner = true }, { .target = "t" } }));
}

// Guards against the full rate at a target that turns cold again, or that a restart under the same ID has made cold.
TEST_F(ColdTargetsTest, FollowsEachStatement)
{
    this->cold.report("t", listed(), 2s, this->now);
    this->cold.report("t", listed(), 0s, this->now + 1s);
    EXPECT_FALSE(this->cold.isLimited("t"));
    this->cold.report("t", listed(), 3s, this->now + 2s);
    EXPECT_TRUE(this->cold.isLimited("t"));
    this->cold.report("t", listed(2), 3s, this->now + 3s);
    this->cold.setTargets({ { "t", listed(2) } }, this->now + 3s);
    this->cold.advance(this->now + 5s);
    EXPECT_TRUE(this->cold.isLimited("t"));
    this->cold.setTargets({ { "t", listed(3) } }, this->now + 5s);
    EXPECT_FALSE(this->cold.isLimited("t"));
}

// Guards against a flood after an evacuation: the statements of the targets are older than its end.
TEST_F(ColdTargetsTest, TreatsAnEvacuatedZoneAsCold)
{
    this->cold.markZone("z", this->now);
    EXPECT_TRUE(this->cold.isLimited("t"));
    EXPECT_FALSE(this->cold.isLimited("u"));
    this->cold.advance(this->now + 3s);
    EXPECT_FALSE(this->cold.isLimited("t"));
}

// Guards against a limit in pools that state none, and against one that begins late because the rate came last.
TEST_F(ColdTargetsTest, FollowsTheRatesOfThePools)
{
    this->cold.setRates({}, this->now);
    this->cold.report("t", listed(), 2s, this->now);
    EXPECT_TRUE(this->cold.mayStart("t", this->now));
    EXPECT_FALSE(this->cold.isLimited("t"));
    this->cold.setRates({ { "p", { .requestsPerSecond = 0, .duration = 3s } } }, this->now);
    EXPECT_FALSE(this->cold.isLimited("t"));
    this->cold.setRates({ { "p", { .requestsPerSecond = 1, .duration = 3s } } }, this->now);
    EXPECT_TRUE(this->cold.isLimited("t"));
}

} // namespace
} // namespace chivewinch::quota
