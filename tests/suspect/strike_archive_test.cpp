#include "support/schedules.hpp"
#include "suspect/strike_archive.hpp"
#include "suspect/strike_fleet.hpp"

#include <gtest/gtest.h>

#include <map>
#include <string>

namespace chivewinch::suspect {
namespace {

using namespace std::chrono_literals;

/** A process with an archive of its own. */
struct Keeper {
    explicit Keeper(const base::Clock& clock, const std::string& name = "e1")
        : table { clock, { .expiry = 1h, .strikesToBlock = 3, .restartTime = 250ms, .crashSeed = 1 } }
        , shared { clock, random, table, { .instance = name } }
        , features { clock, random, featureOptions({ .expiry = 1h }, { .instance = name }) }
        , archive { clock, table, shared, features, { .expiry = 1h } }
    {
        this->setMembers({ { name, "z" } });
    }

    void setMembers(const std::vector<quota::Member>& members)
    {
        this->shared.setMembers(members);
        this->features.sharing().setMembers(members);
    }

    /** Writes what is to be written; returns the number of writes. */
    std::size_t writeTo(std::map<std::string, std::string>& rows)
    {
        const auto writes = this->archive.writes();
        for (const auto& write : writes) {
            if (write.value)
                rows.insert_or_assign(write.key, *write.value);
            else
                rows.erase(write.key);
            this->archive.recordWrite(write);
        }
        return writes.size();
    }

    void readFrom(const std::map<std::string, std::string>& rows) { this->archive.load({ rows.begin(), rows.end() }); }

    base::SeededRandom random { 3 };
    StrikeTable table;
    SharedStrikes shared;
    SuspectFeatures features;
    StrikeArchive archive;
};

constexpr std::uint64_t fingerprint = 77;

void crash(Keeper& keeper, base::ManualClock& clock, int times, bool isTrial = false)
{
    for (int i = 0; i < times; ++i) {
        clock.advance(1s);
        keeper.shared.recordCrash(fingerprint, "t" + std::to_string(i), base::Incarnation { 1 }, isTrial);
    }
}

// Guards against strikes, failed trials and ages that are forgotten when all processes end together.
TEST(StrikeArchive, StrikesOutlastTheProcesses)
{
    base::ManualClock clock;
    std::map<std::string, std::string> rows;
    Keeper before { clock };
    crash(before, clock, 3);
    crash(before, clock, 1, true);
    EXPECT_GT(before.writeTo(rows), 0U);
    clock.advance(2s);
    Keeper after { clock };
    after.readFrom(rows);
    EXPECT_EQ(after.table.verdict(fingerprint), Verdict::Blocked);
    EXPECT_EQ(after.table.strikeCount(fingerprint), before.table.strikeCount(fingerprint));
    EXPECT_EQ(after.table.failedTrials(fingerprint), 1U);
    EXPECT_EQ(after.table.firstBlocked(fingerprint), before.table.firstBlocked(fingerprint));
    EXPECT_EQ(after.writeTo(rows), 0U);
}

// Guards against a write for each request that was at a target when it ended.
TEST(StrikeArchive, KeepsNoSingleStrikes)
{
    base::ManualClock clock;
    std::map<std::string, std::string> rows;
    Keeper keeper { clock };
    crash(keeper, clock, 1);
    EXPECT_EQ(keeper.writeTo(rows), 0U);
}

// Guards against blocked features of requests that are forgotten, and against features that are kept without a block.
TEST(StrikeArchive, KeepsFeaturesThatBlock)
{
    base::ManualClock clock;
    std::map<std::string, std::string> rows;
    Keeper before { clock };
    const auto deadly = partFeature("team", "dead01");
    const auto sound = partFeature("team", "aa01");
    for (int i = 0; i < 2; ++i) {
        clock.advance(2s);
        const std::vector features { sound, deadly };
        before.features.recordCrash(features, "team", "t" + std::to_string(i), base::Incarnation { 1 }, std::nullopt);
        clock.advance(100ms);
        before.features.recordRun({ &sound, 1 });
    }
    before.features.advance();
    ASSERT_TRUE(before.features.blocking(deadly).has_value());
    before.writeTo(rows);
    EXPECT_EQ(rows.size(), 2U);
    Keeper after { clock };
    after.readFrom(rows);
    EXPECT_TRUE(after.features.blocking(deadly).has_value());
    EXPECT_FALSE(after.features.blocking(sound).has_value());
}

// Guards against a store that has lost rows and never gets them again.
TEST(StrikeArchive, WritesAgainWhatTheStoreHasLost)
{
    base::ManualClock clock;
    std::map<std::string, std::string> rows;
    Keeper keeper { clock };
    crash(keeper, clock, 3);
    keeper.writeTo(rows);
    const auto kept = rows;
    rows.erase(rows.begin());
    clock.advance(StrikeArchiveOptions {}.reloadPause);
    ASSERT_TRUE(keeper.archive.needsReload());
    keeper.readFrom(rows);
    EXPECT_TRUE(keeper.archive.hasChanges());
    EXPECT_EQ(keeper.writeTo(rows), 1U);
    EXPECT_EQ(rows, kept);
}

// Guards against strikes of a request that was cleared and is blocked again by its rows.
TEST(StrikeArchive, ClearsRows)
{
    base::ManualClock clock;
    std::map<std::string, std::string> rows;
    Keeper before { clock };
    crash(before, clock, 3);
    before.writeTo(rows);
    before.shared.recordCompletion(fingerprint);
    EXPECT_EQ(before.writeTo(rows), 3U);
    Keeper after { clock };
    after.readFrom(rows);
    EXPECT_EQ(after.table.strikeCount(fingerprint), 0U);
}

// Guards against rows that nobody removes.
TEST(StrikeArchive, RemovesExpiredRows)
{
    base::ManualClock clock;
    std::map<std::string, std::string> rows;
    Keeper keeper { clock };
    crash(keeper, clock, 3);
    keeper.writeTo(rows);
    clock.advance(1h);
    keeper.readFrom(rows);
    EXPECT_EQ(keeper.writeTo(rows), 0U);
    clock.advance(1h);
    Keeper later { clock };
    later.readFrom(rows);
    EXPECT_EQ(later.table.size(), 0U);
    EXPECT_EQ(later.writeTo(rows), 3U);
    EXPECT_TRUE(rows.empty());
}

// Guards against rows that all processes write, and against rows that none writes because a keeper is gone.
TEST(StrikeArchive, TwoProcessesWriteEachRow)
{
    base::ManualClock clock;
    std::vector<quota::Member> members;
    for (int i = 1; i <= 9; ++i)
        members.push_back({ "e" + std::to_string(i), "z" });
    std::size_t writers = 0;
    for (const auto& member : members) {
        std::map<std::string, std::string> rows;
        Keeper keeper { clock, member.instance };
        keeper.setMembers(members);
        crash(keeper, clock, 3);
        writers += keeper.writeTo(rows) > 0 ? 1 : 0;
    }
    EXPECT_EQ(writers, 2U);
}

// Guards against bytes of other writers, or of this one that were changed, which end the process or add strikes.
TEST(StrikeArchive, IgnoresRowsOfOthers)
{
    base::ManualClock clock;
    std::map<std::string, std::string> rows;
    Keeper writer { clock };
    crash(writer, clock, 3);
    writer.writeTo(rows);
    base::SeededRandom random { 5 };
    for (std::uint64_t i = 0; i < support::schedulesToRun(std::uint64_t { 20'000 }); ++i) {
        auto changed = rows;
        auto& value = std::next(changed.begin(), static_cast<std::ptrdiff_t>(random.below(3)))->second;
        for (auto changes = 1 + random.below(3); changes > 0 && !value.empty(); --changes) {
            const auto at = random.below(value.size());
            if (random.below(3) == 0)
                value.resize(at);
            else
                value[at] = static_cast<char>(random.below(256));
        }
        changed.emplace("request/x", std::string(random.below(30), '\xff'));
        Keeper reader { clock };
        reader.readFrom(changed);
        EXPECT_LE(reader.table.size(), 3U);
        for (const auto& write : reader.archive.writes())
            EXPECT_NE(write.key, "request/x");
    }
}

/** Ends all processes together, some of them alone, and lets the store go away and come back from a copy. */
void runWithKills(StrikeFleet& fleet, base::RandomSource& random, std::chrono::milliseconds time)
{
    for (auto passed = 0ms; passed < time; passed += 200ms) {
        fleet.run(200ms);
        const std::chrono::milliseconds length { 200 + random.below(1'500) };
        switch (random.below(60)) {
        case 0:
        case 1:
            fleet.restartAll();
            break;
        case 2:
        case 3:
        case 4:
            fleet.restart(random.below(fleet.size()));
            break;
        case 5:
            fleet.freeze(random.below(fleet.size()), length);
            break;
        case 6:
            fleet.copyStore();
            fleet.disconnectStore(length);
            fleet.run(length);
            fleet.restoreStore();
            break;
        default:
            break;
        }
    }
}

// Guards against the bound being forgotten when all processes end at the same moment, at any moment and again and
// again.
TEST(StrikeArchive, KeepsTheBoundIfAllProcessesEnd)
{
    std::size_t crashes = 0;
    for (std::uint64_t seed = 1; seed <= support::schedulesToRun(std::uint64_t { 200 }); ++seed) {
        base::SeededRandom random { seed };
        StrikeFleet fleet { { .members = 2 + random.below(12), .targets = 24, .keepsStrikes = true }, seed };
        runWithKills(fleet, random, 60s);
        crashes += fleet.crashCount();
        EXPECT_LE(fleet.lateRetries(), CrashRule::allowedRetries) << seed;
    }
    EXPECT_GT(crashes, CrashRule::crashes);
}

// The mechanism off: the bound must be exceeded.
TEST(StrikeArchive, IsNeededForTheBound)
{
    std::size_t exceeded = 0;
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        base::SeededRandom random { seed };
        StrikeFleet fleet { { .members = 2 + random.below(12), .targets = 24 }, seed };
        runWithKills(fleet, random, 60s);
        exceeded += fleet.lateRetries() > CrashRule::allowedRetries ? 1 : 0;
    }
    EXPECT_GT(exceeded, 0U);
}

} // namespace
} // namespace chivewinch::suspect
