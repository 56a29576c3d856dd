#include "base/random.hpp"
#include "platform/decode.hpp"
#include "platform/decode_engine.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace chivewinch::platform {
namespace {

using namespace std::chrono_literals;

const std::string configurationText = R"({"version":7,"routes":[{"name":"r","hostname":"h.example","prefix":"/a/",
"kind":"streaming","timeoutMs":8000,"targetLatencyMs":400,"gapTargetMs":120,"priority":1,"weightedBackends":[{"service":"s","weight":90},
{"service":"u","weight":10}],"maxAttempts":2,"noAuth":false,"sticky":true,"resumeStreams":true,"gapTargetMs":120},
{"name":"q","hostname":"h.example","prefix":"/b/","kind":"never heard of","service":"s"}],
"services":[{"name":"s","healthPath":"/health","maxConns":178,"coldStartS":2.5,"coldPerS":14.0,"engine":{"slots":12,"sets":4,"experts":64,"placements":5,"spare":2}}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"t","apiKeys":["k1","k2"],"priority":1}]})";

const std::string targetText = R"({"service":"s","address":"10.1.0.9:8080","zone":"z","version":"v1","slots":12,
"state":"ready","coldRemainingMs":1200,"seq":4,"born":1779017309900,
"group":{"name":"g0","epoch":3,"rank":5,"state":"open"},"size":16})";

TEST(Decode, ReadsTheConfiguration)
{
    std::string reason;
    const auto configuration = decodeConfiguration(configurationText, reason);
    ASSERT_TRUE(configuration) << reason;
    EXPECT_EQ(configuration->version, 7U);
    ASSERT_EQ(configuration->routes.size(), 2U);
    const auto& route = configuration->routes.front();
    EXPECT_EQ(route.kind, gateway::RouteKind::Stream);
    EXPECT_TRUE(route.repeatable());
    EXPECT_EQ(route.timeout, 8s);
    EXPECT_EQ(route.latencyObjective, 400ms);
    EXPECT_EQ(route.pauseObjective, 120ms);
    EXPECT_EQ(route.pools,
        (std::vector<gateway::WeightedPool> { { .pool = "s", .weight = 90 }, { .pool = "u", .weight = 10 } }));
    EXPECT_EQ(configuration->teams.front().keys, (std::vector<std::string> { "k1", "k2" }));
    EXPECT_TRUE(configuration->hasTeams);
    EXPECT_EQ(configuration->limits.idleTimeout, 15s);
    EXPECT_EQ(configuration->targetConnections, (std::map<std::string, std::uint32_t> { { "s", 178 } }));
    EXPECT_EQ(configuration->coldRates,
        (std::map<std::string, quota::ColdRate> { { "s", { .requestsPerSecond = 14, .duration = 2'500ms } } }));
}

// Guards against an invalid rate that is taken for no limit; the last valid configuration stays in force.
TEST(Decode, RejectsInvalidColdRates)
{
    for (const auto* value : { "-1", "\"many\"", "null", "[]" }) {
        const auto text = R"({"version":7,"routes":[],"services":[{"name":"s","coldStartS":2,"coldPerS":)"
            + std::string { value } + "}]}";
        std::string reason;
        EXPECT_FALSE(decodeConfiguration(text, reason)) << value;
        EXPECT_NE(reason.find("coldPerS"), std::string::npos) << reason;
    }
    std::string reason;
    const auto without = decodeConfiguration(
        R"({"version":7,"routes":[],"services":[{"name":"s","coldStartS":0,"coldPerS":0},{"name":"u"}]})", reason);
    ASSERT_TRUE(without) << reason;
    EXPECT_TRUE(without->coldRates.empty());
}

TEST(Decode, ReadsEvacuatedZones)
{
    EXPECT_EQ(evacuatedZone("evacuate/kl-a"), "kl-a");
    EXPECT_EQ(evacuatedZone("config"), std::nullopt);
    EXPECT_EQ(evacuatedZone("evacuate/"), std::nullopt);
    EXPECT_EQ(evacuatedZone("x/evacuate/kl-a"), std::nullopt);
}

// Guards against requests of an unknown kind that are repeated.
TEST(Decode, TreatsAnUnknownKindAsNotRepeatable)
{
    std::string reason;
    const auto configuration = decodeConfiguration(configurationText, reason);
    ASSERT_TRUE(configuration);
    EXPECT_FALSE(configuration->routes.back().repeatable());
    EXPECT_EQ(configuration->routes.back().maxAttempts, 1U);
}

TEST(Decode, ReadsTargets)
{
    std::string reason;
    const auto target = decodeTarget("i-1", targetText, reason);
    ASSERT_TRUE(target) << reason;
    EXPECT_EQ(target->id, "i-1");
    EXPECT_EQ(target->endpoint, (settings::Endpoint { .address = "10.1.0.9", .port = 8080 }));
    EXPECT_EQ(target->capacity, 12U);
    EXPECT_EQ(target->coldFor, 1'200ms);
    EXPECT_EQ(target->group, "g0");
    EXPECT_FALSE(target->leaving);
    EXPECT_EQ(target->incarnation, base::Incarnation { 1779017309900 });
}

// Guards against malformed entries of another writer that are used as targets.
TEST(Decode, RejectsMalformedTargets)
{
    for (const auto* value : { "", "x", "[]", "null", "{}", R"({"service":"s","state":"ready","zone":"z"})",
             R"({"service":"s","state":"resting","zone":"z","address":"10.0.0.1:80"})",
             R"({"service":7,"state":"ready","zone":"z","address":"10.0.0.1:80"})",
             R"({"service":"s","state":"ready","zone":"z","address":"nowhere"})",
             R"({"service":"s","state":"ready","zone":"z","address":"10.0.0.1:80","slots":"many"})",
             R"({"service":"s","state":"ready","zone":"z","address":"10.0.0.1:80","slots":-1})",
             R"({"service":"s","state":"ready","zone":"z","address":"10.0.0.1:80","coldRemainingMs":-1})",
             R"({"service":"s","state":"ready","zone":"z","address":"10.0.0.1:80","coldRemainingMs":"soon"})" }) {
        std::string reason;
        EXPECT_FALSE(decodeTarget("i", value, reason)) << value;
        EXPECT_FALSE(reason.empty()) << value;
    }
}

TEST(Decode, ReadsRows)
{
    const auto rows = decodeRows(R"({"rows":[{"table":"t","part":"","key":"a","value":"bm9kZS0x","ver":4},
        {"table":"t","part":"","key":"b","tombstone":true,"ver":5},{"key":"c","value":"?"},{"key":"d"}],
        "truncated":true,"ver":530,"nowMs":51230})");
    ASSERT_TRUE(rows);
    EXPECT_EQ(rows->page.version, 530U);
    EXPECT_TRUE(rows->truncated);
    ASSERT_EQ(rows->page.rows.size(), 4U);
    EXPECT_EQ(rows->page.rows[0].value, "node-1");
    EXPECT_EQ(rows->page.rows[1].value, std::nullopt);
    // A row whose value cannot be decoded is listed with an empty value.
    EXPECT_EQ(rows->page.rows[2].value, "");
    EXPECT_EQ(rows->page.rows[3].value, "");
}

// Guards against a target that seems to have been replaced, or not, because its report cannot be read.
TEST(Decode, ReadsTheStartTimeOfATarget)
{
    EXPECT_EQ(decodeIncarnation(R"({"stage":"mixed","born":1779017309900})"), base::Incarnation { 1'779'017'309'900 });
    for (const std::string report : { "", "answer", "[]", R"({"stage":"mixed"})", R"({"born":0})", R"({"born":"x"})",
             R"({"born":-1})", R"({"born":1e30})", R"({"born":1779017309900)" })
        EXPECT_EQ(decodeIncarnation(report), std::nullopt) << report;
}

TEST(Decode, EncodesTheRemovalOfARow)
{
    EXPECT_EQ(nlohmann::json::parse(encodeDelete("t", "k")),
        nlohmann::json::parse(R"({"expectedRev":[],"puts":[],"deletes":[{"table":"t","part":"","key":"k"}]})"));
}

TEST(Decode, ReadsEngines)
{
    const auto report = decodeReport(R"({"group":{"name":"g0","epoch":1,"rank":7,"state":"open"},"size":16,"step":36,
        "mapping":0,"prepared":{"version":4},"armed":{"version":4,"step":50},"held":50})");
    ASSERT_TRUE(report);
    EXPECT_EQ(report->rank, 7U);
    EXPECT_EQ(report->size, 16U);
    EXPECT_TRUE(report->maps.open);
    EXPECT_EQ(report->maps.prepared, 4U);
    EXPECT_EQ(report->maps.armed, (expert::ArmedMap { .version = 4, .step = 50 }));
    EXPECT_EQ(report->maps.held, 50U);
    const auto idle = decodeReport(
        R"({"group":{"name":"g0","epoch":1,"rank":7,"state":"broken"},"size":16,"step":36,"mapping":0,"prepared":null,"armed":null,"held":null})");
    ASSERT_TRUE(idle);
    EXPECT_FALSE(idle->maps.open);
    EXPECT_FALSE(idle->maps.prepared || idle->maps.armed || idle->maps.held);
    EXPECT_EQ(decodeLimits(configurationText, "s"),
        (group::EngineLimits { .layers = 4, .experts = 64, .slotsPerRank = 5, .newPerChange = 2 }));
    EXPECT_EQ(decodeLimits(configurationText, "other"), std::nullopt);
    EXPECT_EQ(decodeMember("i", targetText, "s", "g0")->rank, 5U);
    EXPECT_FALSE(decodeMember("i", targetText, "s", "g1"));
    EXPECT_FALSE(decodeMember("i", targetText, "u", "g0"));
    EXPECT_EQ(encodeOrder({ .kind = expert::MapOrderKind::Release, .epoch = 2, .step = 9 }, {}),
        R"({"epoch":2,"op":"go","step":9})");
    EXPECT_EQ(encodeOrder({ .kind = expert::MapOrderKind::Disarm, .epoch = 2, .version = 7 }, {}),
        R"({"epoch":2,"op":"disarm","version":7})");
}

// Guards against a crash on bytes stored by another writer. The input is a random mutation of a valid text.
TEST(Decode, DoesNotCrashOnMutatedInput)
{
    const std::vector<std::string> texts { configurationText, targetText,
        R"({"rows":[{"key":"a","value":"bm9kZS0x","ver":4}],"ver":530})",
        R"({"step":36,"epoch":1,"counts":[7,1,2],"mapping":{"version":0,"experts":[[0,16],[1]]}})" };
    constexpr std::uint64_t rounds = 20'000;
    for (std::uint64_t seed = 1; seed <= rounds; ++seed) {
        base::SeededRandom random { seed };
        auto text = texts[random.below(texts.size())];
        for (auto changes = 1 + random.below(6); changes > 0; --changes) {
            const auto at = random.below(text.size());
            if (random.below(3) == 0)
                text.erase(at, random.below(20));
            else if (random.below(2) == 0)
                text[at] = static_cast<char>(random.below(256));
            else
                text.insert(at, std::string(1 + random.below(3), "0-[]{}\"e,:9."[random.below(12)]));
            if (text.empty())
                break;
        }
        std::string reason;
        (void)decodeConfiguration(text, reason);
        (void)decodeTarget("i", text, reason);
        (void)decodeRows(text);
        (void)decodeReport(text);
        (void)decodeCounts(text);
        (void)decodeExperts(text);
        (void)decodeMember("i", text, "s", "g0");
        (void)decodeLimits(text, "s");
        (void)decodeIncarnation(text);
        (void)decodeBase64(text);
    }
}

} // namespace
} // namespace chivewinch::platform
