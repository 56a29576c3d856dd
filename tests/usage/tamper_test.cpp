#include "usage/installation.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace chivewinch::usage::test {

namespace {

using Change = std::function<void(Segment&)>;

struct FieldChange {
    std::string name;
    Change change;
    /** Whether the change is detected even if the writer signs the changed segment again. */
    bool detectedWhenSigned = true;
};

/** Returns a change that modifies the first record of the given kind. */
Change inRecord(RecordKind kind, std::function<void(PackedRecord&, Segment&)> change)
{
    return [kind, change = std::move(change)](Segment& segment) {
        const auto found = std::find_if(segment.records.begin(), segment.records.end(),
            [kind](const PackedRecord& record) { return record.kind == kind; });
        ASSERT_NE(found, segment.records.end());
        change(*found, segment);
    };
}

std::uint32_t newSubject(Segment& segment, const PackedRecord& record, std::uint32_t SubjectNames::*field)
{
    auto subject = segment.subjects[record.subject];
    segment.names.push_back(segment.names[subject.*field] + "x");
    subject.*field = static_cast<std::uint32_t>(segment.names.size() - 1);
    segment.subjects.push_back(subject);
    return static_cast<std::uint32_t>(segment.subjects.size() - 1);
}

std::uint32_t newPeer(Segment& segment, const ProcessId& peer)
{
    segment.peers.push_back(peer);
    return static_cast<std::uint32_t>(segment.peers.size() - 1);
}

std::vector<FieldChange> identityChanges(RecordKind kind)
{
    const auto other = kind == RecordKind::Attempt ? RecordKind::Charge : RecordKind::Attempt;
    const auto subject = [kind](std::uint32_t SubjectNames::*field) {
        return inRecord(
            kind, [field](auto& record, auto& segment) { record.subject = newSubject(segment, record, field); });
    };
    // A charge may name any process or none as its other side. These fields are therefore checked for attempts only.
    const bool attempt = kind == RecordKind::Attempt;
    return {
        { "kind", inRecord(kind, [other](auto& record, auto&) { record.kind = other; }) },
        { "result", inRecord(kind, [](auto& record, auto&) { record.result = Result::Refused; }), attempt },
        { "request.high", inRecord(kind, [](auto& record, auto&) { ++record.id.request.high; }), attempt },
        { "request.low", inRecord(kind, [](auto& record, auto&) { ++record.id.request.low; }), attempt },
        { "attempt", inRecord(kind, [](auto& record, auto&) { ++record.id.number; }), attempt },
        { "owner", subject(&SubjectNames::owner) },
        { "team", subject(&SubjectNames::team) },
        { "model", subject(&SubjectNames::model) },
        { "peer.instance",
            inRecord(kind,
                [](auto& record, auto& segment) {
                    record.peer = newPeer(segment, { .instance = "x", .incarnation = base::Incarnation { 1 } });
                }),
            attempt },
        { "peer.incarnation",
            inRecord(kind,
                [](auto& record, auto& segment) {
                    auto peer = segment.peers[record.peer];
                    peer.incarnation = static_cast<base::Incarnation>(static_cast<std::uint64_t>(peer.incarnation) + 1);
                    record.peer = newPeer(segment, peer);
                }),
            attempt },
        { "issued", inRecord(kind, [](auto& record, auto&) { record.issued -= std::chrono::hours { 1 }; }), attempt },
        // The end time does not affect the split, and it differs between the two sides.
        { "finished", inRecord(kind, [](auto& record, auto&) { ++record.finished; }), false },
    };
}

std::vector<FieldChange> countChanges()
{
    const auto count = [](std::uint32_t Counts::*field) {
        return inRecord(RecordKind::Attempt, [field](auto& record, auto&) { ++(record.counts.*field); });
    };
    return {
        { "promptTokens", count(&Counts::promptTokens) },
        { "cachedTokens", count(&Counts::cachedTokens) },
        { "generatedTokens", count(&Counts::generatedTokens) },
        { "resumedTokens", count(&Counts::resumedTokens) },
        { "serviceCalls", count(&Counts::serviceCalls) },
        { "spillOvers", count(&Counts::spillOvers) },
        { "rebalancingCost",
            inRecord(RecordKind::Charge, [](auto& record, auto&) { ++record.counts.rebalancingCost; }) },
    };
}

std::vector<FieldChange> headerChanges()
{
    const auto header = [](auto change) { return [change](Segment& segment) { change(segment.header); }; };
    return {
        { "side", header([](auto& value) { value.side = value.side == Side::Entry ? Side::Agent : Side::Entry; }) },
        { "instance", header([](auto& value) { value.process.instance += "x"; }) },
        { "incarnation", header([](auto& value) { value.process.incarnation = base::Incarnation { 1 }; }) },
        { "number", header([](auto& value) { ++value.number; }) },
        { "previous", header([](auto& value) { value.previous[7] ^= 1; }) },
        { "replaces", header([](auto& value) { value.replaces = base::Incarnation { 1 }; }) },
        { "coversFrom", header([](auto& value) { --value.coversFrom; }) },
        { "coversUntil", header([](auto& value) { ++value.coversUntil; }), false },
        { "closes", header([](auto& value) { value.closes = !value.closes; }) },
        { "witnessed",
            [](Segment& segment) {
                segment.witnessed.push_back({ .process = { .instance = "x" }, .side = Side::Agent });
            } },
    };
}

std::vector<FieldChange> allChanges()
{
    auto changes = identityChanges(RecordKind::Attempt);
    for (const auto& list : { identityChanges(RecordKind::Charge), countChanges(), headerChanges() })
        changes.insert(changes.end(), list.begin(), list.end());
    return changes;
}

bool names(const Report& report, const std::string& segment)
{
    return std::any_of(report.findings.begin(), report.findings.end(), [&segment](const Finding& finding) {
        return finding.place.segment == segment || finding.other.segment == segment;
    });
}

bool has(const Report& report, FindingKind kind)
{
    return std::any_of(report.findings.begin(), report.findings.end(),
        [kind](const Finding& finding) { return finding.kind == kind; });
}

} // namespace

TEST(TamperTest, UnmodifiedSegmentsProduceNoFinding)
{
    const Installation installation;
    const auto report = installation.verify();
    for (const auto& finding : report.findings)
        ADD_FAILURE() << toString(finding);
    EXPECT_EQ(report.records, 96U);
}

// Guards against an undetected change of any field of any segment by somebody who does not hold the writer's key.
TEST(TamperTest, DetectsEveryChangedField)
{
    const Installation original;
    for (const auto& instance : { "entry-1", "agent-1" }) {
        for (const auto& name : original.chain(instance)) {
            if (name.ends_with("/0000000000"))
                continue; // The first segment holds no records.
            for (const auto& field : allChanges()) {
                auto altered = original;
                altered.alter(name, field.change, false);
                const auto report = altered.verify();
                EXPECT_FALSE(report.clean()) << name << ' ' << field.name;
                EXPECT_TRUE(names(report, name)) << name << ' ' << field.name;
            }
        }
    }
}

// Guards against an undetected false record or header that its own writer signed. The records of the other side or the
// rest of the chain contradict it.
TEST(TamperTest, DetectsChangedFieldsSignedByTheirWriter)
{
    const Installation original;
    // With a horizon after the end of all chains, a chain without a closing segment is reported.
    const VerifierOptions options { .horizon = original.world->now() + std::chrono::hours { 1 } };
    const auto expected = original.verify(options).findings;
    for (const auto& instance : { "entry-1", "agent-1" }) {
        const auto last = original.chain(instance).back();
        for (const auto& field : allChanges()) {
            if (!field.detectedWhenSigned)
                continue;
            auto altered = original;
            altered.alter(last, field.change, true);
            EXPECT_NE(altered.verify(options).findings, expected) << last << ' ' << field.name;
        }
    }
}

// Guards against an undetected change of a segment in the middle of a chain that its writer signed again.
TEST(TamperTest, DetectsResignedEarlierSegment)
{
    Installation installation;
    const auto name = installation.chain("entry-1")[2];
    installation.alter(name, countChanges()[0].change, true);
    EXPECT_TRUE(has(installation.verify(), FindingKind::BrokenLink));
}

// Guards against an undetected deletion of a segment or chain. A deleted last segment is reported as an open end.
TEST(TamperTest, DetectsEveryDeletedObject)
{
    const Installation original;
    for (const auto& instance : { "entry-1", "agent-1" }) {
        for (const auto& name : original.chain(instance)) {
            auto altered = original;
            altered.objects.erase(name);
            EXPECT_FALSE(altered.verify().findings.empty()) << name;
        }
        auto altered = original;
        for (const auto& name : original.chain(instance))
            altered.objects.erase(name);
        EXPECT_TRUE(has(altered.verify(), FindingKind::MissingChain)) << instance;
    }
}

// Guards against an undetected bit flip. The test flips one bit of each byte of a stored segment.
TEST(TamperTest, DetectsBitFlipInEveryByte)
{
    const Installation original;
    const auto name = original.chain("agent-1").back();
    const auto size = original.objects.at(name).size();
    for (std::size_t i = 0; i < size; ++i) {
        auto altered = original;
        altered.objects[name][i] = static_cast<char>(altered.objects[name][i] ^ (1 << (i % 8)));
        EXPECT_FALSE(altered.verify().clean()) << "byte " << i;
    }
}

// Guards against records that are counted twice because an object was copied or an attempt was recorded twice.
TEST(TamperTest, CountsCopiesOnce)
{
    const Installation original;
    auto copied = original;
    const auto name = original.chain("agent-1").back();
    copied.objects[name + "x"] = copied.objects[name];
    EXPECT_TRUE(has(copied.verify(), FindingKind::Fork));
    EXPECT_TRUE(copied.verify().split == original.verify().split);
    auto doubled = original;
    doubled.alter(
        original.chain("entry-1").back(), [](Segment& segment) { segment.records.push_back(segment.records.front()); },
        true);
    EXPECT_TRUE(has(doubled.verify(), FindingKind::DoubleCount));
    EXPECT_TRUE(doubled.verify().split == original.verify().split);
    EXPECT_FALSE(doubled.verify({ .dropDuplicates = false }).split == original.verify().split);
}

// The tests below check that a change is not detected if the corresponding mechanism is disabled.

TEST(TamperTest, FailsWithoutSignatures)
{
    Installation installation;
    installation.alter(installation.chain("entry-1").back(), countChanges()[0].change, false);
    EXPECT_FALSE(has(installation.verify({ .checkSignatures = false }), FindingKind::BadSignature));
}

TEST(TamperTest, FailsWithoutLinks)
{
    Installation installation;
    installation.alter(installation.chain("entry-1")[2], identityChanges(RecordKind::Attempt)[11].change, true);
    EXPECT_FALSE(installation.verify().clean());
    EXPECT_TRUE(installation.verify({ .checkLinks = false }).clean());
}

TEST(TamperTest, FailsWithoutComparisonOfSides)
{
    Installation installation;
    installation.alter(installation.chain("entry-1").back(), countChanges()[0].change, true);
    EXPECT_TRUE(has(installation.verify(), FindingKind::Mismatch));
    EXPECT_TRUE(installation.verify({ .compareSides = false }).clean());
}

} // namespace chivewinch::usage::test
