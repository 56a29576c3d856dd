#include "support/schedules.hpp"
#include "suspect/strike_fleet.hpp"

#include <gtest/gtest.h>

#include <functional>

namespace chivewinch::suspect {

using namespace std::chrono_literals;

namespace internal {

/** Restarts, freezes, cuts and joins at random moments, in series and overlapping. */
void runWithFaults(StrikeFleet& fleet, base::RandomSource& random, std::chrono::milliseconds time)
{
    for (auto passed = 0ms; passed < time; passed += 200ms) {
        fleet.run(200ms);
        const auto index = random.below(fleet.size());
        const auto length = std::chrono::milliseconds { 500 + random.below(4'000) };
        switch (random.below(20)) {
        case 0:
        case 1:
            fleet.restart(index);
            break;
        case 2:
            fleet.freeze(index, length);
            break;
        case 3:
            fleet.cut(index, length);
            break;
        case 4:
            fleet.join();
            break;
        default:
            break;
        }
    }
}

} // namespace internal

// Guards against entries that each count crashes alone, so that a request crashes more targets the more entries there
// are.
TEST(SharedStrikesTest, AllProcessesTogetherKeepTheBound)
{
    for (const std::size_t members : { 2U, 4U, 9U, 42U, 98U, 300U }) {
        for (const bool isListed : { true, false }) {
            StrikeFleet fleet { { .members = members, .targets = 24, .restartsAreListed = isListed }, 7 };
            fleet.run(40s);
            EXPECT_GE(fleet.crashCount(), CrashRule::crashes) << members;
            EXPECT_LE(fleet.lateRetries(), CrashRule::allowedRetries) << members << " listed " << isListed;
            EXPECT_EQ(fleet.unserved(10s), 0U) << members;
        }
    }
}

// Guards against a block that completed runs lift, of a request that crashes only some of its runs or is equal to
// harmless ones.
TEST(SharedStrikesTest, CompletedRunsDoNotLiftTheBound)
{
    for (const std::size_t members : { 1U, 2U, 9U, 98U }) {
        for (const double crashShare : { 0.2, 0.4, 0.7 }) {
            StrikeFleet fleet { { .members = members, .targets = 24, .crashShare = crashShare }, 7 };
            fleet.run(120s);
            EXPECT_GE(fleet.crashCount(), CrashRule::crashes) << members;
            EXPECT_LE(fleet.lateRetries(), CrashRule::allowedRetries) << members << " share " << crashShare;
        }
    }
}

// Guards against trials that use up the bound, so that none is left for crashes that are noticed late.
TEST(SharedStrikesTest, KeepsTheBoundIfCrashesAreNoticedLate)
{
    for (const std::size_t members : { 2U, 9U, 98U }) {
        for (const auto noticeTime : { 500ms, 1'000ms, 2'200ms }) {
            StrikeFleet fleet { { .members = members, .targets = 24, .noticeTime = noticeTime }, 7 };
            fleet.run(60s);
            EXPECT_LE(fleet.lateRetries(), CrashRule::allowedRetries) << members << ' ' << noticeTime.count();
        }
    }
}

// Shows that these tests find processes that count alone.
TEST(SharedStrikesTest, ExceedsTheBoundIfStrikesAreNotShared)
{
    StrikeFleet fleet { { .members = 9, .share = false }, 7 };
    fleet.run(40s);
    EXPECT_GT(fleet.lateRetries(), CrashRule::allowedRetries);
}

/** Adds properties of the fleet to the options; random is that of the schedule. */
using AddOptions = std::function<void(StrikeFleetOptions& options, base::RandomSource& random)>;

void runSchedules(std::uint64_t firstSeed, const AddOptions& addOptions)
{
    const auto schedules = support::schedulesToRun(std::uint64_t { 300 });
    testing::Test::RecordProperty(
        "seeds", std::to_string(firstSeed) + " to " + std::to_string(firstSeed + schedules - 1));
    for (auto seed = firstSeed; seed < firstSeed + schedules; ++seed) {
        base::SeededRandom random { seed };
        StrikeFleetOptions options { .members = 2 + random.below(20),
            .targets = 4 + random.below(20),
            .crashingPerSecond = 2.0 + static_cast<double>(random.below(40)),
            .restartsAreListed = random.below(2) == 0 };
        addOptions(options, random);
        StrikeFleet fleet { options, seed };
        internal::runWithFaults(fleet, random, 30s);
        EXPECT_LE(fleet.lateRetries(), CrashRule::allowedRetries) << "seed " << seed;
        EXPECT_EQ(fleet.unserved(20s), 0U) << "seed " << seed;
    }
}

// Guards against a bound that is lost, or harmless requests that stay blocked, when processes restart, freeze, join or
// are cut off from the others.
TEST(SharedStrikesTest, KeepsTheBoundUnderFaults)
{
    runSchedules(3'100, [](StrikeFleetOptions&, base::RandomSource&) {});
}

// Guards against the same where some runs of the request complete, or where crashes are noticed late.
TEST(SharedStrikesTest, KeepsTheBoundUnderFaultsIfSomeRunsComplete)
{
    runSchedules(4'100, [](StrikeFleetOptions& options, base::RandomSource& random) {
        options.crashShare = 0.2 + 0.7 * random.unit();
    });
}

TEST(SharedStrikesTest, KeepsTheBoundUnderFaultsIfCrashesAreNoticedLate)
{
    runSchedules(5'100, [](StrikeFleetOptions& options, base::RandomSource& random) {
        options.noticeTime = std::chrono::milliseconds { random.below(2'500) };
    });
}

// Guards against a blocked fingerprint that never runs again although it crashes no target: it may have been in flight
// beside another one each time.
TEST(SharedStrikesTest, CompletedTrialsUnblockTheFingerprintEverywhere)
{
    base::ManualClock clock;
    base::SeededRandom random { 5 };
    const StrikeOptions tableOptions { .strikesToBlock = 3, .restartTime = 250ms };
    const std::vector<quota::Member> members { { "a", "z" }, { "b", "z" } };
    StrikeTable firstTable { clock, tableOptions };
    StrikeTable secondTable { clock, tableOptions };
    SharedStrikes first { clock, random, firstTable, { .instance = "a" } };
    SharedStrikes second { clock, random, secondTable, { .instance = "b" } };
    first.setMembers(members);
    second.setMembers(members);
    const auto exchange = [&] {
        while (const auto outgoing = first.next())
            first.delivered(*outgoing, second.answer(outgoing->message));
        while (const auto outgoing = second.next())
            second.delivered(*outgoing, first.answer(outgoing->message));
    };
    for (const auto* target : { "t1", "t2", "t3" })
        first.recordCrash(8, target, base::Incarnation { 1 }, false);
    exchange();
    ASSERT_EQ(secondTable.verdict(8), Verdict::Blocked);
    EXPECT_FALSE(second.grantTrial(8));
    clock.advance(1s);
    ASSERT_TRUE(second.grantTrial(8));
    EXPECT_FALSE(second.grantTrial(8)) << "a second trial at the same time";
    second.completeTrial(8);
    exchange();
    EXPECT_EQ(firstTable.verdict(8), Verdict::Blocked) << "a single completed run proves little";
    for (std::size_t i = 1; i < SharedStrikesOptions {}.trialsToClear; ++i) {
        ASSERT_TRUE(second.grantTrial(8));
        second.completeTrial(8);
    }
    exchange();
    EXPECT_EQ(firstTable.verdict(8), Verdict::Normal);
    EXPECT_EQ(secondTable.verdict(8), Verdict::Normal);
}

// Guards against a caller that gets a popular request of others blocked for long by crashing the targets on which it
// runs.
TEST(SharedStrikesTest, AFingerprintWhoseTrialsCompleteIsServedAgainWithinSeconds)
{
    base::ManualClock clock;
    base::SeededRandom random { 5 };
    StrikeTable table { clock, { .expiry = 1h, .strikesToBlock = 3, .restartTime = 250ms } };
    SharedStrikes shared { clock, random, table, { .instance = "a" } };
    shared.setMembers({ { "a", "z" } });
    constexpr auto runTime = 150ms;
    for (std::uint64_t crash = 1; crash <= 30; ++crash) {
        shared.recordCrash(8, "t" + std::to_string(crash), base::Incarnation { 1 }, false);
        const auto blocked = clock.now();
        while (table.verdict(8) == Verdict::Blocked) {
            std::size_t running = 0;
            while (shared.grantTrial(8))
                ++running;
            clock.advance(runTime);
            for (std::size_t i = 0; i < running; ++i)
                shared.completeTrial(8);
            ASSERT_LE(clock.now() - blocked, 6s) << crash;
        }
        clock.advance(1s);
    }
}

// Guards against trials that together crash more targets than the bound allows.
TEST(SharedStrikesTest, FailedTrialsBecomeRare)
{
    base::ManualClock clock;
    base::SeededRandom random { 5 };
    StrikeTable table { clock, { .expiry = 1h, .strikesToBlock = 3, .restartTime = 250ms } };
    SharedStrikes shared { clock, random, table, { .instance = "a" } };
    shared.setMembers({ { "a", "z" } });
    for (const auto* target : { "t1", "t2", "t3" })
        shared.recordCrash(8, target, base::Incarnation { 1 }, false);
    std::size_t trials = 0;
    for (auto passed = 0s; passed < 50min; passed += 1s) {
        clock.advance(1s);
        if (shared.grantTrial(8)) {
            shared.recordCrash(8, "t4", base::Incarnation { static_cast<std::uint64_t>(passed.count()) }, true);
            ++trials;
        }
    }
    EXPECT_LT(trials, CrashRule::allowedRetries);
    EXPECT_GE(trials, 1U);
}

/** The two processes that grant trials of a fingerprint that three crashes block; they do not reach each other. */
class GrantersTest : public testing::Test {
protected:
    static constexpr std::uint64_t fingerprint = 8;

    struct Granter {
        std::unique_ptr<StrikeTable> table;
        std::unique_ptr<SharedStrikes> shared;
    };

    void SetUp() override
    {
        for (const auto* name : { "a", "b" })
            this->granters.push_back(this->start(name));
        this->clock.advance(1min);
        this->blockedAt = this->clock.now();
        for (auto& granter : this->granters)
            for (const auto* target : { "t1", "t2", "t3" })
                granter.shared->recordCrash(fingerprint, target, base::Incarnation { 1 }, false);
        this->clock.advance(1s);
    }

    [[nodiscard]] Granter start(const std::string& name)
    {
        Granter granter { .table
            = std::make_unique<StrikeTable>(this->clock,
                StrikeOptions { .expiry = 1h, .strikesToBlock = CrashRule::crashes, .restartTime = 250ms }) };
        granter.shared = std::make_unique<SharedStrikes>(this->clock, this->random, *granter.table,
            SharedStrikesOptions { .instance = name, .learnTime = CrashRule::contact });
        granter.shared->setMembers({ { "a", "z" }, { "b", "z" } });
        return granter;
    }

    /**
     * Runs each trial that is granted within the time; all of them crash their target. Returns the number of those that
     * the bound counts.
     */
    [[nodiscard]] std::size_t runTrials(Granter& granter, std::chrono::seconds time)
    {
        std::size_t granted = 0;
        std::size_t late = 0;
        for (auto passed = 0s; passed < time; passed += 1s) {
            this->clock.advance(1s);
            if (!granter.shared->grantTrial(fingerprint))
                continue;
            ++granted;
            late += this->clock.now() - this->blockedAt > CrashRule::contact ? 1 : 0;
            granter.shared->recordCrash(fingerprint, "t" + std::to_string(3 + granted), base::Incarnation { 2 }, true);
        }
        return late;
    }

    base::ManualClock clock;
    base::SeededRandom random { 5 };
    std::vector<Granter> granters;
    base::SteadyTime blockedAt {};
};

// Guards against two granters without contact that each grant all trials that the bound allows.
TEST_F(GrantersTest, KeepTheBoundTogetherWithoutContact)
{
    std::size_t granted = 0;
    for (auto& granter : this->granters)
        granted += this->runTrials(granter, 60s);
    EXPECT_LE(granted, CrashRule::allowedRetries);
    EXPECT_GE(granted, 1U);
}

// Guards against refused callers that are asked to return soon although no trial follows.
TEST_F(GrantersTest, StateThatNoTrialFollows)
{
    const auto first = this->granters.front().shared->trialGranters(fingerprint).front();
    auto& granter = this->granters[first == "a" ? 0 : 1];
    this->clock.advance(10s);
    EXPECT_TRUE(granter.shared->trialAt(fingerprint));
    EXPECT_EQ(this->runTrials(granter, 60s), SharedStrikesOptions {}.maxLateFailures);
    EXPECT_FALSE(granter.shared->trialAt(fingerprint));
}

// Guards against a granter that has restarted and grants a trial beside the one that it granted before.
TEST_F(GrantersTest, GrantNoTrialBesideOneOfBeforeARestart)
{
    for (auto& granter : this->granters) {
        ASSERT_TRUE(granter.shared->grantTrial(fingerprint));
        const auto known = granter.table->reportsOf(fingerprint);
        auto restarted = this->start(&granter == &this->granters.front() ? "a" : "b");
        (void)restarted.table->merge(known);
        this->clock.advance(2s);
        EXPECT_FALSE(restarted.shared->grantTrial(fingerprint));
        this->clock.advance(SharedStrikesOptions {}.trialTime);
        EXPECT_TRUE(restarted.shared->grantTrial(fingerprint));
    }
}

/** A fingerprint that three crashes block and that has been granted a trial 100 ms ago. */
class RunningTrialTest : public testing::Test {
protected:
    void SetUp() override
    {
        this->shared.setMembers({ { "a", "z" } });
        for (const auto* target : { "t1", "t2", "t3" })
            this->shared.recordCrash(8, target, base::Incarnation { 1 }, false);
        this->clock.advance(1s);
        ASSERT_TRUE(this->shared.grantTrial(8));
        this->clock.advance(100ms);
    }

    base::ManualClock clock;
    base::SeededRandom random { 5 };
    StrikeTable table { this->clock, { .strikesToBlock = 3, .restartTime = 250ms } };
    SharedStrikes shared { this->clock, this->random, this->table, { .instance = "a" } };
};

// Guards against a harmless fingerprint that stays blocked because its first trial died beside another one.
TEST_F(RunningTrialTest, TheNextTrialDoesNotWaitForOneThatHasFailed)
{
    this->shared.recordCrash(8, "t4", base::Incarnation { 1 }, true);
    this->clock.advance(1'500ms);
    EXPECT_TRUE(this->shared.grantTrial(8));
}

// Guards against a second trial beside one whose target has fallen silent, which is noticed late: a strike of an
// earlier run counted as the result of the trial.
TEST_F(RunningTrialTest, ACrashOfAnotherRunDoesNotEndATrial)
{
    this->shared.recordCrash(8, "t4", base::Incarnation { 1 }, false);
    this->clock.advance(1s);
    EXPECT_FALSE(this->shared.grantTrial(8));
}

// Guards against messages of other writers that end the process or are misread.
TEST(StrikeMessageTest, RejectsWhatIsNoMessage)
{
    const StrikeMessage message { .digest = 7,
        .wantsAll = true,
        .strikes
        = { { .strike = { .fingerprint = 1, .target = "t", .incarnation = base::Incarnation { 2 }, .crash = 3 },
            .age = 40ms,
            .cleared = true,
            .trial = true } },
        .trial = 9,
        .returnsTrial = true };
    const auto body = encode(message);
    EXPECT_EQ(decodeStrikeMessage(body), message);
    for (std::size_t length = 0; length < body.size(); ++length)
        EXPECT_FALSE(decodeStrikeMessage(body.substr(0, length)));
    for (std::size_t place = 0; place < body.size(); ++place) {
        auto changed = body;
        for (const int value : { 0x00, 0x1B, 0x3B, 0x5F, 0x9F, 0xBF, 0xF6, 0xFB, 0xFF }) {
            changed[place] = static_cast<char>(value);
            (void)decodeStrikeMessage(changed);
        }
    }
    EXPECT_FALSE(decodeStrikeMessage(std::string(1'000'000, '\x81')));
}

} // namespace chivewinch::suspect
