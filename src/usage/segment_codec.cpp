#include "usage/segment.hpp"
#include "usage/segment.pb.h"
#include "usage/stored_process.hpp"

#include <algorithm>
#include <limits>

namespace chivewinch::usage {

namespace internal {

constexpr std::uint32_t formatVersion = 1;

/** Column of counts. It is omitted from the encoding if all values are zero. */
template <typename Value> struct CountColumn {
    using Field = google::protobuf::RepeatedField<Value>;
    Value Counts::*member;
    Field* (stored::Segment::*mutableField)();
    const Field& (stored::Segment::*field)() const;
};

constexpr std::array<CountColumn<std::uint32_t>, 6> countColumns { {
    { &Counts::promptTokens, &stored::Segment::mutable_prompt_tokens, &stored::Segment::prompt_tokens },
    { &Counts::cachedTokens, &stored::Segment::mutable_cached_tokens, &stored::Segment::cached_tokens },
    { &Counts::generatedTokens, &stored::Segment::mutable_generated_tokens, &stored::Segment::generated_tokens },
    { &Counts::resumedTokens, &stored::Segment::mutable_resumed_tokens, &stored::Segment::resumed_tokens },
    { &Counts::serviceCalls, &stored::Segment::mutable_service_calls, &stored::Segment::service_calls },
    { &Counts::spillOvers, &stored::Segment::mutable_spill_overs, &stored::Segment::spill_overs },
} };

constexpr CountColumn<std::uint64_t> costColumn { &Counts::rebalancingCost, &stored::Segment::mutable_rebalancing_cost,
    &stored::Segment::rebalancing_cost };

template <typename Value>
void encodeColumn(const CountColumn<Value>& column, const std::vector<PackedRecord>& records, stored::Segment& out)
{
    const auto isZero = [&column](const PackedRecord& record) { return record.counts.*column.member == 0; };
    if (std::all_of(records.begin(), records.end(), isZero))
        return;
    auto& field = *(out.*column.mutableField)();
    field.Reserve(static_cast<int>(records.size()));
    for (const auto& record : records)
        field.AddAlreadyReserved(record.counts.*column.member);
}

template <typename Value>
bool decodeColumn(const CountColumn<Value>& column, const stored::Segment& in, std::vector<PackedRecord>& records)
{
    const auto& field = (in.*column.field)();
    if (field.empty()) {
        for (auto& record : records)
            record.counts.*column.member = 0;
        return true;
    }
    if (static_cast<std::size_t>(field.size()) != records.size())
        return false;
    const auto* values = field.data();
    Value any = 0;
    for (std::size_t i = 0; i < records.size(); ++i) {
        records[i].counts.*column.member = values[i];
        any |= values[i];
    }
    return any != 0;
}

void encodeHeader(const SegmentHeader& header, stored::Segment& out)
{
    out.set_format(formatVersion);
    out.set_side(static_cast<std::uint32_t>(header.side));
    assign(*out.mutable_process(), header.process);
    out.set_number(header.number);
    out.set_previous(header.previous.data(), header.previous.size());
    out.set_replaces(static_cast<std::uint64_t>(header.replaces));
    out.set_covers_from_ms(header.coversFrom.time_since_epoch().count());
    out.set_covers_until_ms(header.coversUntil.time_since_epoch().count());
    out.set_closes(header.closes);
}

bool decodeHeader(const stored::Segment& in, SegmentHeader& header)
{
    if (in.format() != formatVersion || in.previous().size() != header.previous.size())
        return false;
    if (in.side() < static_cast<std::uint32_t>(Side::Entry) || in.side() > static_cast<std::uint32_t>(Side::Agent))
        return false;
    header.side = static_cast<Side>(in.side());
    header.process = toProcess(in.process());
    header.number = in.number();
    std::copy(in.previous().begin(), in.previous().end(), header.previous.begin());
    header.replaces = static_cast<base::Incarnation>(in.replaces());
    header.coversFrom = WallMillis { std::chrono::milliseconds { in.covers_from_ms() } };
    header.coversUntil = WallMillis { std::chrono::milliseconds { in.covers_until_ms() } };
    header.closes = in.closes();
    return header.coversFrom <= header.coversUntil;
}

void encodeIdentities(const Segment& segment, stored::Segment& out)
{
    const auto size = static_cast<int>(segment.records.size());
    out.set_records(static_cast<std::uint32_t>(segment.records.size()));
    out.mutable_kinds()->reserve(segment.records.size());
    out.mutable_request_words()->Reserve(2 * size);
    out.mutable_attempts()->Reserve(size);
    out.mutable_subject()->Reserve(size);
    out.mutable_peer()->Reserve(size);
    out.mutable_issued_ms()->Reserve(size);
    out.mutable_elapsed_ms()->Reserve(size);
    for (const auto& record : segment.records) {
        const auto kind = (static_cast<unsigned>(record.kind) << 4) | static_cast<unsigned>(record.result);
        out.mutable_kinds()->push_back(static_cast<char>(kind));
        out.mutable_request_words()->AddAlreadyReserved(record.id.request.high);
        out.mutable_request_words()->AddAlreadyReserved(record.id.request.low);
        out.mutable_attempts()->AddAlreadyReserved(record.id.number);
        out.mutable_subject()->AddAlreadyReserved(record.subject);
        out.mutable_peer()->AddAlreadyReserved(record.peer);
        out.mutable_issued_ms()->AddAlreadyReserved((record.issued - segment.header.coversFrom).count());
        out.mutable_elapsed_ms()->AddAlreadyReserved((record.finished - record.issued).count());
    }
}

bool columnsMatch(const stored::Segment& in)
{
    const auto size = in.records();
    const auto matches = [size](int actual) { return static_cast<std::uint32_t>(actual) == size; };
    return in.kinds().size() == size && static_cast<std::uint64_t>(in.request_words_size()) == 2ULL * size
        && matches(in.attempts_size()) && matches(in.subject_size()) && matches(in.peer_size())
        && matches(in.issued_ms_size()) && matches(in.elapsed_ms_size());
}

bool decodeKind(unsigned char byte, PackedRecord& record)
{
    const unsigned kind = byte >> 4;
    const unsigned result = byte & 15;
    record.kind = static_cast<RecordKind>(kind);
    record.result = static_cast<Result>(result);
    return kind >= 1 && kind <= static_cast<unsigned>(RecordKind::Charge) && result >= 1
        && result <= static_cast<unsigned>(Result::Unknown);
}

bool decodeIdentities(const stored::Segment& in, Segment& segment)
{
    if (!columnsMatch(in))
        return false;
    segment.records.resize(in.records());
    const auto* words = in.request_words().data();
    bool valid = true;
    for (std::size_t i = 0; i < segment.records.size(); ++i) {
        auto& record = segment.records[i];
        const auto column = static_cast<int>(i);
        valid = decodeKind(static_cast<unsigned char>(in.kinds()[i]), record) && valid;
        record.id = { .request = { .high = words[2 * i], .low = words[2 * i + 1] }, .number = in.attempts(column) };
        record.subject = in.subject(column);
        record.peer = in.peer(column);
        record.issued = segment.header.coversFrom + std::chrono::milliseconds { in.issued_ms(column) };
        record.finished = record.issued + std::chrono::milliseconds { in.elapsed_ms(column) };
        valid = valid && record.subject < segment.subjects.size() && record.peer < segment.peers.size();
    }
    return valid;
}

template <typename Message> bool hasUnknown(const Message& message)
{
    return !message.GetReflection()->GetUnknownFields(message).empty();
}

bool hasUnknownFields(const stored::Segment& in)
{
    const auto unknownProcess = [](const stored::Process& process) { return hasUnknown(process); };
    const auto unknownWitness
        = [](const stored::Witness& witness) { return hasUnknown(witness) || hasUnknown(witness.process()); };
    return hasUnknown(in) || hasUnknown(in.process())
        || std::any_of(in.peers().begin(), in.peers().end(), unknownProcess)
        || std::any_of(in.witnessed().begin(), in.witnessed().end(), unknownWitness);
}

bool decodeSubjects(const stored::Segment& in, Segment& segment)
{
    segment.names.assign(in.names().begin(), in.names().end());
    if (in.subjects_size() % 3 != 0)
        return false;
    segment.subjects.clear();
    segment.subjects.reserve(static_cast<std::size_t>(in.subjects_size() / 3));
    for (int i = 0; i < in.subjects_size(); i += 3)
        segment.subjects.push_back(
            { .owner = in.subjects(i), .team = in.subjects(i + 1), .model = in.subjects(i + 2) });
    return std::all_of(in.subjects().begin(), in.subjects().end(),
        [&segment](std::uint32_t name) { return name < segment.names.size(); });
}

void decodeProcesses(const stored::Segment& in, Segment& segment)
{
    segment.peers.clear();
    segment.witnessed.clear();
    for (const auto& peer : in.peers())
        segment.peers.push_back(toProcess(peer));
    for (const auto& witness : in.witnessed())
        segment.witnessed.push_back(
            { .process = toProcess(witness.process()), .side = static_cast<Side>(witness.side()) });
}

bool validWitnesses(const std::vector<Witness>& witnessed)
{
    return std::all_of(witnessed.begin(), witnessed.end(),
        [](const Witness& witness) { return witness.side == Side::Entry || witness.side == Side::Agent; });
}

} // namespace internal

std::string encode(const Segment& segment)
{
    stored::Segment out;
    internal::encodeHeader(segment.header, out);
    out.mutable_names()->Reserve(static_cast<int>(segment.names.size()));
    for (const auto& name : segment.names)
        out.add_names(name);
    out.mutable_subjects()->Reserve(static_cast<int>(3 * segment.subjects.size()));
    for (const auto& subject : segment.subjects) {
        out.add_subjects(subject.owner);
        out.add_subjects(subject.team);
        out.add_subjects(subject.model);
    }
    for (const auto& peer : segment.peers)
        internal::assign(*out.add_peers(), peer);
    for (const auto& witness : segment.witnessed) {
        auto& added = *out.add_witnessed();
        internal::assign(*added.mutable_process(), witness.process);
        added.set_side(static_cast<std::uint32_t>(witness.side));
    }
    internal::encodeIdentities(segment, out);
    for (const auto& column : internal::countColumns)
        internal::encodeColumn(column, segment.records, out);
    internal::encodeColumn(internal::costColumn, segment.records, out);
    return out.SerializeAsString();
}

struct SegmentDecoder::State {
    stored::Signed envelope;
    stored::Segment message;
    std::string canonical;
};

SegmentDecoder::SegmentDecoder()
    : state { std::make_unique<State>() }
{
}

SegmentDecoder::~SegmentDecoder() = default;

bool SegmentDecoder::unwrap(std::string_view bytes, Envelope& envelope, Error& reason)
{
    auto& in = this->state->envelope;
    const auto fail = [&reason](const char* detail) {
        reason = { .code = ErrorCode::Malformed, .detail = detail };
        return false;
    };
    if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return fail("the object is not a signed message");
    if (in.signature().size() != envelope.signature.size())
        return fail("the signature does not have 64 bytes");
    // Together, these checks ensure that the message has only one encoding: two fields of known size in order, without
    // repetition, padding or unknown fields.
    constexpr char payloadTag = 0x0A;
    if (internal::hasUnknown(in) || in.ByteSizeLong() != bytes.size() || bytes.front() != payloadTag)
        return fail("the signed message is not in the canonical form");
    std::copy(in.signature().begin(), in.signature().end(), envelope.signature.begin());
    std::swap(envelope.payload, *in.mutable_payload());
    envelope.digest = sha256(envelope.payload);
    return true;
}

bool SegmentDecoder::decode(std::string_view payload, Segment& segment, Error& reason)
{
    auto& in = this->state->message;
    const auto fail = [&reason](const char* detail) {
        reason = { .code = ErrorCode::Malformed, .detail = detail };
        return false;
    };
    if (!in.ParseFromArray(payload.data(), static_cast<int>(payload.size())))
        return fail("the payload is not a segment");
    // Protobuf parsers accept unknown fields, any field order and overlong varints. Without this check, one segment
    // could have several encodings and therefore several hashes.
    if (internal::hasUnknownFields(in) || !in.SerializeToString(&this->state->canonical)
        || this->state->canonical != payload)
        return fail("the payload is not in the canonical form");
    if (!internal::decodeHeader(in, segment.header))
        return fail("the segment header is invalid");
    if (!internal::decodeSubjects(in, segment))
        return fail("a subject is invalid");
    internal::decodeProcesses(in, segment);
    if (!internal::validWitnesses(segment.witnessed))
        return fail("a witnessed process is invalid");
    if (!internal::decodeIdentities(in, segment))
        return fail("a record is invalid");
    bool valid = internal::decodeColumn(internal::costColumn, in, segment.records);
    for (const auto& column : internal::countColumns)
        valid = internal::decodeColumn(column, in, segment.records) && valid;
    return valid || fail("a count column is invalid");
}

std::optional<Segment> decode(std::string_view payload, Error& reason)
{
    SegmentDecoder decoder;
    Segment segment;
    if (!decoder.decode(payload, segment, reason))
        return std::nullopt;
    return segment;
}

} // namespace chivewinch::usage
