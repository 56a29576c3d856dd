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

/** Billing key of a record: the owner and team that pay, and the model that was used. */
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

/** Record in a segment. The fields subject and peer are indexes into the lists of the segment. */
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

/** Position of a segment in the chain of one process incarnation. */
struct SegmentHeader {
    Side side = Side::Entry;
    ProcessId process;
    std::uint64_t number = 0; ///< Position in the chain, from 0.
    Digest previous {}; ///< Link of segment number - 1; zero in the first one.
    base::Incarnation replaces {}; ///< First segment only: previous incarnation of the instance, or 0.
    WallMillis coversFrom;
    WallMillis coversUntil; ///< All records counted up to this time are in this or an earlier segment.
    bool closes = false; ///< The process has stopped counting; this is the last segment.

    auto operator<=>(const SegmentHeader&) const = default;
};

/**
 * Process that the writer of a segment had contact with or learned of from a peer. The verifier reports a missing chain
 * if the process has no valid segment.
 */
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
    std::vector<Witness> witnessed; ///< Processes that became known since the previous segment.
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

/** Prefix of the markers "usage/open/<instance>/<incarnation>" of an instance. Their names sort by incarnation. */
[[nodiscard]] std::string openPrefix(std::string_view instance);
[[nodiscard]] std::string openName(const ProcessId& process);
[[nodiscard]] std::optional<base::Incarnation> parseOpenName(std::string_view name);

/** Canonical payload bytes. */
[[nodiscard]] std::string encode(const Segment& segment);

/** Inverse of encode(). Returns nullopt with ErrorCode::Malformed for bytes that encode() does not produce. */
[[nodiscard]] std::optional<Segment> decode(std::string_view payload, Error& reason);

/** Decodes segments and reuses its memory between calls. */
class SegmentDecoder {
public:
    SegmentDecoder();
    SegmentDecoder(const SegmentDecoder&) = delete;
    SegmentDecoder& operator=(const SegmentDecoder&) = delete;
    ~SegmentDecoder();

    /** Overwrites the envelope. Returns false with ErrorCode::Malformed for bytes that wrap() does not produce. */
    [[nodiscard]] bool unwrap(std::string_view bytes, Envelope& envelope, Error& reason);

    /** Overwrites the segment. Returns false with ErrorCode::Malformed for bytes that encode() does not produce. */
    [[nodiscard]] bool decode(std::string_view payload, Segment& segment, Error& reason);

private:
    struct State;
    std::unique_ptr<State> state;
};

[[nodiscard]] SealedSegment seal(const Segment& segment, const SigningKey& key);

[[nodiscard]] std::string wrap(std::string payload, const Signature& signature);
[[nodiscard]] std::optional<Envelope> unwrap(std::string_view bytes, Error& reason);

} // namespace chivewinch::usage
