#include "usage/summary.hpp"

#include "usage/record_buffer.hpp"
#include "usage/segment.hpp"
#include "usage/segment.pb.h"
#include "usage/stored_process.hpp"

#include <algorithm>

namespace chivewinch::usage {

namespace internal {

constexpr std::uint32_t summaryFormat = 1;

WallMillis toTime(std::int64_t milliseconds) { return WallMillis { std::chrono::milliseconds { milliseconds } }; }

bool assignDigest(Digest& out, const std::string& bytes)
{
    if (bytes.size() != out.size())
        return false;
    std::copy(bytes.begin(), bytes.end(), out.begin());
    return true;
}

void encodeHead(const ChainHead& head, stored::ChainHead& out)
{
    assign(*out.mutable_process(), head.process);
    out.set_side(static_cast<std::uint32_t>(head.side));
    out.set_number(head.number);
    out.set_link(head.link.data(), head.link.size());
    out.set_covers_until_ms(head.coversUntil.time_since_epoch().count());
    out.set_closes(head.closes);
}

std::optional<ChainHead> decodeHead(const stored::ChainHead& in)
{
    ChainHead head { .process = toProcess(in.process()),
        .side = static_cast<Side>(in.side()),
        .number = in.number(),
        .coversUntil = toTime(in.covers_until_ms()),
        .closes = in.closes() };
    if (!assignDigest(head.link, in.link()))
        return std::nullopt;
    return head;
}

void encodeSplit(const Split& split, stored::Summary& out)
{
    Dictionary<NameTraits> names;
    std::uint32_t subject = 0;
    for (const auto& [key, totals] : split) {
        out.add_subjects(names.indexOf(key.subject.owner));
        out.add_subjects(names.indexOf(key.subject.team));
        out.add_subjects(names.indexOf(key.subject.model));
        auto& line = *out.add_totals();
        line.set_subject(subject++);
        for (const auto& field : totalsFields)
            line.add_values(totals.*field.member);
    }
    for (auto& name : names.release())
        out.add_names(std::move(name));
}

bool decodeSplit(const stored::Summary& in, WallMillis hour, Split& split)
{
    const auto name = [&in](int index) -> const std::string* {
        const auto place = in.subjects(index);
        return place < static_cast<std::uint32_t>(in.names_size()) ? &in.names(static_cast<int>(place)) : nullptr;
    };
    for (const auto& line : in.totals()) {
        const auto first = 3 * std::uint64_t { line.subject() };
        if (first + 3 > static_cast<std::uint64_t>(in.subjects_size())
            || static_cast<std::size_t>(line.values_size()) != totalsFields.size())
            return false;
        const auto* owner = name(static_cast<int>(first));
        const auto* team = name(static_cast<int>(first + 1));
        const auto* model = name(static_cast<int>(first + 2));
        if (owner == nullptr || team == nullptr || model == nullptr)
            return false;
        auto& totals = split[{ .hour = hour, .subject = { .owner = *owner, .team = *team, .model = *model } }];
        for (std::size_t i = 0; i < totalsFields.size(); ++i)
            totals.*totalsFields[i].member = line.values(static_cast<int>(i));
    }
    return true;
}

std::string encodeSummary(const Summary& summary)
{
    stored::Summary out;
    out.set_format(summaryFormat);
    assign(*out.mutable_writer(), summary.writer);
    out.set_fencing(static_cast<std::uint64_t>(summary.fencing));
    out.set_hour_ms(summary.hour.time_since_epoch().count());
    out.set_previous(summary.previous.data(), summary.previous.size());
    for (const auto& head : summary.heads)
        encodeHead(head, *out.add_heads());
    encodeSplit(summary.split, out);
    for (const auto& finding : summary.findings)
        out.add_findings(finding);
    return out.SerializeAsString();
}

std::optional<Summary> decodeSummary(const std::string& payload)
{
    stored::Summary in;
    if (!in.ParseFromString(payload) || in.format() != summaryFormat)
        return std::nullopt;
    Summary summary { .writer = toProcess(in.writer()),
        .fencing = static_cast<base::FencingNumber>(in.fencing()),
        .hour = toTime(in.hour_ms()),
        .findings = { in.findings().begin(), in.findings().end() } };
    if (!assignDigest(summary.previous, in.previous()) || !decodeSplit(in, summary.hour, summary.split))
        return std::nullopt;
    for (const auto& item : in.heads()) {
        auto head = decodeHead(item);
        if (!head)
            return std::nullopt;
        summary.heads.push_back(std::move(*head));
    }
    if (encodeSummary(summary) != payload)
        return std::nullopt;
    return summary;
}

} // namespace internal

std::string summaryName(WallMillis hour) { return "usage/summary/" + hourText(hour); }

Split hourOfSplit(const Split& split, WallMillis hour)
{
    Split result;
    std::copy_if(split.begin(), split.end(), std::inserter(result, result.end()),
        [hour](const auto& line) { return line.first.hour == hour; });
    return result;
}

Summary summarise(
    const Report& report, WallMillis hour, const ProcessId& writer, base::FencingNumber fencing, const Digest& previous)
{
    Summary summary { .writer = writer,
        .fencing = fencing,
        .hour = hour,
        .previous = previous,
        .heads = report.heads,
        .split = hourOfSplit(report.split, hour) };
    for (const auto& finding : report.findings)
        summary.findings.push_back(toString(finding));
    return summary;
}

std::string sealSummary(const Summary& summary, const SigningKey& key)
{
    auto payload = internal::encodeSummary(summary);
    const auto signature = key.sign(sha256(payload));
    return wrap(std::move(payload), signature);
}

std::optional<Summary> readSummary(std::string_view bytes, const KeyList& keys, Error& reason)
{
    const auto envelope = unwrap(bytes, reason);
    if (!envelope)
        return std::nullopt;
    auto summary = internal::decodeSummary(envelope->payload);
    if (!summary) {
        reason = { .code = ErrorCode::Malformed, .detail = "the payload is not a summary in its canonical form" };
        return std::nullopt;
    }
    if (!keys.verify(summary->writer.instance, Side::Entry, envelope->digest, envelope->signature)) {
        reason = { .code = ErrorCode::BadSignature, .detail = "no registered key of the writer signed the summary" };
        return std::nullopt;
    }
    return summary;
}

} // namespace chivewinch::usage
