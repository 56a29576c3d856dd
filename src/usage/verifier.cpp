#include "usage/verifier.hpp"

#include <algorithm>
#include <utility>

namespace chivewinch::usage {

Verifier::Verifier(VerifierOptions options, KeyList keys)
    : options { options }
    , keys { std::move(keys) }
    , chains { this->options, this->keys }
    , joiner { this->options, this->chains }
{
}

void Verifier::add(const std::string& name, std::string_view bytes)
{
    if (name.starts_with("usage/open/")) {
        this->addMarker(name, bytes);
    } else if (name.starts_with("usage/summary/")) {
        this->addSummary(name, bytes);
    } else {
        this->addSegment(name, bytes);
    }
}

void Verifier::addSummary(const std::string& name, std::string_view bytes)
{
    Error reason;
    auto summary = readSummary(bytes, this->keys, reason);
    const auto kind = reason.code == ErrorCode::BadSignature ? FindingKind::BadSignature : FindingKind::Malformed;
    if (!summary) {
        this->report.findings.push_back({ .kind = kind, .place = { .segment = name }, .detail = reason.detail });
        return;
    }
    if (name != summaryName(summary->hour))
        this->report.findings.push_back({ .kind = FindingKind::WrongName, .place = { .segment = name } });
    const auto& window = this->options.window;
    if (!window || (summary->hour >= window->from && summary->hour < window->until))
        this->summaries.push_back({ .name = name, .summary = std::move(*summary) });
}

void Verifier::addSegment(const std::string& name, std::string_view bytes)
{
    Error reason;
    if (!this->decoder.unwrap(bytes, this->envelope, reason)
        || !this->decoder.decode(this->envelope.payload, this->segment, reason)) {
        this->report.findings.push_back(
            { .kind = FindingKind::Malformed, .place = { .segment = name }, .detail = reason.detail });
        return;
    }
    const auto expected = segmentName(this->segment.header);
    if (name != expected)
        this->report.findings.push_back({ .kind = FindingKind::WrongName,
            .place = { .segment = name },
            .other = { .segment = expected },
            .detail = "the header belongs to another object" });
    const auto index = this->chains.add({ .name = name,
        .header = this->segment.header,
        .digest = this->envelope.digest,
        .signature = this->envelope.signature,
        .link = linkOf(this->envelope.digest, this->envelope.signature) });
    ++this->report.segments;
    this->report.records += this->segment.records.size();
    this->report.bytes += bytes.size();
    this->joiner.add(this->segment, index);
    this->addReferences(this->segment, name);
}

void Verifier::addMarker(const std::string& name, std::string_view bytes)
{
    const auto incarnation = parseOpenName(name);
    const auto prefix = openPrefix({}).size() - 1;
    const auto end = name.rfind('/');
    if (!incarnation || end <= prefix) {
        this->report.findings.push_back({ .kind = FindingKind::Malformed, .place = { .segment = name } });
        return;
    }
    const auto side = bytes.starts_with(toString(Side::Agent)) ? Side::Agent : Side::Entry;
    const ProcessId process { .instance = name.substr(prefix, end - prefix), .incarnation = *incarnation };
    this->chains.addReference(process, side, internal::startOf(*incarnation), name);
}

void Verifier::addReferences(const Segment& segment, const std::string& name)
{
    const auto otherSide = segment.header.side == Side::Entry ? Side::Agent : Side::Entry;
    for (const auto& peer : segment.peers) {
        const auto index
            = this->joiner.processes.indexOf({ .instance = peer.instance, .incarnation = peer.incarnation });
        this->referenced.resize(this->joiner.processes.size());
        if (!peer.instance.empty() && !this->referenced[index])
            this->referenced[index] = this->chains.addReference(peer, otherSide, segment.header.coversUntil, name);
    }
    for (const auto& witness : segment.witnessed)
        this->chains.addReference(witness.process, witness.side, segment.header.coversUntil, name);
}

void Verifier::reportPossibleLosses()
{
    const auto& periods = this->chains.uncovered();
    const auto skew = this->options.clockSkew;
    for (const auto& entry : periods) {
        if (entry.side != Side::Entry)
            continue;
        for (const auto& agent : periods) {
            // The agent counts an answer first. The entry counts it at most maxRequestLifetime later.
            const bool overlaps = agent.side == Side::Agent && agent.period.from <= entry.period.until + skew
                && entry.period.from <= agent.period.until + this->options.maxRequestLifetime + skew;
            if (overlaps)
                this->report.findings.push_back({ .kind = FindingKind::PossibleLoss,
                    .place = { .segment = entry.lastSegment },
                    .other = { .segment = agent.lastSegment },
                    .detail = "answers counted only after these two segments are in no record" });
        }
    }
}

void Verifier::compareSummaries()
{
    for (const auto& [name, summary] : this->summaries) {
        const auto mismatch = [&, &summaryName = name](FindingPlace other, std::string detail) {
            this->report.findings.push_back({ .kind = FindingKind::SummaryMismatch,
                .place = { .segment = summaryName },
                .other = std::move(other),
                .detail = std::move(detail) });
        };
        if (hourOfSplit(this->report.split, summary.hour) != summary.split)
            mismatch({}, "the totals differ from those of the segments");
        for (const auto& head : summary.heads) {
            if (!this->chains.contains(head))
                mismatch({ .segment = toString(head.process) }, "the chain head differs or is missing");
        }
    }
}

Report Verifier::finish()
{
    this->chains.check(this->report.findings);
    if (this->options.reportPossibleLoss)
        this->reportPossibleLosses();
    this->joiner.countRequests(this->report.findings, this->report.split);
    this->compareSummaries();
    this->report.heads = this->chains.heads();
    std::sort(this->report.findings.begin(), this->report.findings.end());
    return std::exchange(this->report, {});
}

} // namespace chivewinch::usage
