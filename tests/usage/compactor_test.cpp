#include "usage/compactor.hpp"
#include "usage/installation.hpp"
#include "usage/summary.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace chivewinch::usage::test {

using namespace std::chrono_literals;

class CompactorTest : public testing::Test {
protected:
    Installation installation;
    WallMillis hour = hourOf(this->installation.world->now());

    Report compact()
    {
        // The last records of the hour are written within 3 h.
        this->installation.world->scheduler.runFor(3h);
        Compactor compactor { {}, this->installation.keys(), keyOf("entry-1"), this->installation.entry,
            this->installation.world->memory };
        std::optional<Report> result;
        compactor.run(this->hour, base::FencingNumber { 1 }, [&result](auto report, const Error& error) {
            EXPECT_EQ(error.code, ErrorCode::None) << error.detail;
            result = std::move(report);
        });
        this->installation.objects = this->installation.world->memory.all();
        return result.value_or(Report {});
    }

    std::optional<Summary> stored()
    {
        Error reason;
        return readSummary(this->installation.objects.at(summaryName(this->hour)), this->installation.keys(), reason);
    }

    static bool hasMismatch(const Report& report)
    {
        return std::any_of(report.findings.begin(), report.findings.end(),
            [](const Finding& finding) { return finding.kind == FindingKind::SummaryMismatch; });
    }
};

// Guards against a summary whose totals differ from those of the segments.
TEST_F(CompactorTest, SummaryHasTheTotalsOfItsSegments)
{
    const auto report = this->compact();
    EXPECT_TRUE(report.clean());
    const auto summary = this->stored();
    ASSERT_TRUE(summary);
    // The first record was issued in the previous hour, so the summary does not include it.
    EXPECT_TRUE(summary->split == hourOfSplit(this->installation.verify().split, this->hour));
    EXPECT_GT(summary->split.size(), 1U);
    EXPECT_EQ(summary->heads.size(), 2U);
    EXPECT_TRUE(this->installation.verify().clean());
}

// Guards against a verifier that accepts a summary whose totals were changed, or whose segments were changed later.
TEST_F(CompactorTest, SummaryIsComparedWithSegments)
{
    (void)this->compact();
    auto altered = this->installation;
    auto summary = *this->stored();
    summary.split.begin()->second.promptTokens += 1;
    altered.objects[summaryName(this->hour)] = sealSummary(summary, keyOf("entry-1"));
    EXPECT_TRUE(hasMismatch(altered.verify()));
    altered = this->installation;
    altered.alter(
        altered.chain("agent-1").back(), [](Segment& segment) { ++segment.records[0].finished; }, true);
    EXPECT_TRUE(hasMismatch(altered.verify()));
}

// Guards against a reader that accepts a summary with a changed byte.
TEST_F(CompactorTest, ReaderRejectsEveryFlippedByte)
{
    (void)this->compact();
    const auto bytes = this->installation.objects.at(summaryName(this->hour));
    for (std::size_t i = 0; i < bytes.size(); ++i) {
        auto altered = bytes;
        altered[i] = static_cast<char>(altered[i] ^ (1 << (i % 8)));
        Error reason;
        EXPECT_FALSE(readSummary(altered, this->installation.keys(), reason)) << "byte " << i;
    }
}

// Guards against a second run that replaces a stored summary, or that does not report that the stored one is wrong.
TEST_F(CompactorTest, SecondRunComparesWithStoredSummary)
{
    (void)this->compact();
    EXPECT_FALSE(hasMismatch(this->compact()));
    auto summary = *this->stored();
    summary.split.clear();
    this->installation.world->memory.overwrite(summaryName(this->hour), sealSummary(summary, keyOf("entry-1")));
    EXPECT_TRUE(hasMismatch(this->compact()));
}

// Guards against findings for chains that start before the compacted hour, and against prefixes that miss segments.
TEST(CompactorWindowTest, HourInsideChainsHasNoFindings)
{
    World world { 21 };
    const auto now = world.clock.wallNow().time_since_epoch();
    const auto start = static_cast<base::Incarnation>(std::chrono::nanoseconds { now }.count());
    const ProcessId entry { .instance = "entry-1", .incarnation = start };
    const ProcessId agent { .instance = "agent-1", .incarnation = start };
    auto entryLedger = world.ledger({ .side = Side::Entry, .process = entry });
    auto agentLedger = world.ledger({ .side = Side::Agent, .process = agent, .segmentInterval = agentSegmentInterval });
    entryLedger->start();
    agentLedger->start();
    for (int i = 0; i < 8 * 12; ++i) {
        auto record = sampleRecord(world.random, world.now());
        record.peerInstance = entry.instance;
        record.peerIncarnation = entry.incarnation;
        agentLedger->add(record);
        record.peerInstance = agent.instance;
        record.peerIncarnation = agent.incarnation;
        entryLedger->add(record);
        world.scheduler.runFor(5min);
    }
    KeyList keys;
    keys.add("entry-1", Side::Entry, keyOf("entry-1").publicKey());
    keys.add("agent-1", Side::Agent, keyOf("agent-1").publicKey());
    const auto hour = hourOf(world.now()) - 3h;
    Compactor compactor { {}, keys, keyOf("entry-1"), entry, world.memory };
    std::optional<Report> report;
    compactor.run(
        hour, base::FencingNumber { 1 }, [&report](auto result, const Error&) { report = std::move(result); });
    ASSERT_TRUE(report);
    for (const auto& finding : report->findings)
        ADD_FAILURE() << toString(finding);
    Verifier verifier { {}, keys };
    for (const auto& [name, bytes] : world.memory.all())
        verifier.add(name, bytes);
    EXPECT_TRUE(report->split == hourOfSplit(verifier.finish().split, hour));
    EXPECT_FALSE(report->split.empty());
}

// Guards against a summary of incomplete data after a failed store operation.
TEST_F(CompactorTest, StoreFailureWritesNothing)
{
    auto& world = *this->installation.world;
    world.objects.faults().down = true;
    Compactor compactor { {}, this->installation.keys(), keyOf("entry-1"), this->installation.entry, world.objects };
    std::optional<ErrorCode> code;
    compactor.run(
        this->hour, base::FencingNumber { 1 }, [&code](const auto&, const Error& error) { code = error.code; });
    world.scheduler.runFor(10s);
    EXPECT_EQ(code, ErrorCode::StoreUnavailable);
    EXPECT_FALSE(world.memory.all().contains(summaryName(this->hour)));
}

// Guards against invalid JSON or CSV output if names contain special characters or invalid UTF-8.
TEST(ReportTest, RendersTableJsonAndCsv)
{
    Report report;
    const TotalsKey key { .hour = WallMillis { 3600s },
        .subject = { .owner = "a,\"b\"\xff", .team = "t", .model = "m" } };
    report.split[key] = { .requests = 2, .promptTokens = 10 };
    report.split[{ .hour = key.hour, .subject = { .owner = "z", .team = "t", .model = "m" } }] = { .requests = 1 };
    report.findings.push_back({ .kind = FindingKind::Mismatch, .place = { .segment = "s", .record = 3 } });
    const auto json = nlohmann::json::parse(renderJson(report, { .hour = true }));
    EXPECT_EQ(json["totals"][0]["requests"], 2);
    EXPECT_EQ(json["totals"][0]["hour"], "1970-01-01T01");
    EXPECT_EQ(json["findings"][0]["place"]["record"], 3);
    EXPECT_EQ(json["clean"], false);
    const auto csv = renderCsv(report, {});
    EXPECT_TRUE(csv.starts_with("owner,requests,cancelled,"));
    EXPECT_NE(csv.find("\"a,\"\"b\"\"\xff\",2,0,"), std::string::npos);
    const auto table = renderTable(report, {});
    EXPECT_NE(table.find("requests  prompt_tokens\n"), std::string::npos);
    EXPECT_NE(table.find("mismatch s#3"), std::string::npos);
    EXPECT_EQ(report.perOwner().at("z").requests, 1U);
}

} // namespace chivewinch::usage::test
