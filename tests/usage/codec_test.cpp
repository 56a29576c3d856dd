#include "usage/segment.pb.h"
#include "usage/support.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace chivewinch::usage::test {

namespace {

std::string arbitraryText() { return *rc::gen::arbitrary<std::string>(); }

WallMillis arbitraryTime()
{
    return WallMillis { std::chrono::milliseconds { *rc::gen::inRange<std::int64_t>(0, 1LL << 42) } };
}

Counts arbitraryCounts()
{
    return { .promptTokens = *rc::gen::arbitrary<std::uint32_t>(),
        .cachedTokens = *rc::gen::arbitrary<std::uint32_t>(),
        .generatedTokens = *rc::gen::arbitrary<std::uint32_t>(),
        .resumedTokens = *rc::gen::arbitrary<std::uint32_t>(),
        .serviceCalls = *rc::gen::arbitrary<std::uint32_t>(),
        .spillOvers = *rc::gen::arbitrary<std::uint32_t>(),
        .rebalancingCost = *rc::gen::arbitrary<std::uint64_t>() };
}

Record arbitraryRecord()
{
    Record record { .kind = *rc::gen::element(RecordKind::Attempt, RecordKind::Charge),
        .result
        = *rc::gen::element(Result::Done, Result::Broken, Result::Cancelled, Result::Refused, Result::Unknown) };
    record.id
        = { .request = { .high = *rc::gen::arbitrary<std::uint64_t>(), .low = *rc::gen::arbitrary<std::uint64_t>() },
              .number = *rc::gen::arbitrary<std::uint32_t>() };
    record.owner = arbitraryText();
    record.team = arbitraryText();
    record.model = arbitraryText();
    record.peerInstance = arbitraryText();
    record.peerIncarnation = static_cast<base::Incarnation>(*rc::gen::arbitrary<std::uint64_t>());
    record.issued = arbitraryTime();
    record.finished = arbitraryTime();
    record.counts = arbitraryCounts();
    return record;
}

Segment segmentOf(const std::vector<Record>& records, std::size_t limit = 1000)
{
    internal::RecordBuffer buffer;
    for (const auto& record : records)
        buffer.add(viewOf(record));
    Segment segment;
    buffer.take(limit, segment);
    return segment;
}

} // namespace

// Guards against a field value that is lost or changed by encoding, signing and decoding. Fields hold arbitrary bytes.
RC_GTEST_PROP(CodecTest, RecordsRoundTrip, ())
{
    std::vector<Record> records(*rc::gen::inRange<std::size_t>(0, 20));
    std::generate(records.begin(), records.end(), arbitraryRecord);
    auto segment = segmentOf(records);
    segment.header.process.instance = arbitraryText();
    segment.header.closes = *rc::gen::arbitrary<bool>();
    segment.witnessed.push_back({ .process = { .instance = arbitraryText() }, .side = Side::Agent });
    Error reason;
    const auto envelope = unwrap(seal(segment, keyOf("p")).bytes, reason);
    RC_ASSERT(envelope.has_value());
    const auto decoded = decode(envelope->payload, reason);
    RC_ASSERT(decoded.has_value());
    RC_ASSERT(*decoded == segment);
    for (std::size_t i = 0; i < records.size(); ++i)
        RC_ASSERT(decoded->record(i) == records[i]);
}

// Guards against two valid encodings of one segment, which would have two hashes.
RC_GTEST_PROP(CodecTest, AcceptsOnlyCanonicalForm, ())
{
    std::vector<Record> records(*rc::gen::inRange<std::size_t>(1, 5));
    std::generate(records.begin(), records.end(), arbitraryRecord);
    auto bytes = encode(segmentOf(records));
    const auto position = *rc::gen::inRange<std::size_t>(0, bytes.size());
    bytes[position] = static_cast<char>(*rc::gen::arbitrary<std::uint8_t>());
    Error reason;
    if (const auto decoded = decode(bytes, reason))
        RC_ASSERT(encode(*decoded) == bytes);
    else
        RC_ASSERT(reason.code == ErrorCode::Malformed);
}

// Guards against an accepted unknown field inside a list item. A comparison of the encoded size alone does not detect
// it, because the size that protobuf computes includes unknown fields.
TEST(CodecTest, RejectsUnknownFields)
{
    World world { 1 };
    const auto bytes = encode(segmentOf({ sampleRecord(world.random, world.now()) }));
    stored::Segment message;
    ASSERT_TRUE(message.ParseFromString(bytes));
    EXPECT_EQ(message.SerializeAsString(), bytes);
    auto* peer = message.mutable_peers(0);
    peer->GetReflection()->MutableUnknownFields(peer)->AddVarint(9, 1);
    Error reason;
    EXPECT_FALSE(decode(message.SerializeAsString(), reason));
    EXPECT_EQ(reason.code, ErrorCode::Malformed);
}

// Guards against wrong subject or peer indexes after some of the buffered records were taken.
RC_GTEST_PROP(CodecTest, PartialTakesPreserveRecords, ())
{
    std::vector<Record> records(*rc::gen::inRange<std::size_t>(1, 20));
    std::generate(records.begin(), records.end(), arbitraryRecord);
    const auto limit = *rc::gen::inRange<std::size_t>(1, 8);
    internal::RecordBuffer buffer;
    for (const auto& record : records)
        buffer.add(viewOf(record));
    std::vector<Record> taken;
    while (!buffer.empty()) {
        Segment segment;
        buffer.take(limit, segment);
        for (std::size_t i = 0; i < segment.records.size(); ++i)
            taken.push_back(segment.record(i));
    }
    RC_ASSERT(taken == records);
    RC_ASSERT(buffer.bytes() == 0U);
}

// Guards against a signing key or key list that changes when it is written as text and read back.
TEST(KeyTest, TextFormsRoundTrip)
{
    const auto key = SigningKey::generate();
    Error reason;
    const auto copy = SigningKey::fromHex(key.seedHex(), reason);
    ASSERT_TRUE(copy);
    KeyList list;
    list.add("entry-1", Side::Entry, key.publicKey());
    const auto readBack = KeyList::fromJson(list.toJson(), reason);
    ASSERT_TRUE(readBack);
    const auto digest = sha256("text");
    EXPECT_TRUE(readBack->verify("entry-1", Side::Entry, digest, copy->sign(digest)));
    EXPECT_FALSE(readBack->verify("entry-1", Side::Agent, digest, copy->sign(digest)));
    EXPECT_FALSE(readBack->verify("entry-2", Side::Entry, digest, copy->sign(digest)));
    EXPECT_FALSE(SigningKey::fromHex("12", reason));
    EXPECT_FALSE(KeyList::fromJson(R"([{"instance":"a","side":"entry","key":"zz"}])", reason));
    EXPECT_EQ(reason.code, ErrorCode::BadKey);
}

} // namespace chivewinch::usage::test
