#pragma once

#include "usage/key.hpp"
#include "usage/record.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chivewinch::usage {

/** Who pays for a record and for what. */
struct Subject {
    std::string owner;
    std::string team;
    std::string model;

    auto operator<=>(const Subject&) const = default;
};

/** Subject as indexes into a list of names. */
struct SubjectNames {
    std::uint32_t owner = 0;
    std::uint32_t team = 0;
    std::uint32_t model = 0;

    auto operator<=>(const SubjectNames&) const = default;
};

/** Record of a segment; subject and peer are indexes into the segment's lists. */
struct PackedRecord {
    base::AttemptId id;
    RecordKind kind = RecordKind::Attempt;
    Result result = Result::Done;
    std::uint32_t subject = 0;
    std::uint32_t peer = 0;
    WallMillis issued;
    WallMillis finished;
    Counts counts;

    auto operator<=>(const PackedRecord&) const = default;
};

/** Place of a segment in the chain of one process life. */
struct SegmentHeader {
    Side side = Side::Entry;
    ProcessId process;
    std::uint64_t number = 0; ///< 0 opens the chain.
    Digest previous {}; ///< Link of segment number - 1; zero in the first one.
    base::Incarnation replaces {}; ///< First segment only: the previous life of the instance; 0 when there is none.
    WallMillis coversFrom;
    WallMillis coversUntil; ///< Every record counted up to this time is in this segment or an earlier one.
    bool closes = false; ///< The process has stopped counting; no segment follows.

    auto operator<=>(const SegmentHeader&) const = default;
};

/** A process that another one met, so that its chain is missed if it never appears. */
struct Witness {
    ProcessId process;
    Side side = Side::Entry;

    auto operator<=>(const Witness&) const = default;
};

struct Segment {
    SegmentHeader header;
    std::vector<std::string> names;
    std::vector<SubjectNames> subjects;
    std::vector<ProcessId> peers;
    std::vector<Witness> witnessed; ///< Other processes met since the previous segment.
    std::vector<PackedRecord> records;

    bool operator==(const Segment&) const = default;

    [[nodiscard]] Subject subject(std::size_t index) const;
    [[nodiscard]] Record record(std::size_t index) const;
};

/** Segment in its stored form. */
struct SealedSegment {
    std::string name;
    std::string bytes;
    Digest link {};
};

/** Payload and signature of a stored object, not yet verified. */
struct Envelope {
    std::string payload;
    Signature signature {};
    Digest digest {}; ///< SHA-256 of the payload.
};

/** "usage/segment/<UTC hour>/<instance>/<incarnation>/<number>"; the hour is that of coversFrom. */
[[nodiscard]] std::string segmentName(const SegmentHeader& header);

/** Prefix of the markers "usage/open/<instance>/<incarnation>" of every life of an instance, in their order. */
[[nodiscard]] std::string openPrefix(std::string_view instance);
[[nodiscard]] std::string openName(const ProcessId& process);
[[nodiscard]] std::optional<base::Incarnation> parseOpenName(std::string_view name);

/** Canonical payload bytes. */
[[nodiscard]] std::string encode(const Segment& segment);

/** Inverse of encode; nullopt with ErrorCode::Malformed for anything that encode does not produce. */
[[nodiscard]] std::optional<Segment> decode(std::string_view payload, Error& reason);

/** Decodes many segments and keeps its memory between them. */
class SegmentDecoder {
public:
    SegmentDecoder();
    SegmentDecoder(const SegmentDecoder&) = delete;
    SegmentDecoder& operator=(const SegmentDecoder&) = delete;
    ~SegmentDecoder();

    /** Overwrites the envelope; false with ErrorCode::Malformed for anything that wrap does not produce. */
    [[nodiscard]] bool unwrap(std::string_view bytes, Envelope& envelope, Error& reason);

    /** Overwrites the segment; false with ErrorCode::Malformed for anything that encode does not produce. */
    [[nodiscard]] bool decode(std::string_view payload, Segment& segment, Error& reason);

private:
    struct State;
    std::unique_ptr<State> state;
};

[[nodiscard]] SealedSegment seal(const Segment& segment, const SigningKey& key);

[[nodiscard]] std::string wrap(std::string payload, const Signature& signature);
[[nodiscard]] std::optional<Envelope> unwrap(std::string_view bytes, Error& reason);

} // namespace chivewinch::usage
