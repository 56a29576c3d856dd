#include "usage/segment.hpp"

#include "usage/segment.pb.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>

namespace chivewinch::usage {

Subject Segment::subject(std::size_t index) const
{
    const auto& subject = this->subjects[index];
    return {
        .owner = this->names[subject.owner], .team = this->names[subject.team], .model = this->names[subject.model]
    };
}

Record Segment::record(std::size_t index) const
{
    const auto& packed = this->records[index];
    const auto subject = this->subject(packed.subject);
    const auto& peer = this->peers[packed.peer];
    return { .kind = packed.kind,
        .result = packed.result,
        .id = packed.id,
        .owner = subject.owner,
        .team = subject.team,
        .model = subject.model,
        .peerInstance = peer.instance,
        .peerIncarnation = peer.incarnation,
        .issued = packed.issued,
        .finished = packed.finished,
        .counts = packed.counts };
}

std::string segmentName(const SegmentHeader& header)
{
    std::array<char, 24> number {};
    std::snprintf(number.data(), number.size(), "%010llu", static_cast<unsigned long long>(header.number));
    return "usage/segment/" + hourText(header.coversFrom) + '/' + toString(header.process) + '/' + number.data();
}

std::string openPrefix(std::string_view instance) { return "usage/open/" + std::string { instance } + '/'; }

std::string openName(const ProcessId& process) { return "usage/open/" + toString(process); }

std::optional<base::Incarnation> parseOpenName(std::string_view name)
{
    const auto digits = name.substr(name.rfind('/') + 1);
    std::uint64_t value = 0;
    const auto* end = digits.data() + digits.size();
    const auto result = std::from_chars(digits.data(), end, value, 16);
    if (result.ec != std::errc {} || result.ptr != end)
        return std::nullopt;
    return static_cast<base::Incarnation>(value);
}

SealedSegment seal(const Segment& segment, const SigningKey& key)
{
    auto payload = encode(segment);
    const auto digest = sha256(payload);
    const auto signature = key.sign(digest);
    return { .name = segmentName(segment.header),
        .bytes = wrap(std::move(payload), signature),
        .link = linkOf(digest, signature) };
}

std::string wrap(std::string payload, const Signature& signature)
{
    stored::Signed envelope;
    envelope.set_payload(std::move(payload));
    envelope.set_signature(signature.data(), signature.size());
    return envelope.SerializeAsString();
}

std::optional<Envelope> unwrap(std::string_view bytes, Error& reason)
{
    SegmentDecoder decoder;
    Envelope envelope;
    if (!decoder.unwrap(bytes, envelope, reason))
        return std::nullopt;
    return envelope;
}

} // namespace chivewinch::usage
