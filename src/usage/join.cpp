#include "usage/join.hpp"

#include "usage/request_rule.hpp"

#include <algorithm>
#include <tuple>

namespace chivewinch::usage::internal {

namespace {

FindingPlace placeOf(const ChainSet& chains, const JoinItem& item)
{
    return { .segment = chains.segment(item.segment).name, .record = item.index };
}

auto orderOf(const JoinItem& item) noexcept
{
    return std::tuple { item.record.id.request, item.record.kind, item.record.id.number, item.side, item.segment,
        item.index };
}

bool sameRequest(const JoinItem& left, const JoinItem& right) noexcept
{
    return left.record.id.request == right.record.id.request && left.record.kind == right.record.kind;
}

} // namespace

Joiner::Joiner(const VerifierOptions& options, const ChainSet& chains) noexcept
    : options { options }
    , chains { chains }
{
}

void Joiner::add(const JoinItem& item)
{
    const auto hash = std::hash<base::RequestId> {}(item.record.id.request) * 0x9E3779B97F4A7C15ULL;
    this->partitions[hash >> 56].push_back(item);
}

void Joiner::settle(std::vector<Finding>& findings, Split& split)
{
    for (auto& partition : this->partitions)
        this->settlePartition(partition, findings);
    for (const auto& [key, totals] : this->totals) {
        const std::chrono::hours hour { key >> 32 };
        split[{ .hour = WallMillis { hour }, .subject = this->subjectAt(static_cast<std::uint32_t>(key)) }] += totals;
    }
}

void Joiner::settlePartition(std::vector<JoinItem>& items, std::vector<Finding>& findings)
{
    std::erase_if(items, [this](const JoinItem& item) { return !this->chains.segment(item.segment).valid; });
    std::sort(items.begin(), items.end(),
        [](const JoinItem& left, const JoinItem& right) { return orderOf(left) < orderOf(right); });
    for (auto first = items.begin(); first != items.end();) {
        const auto last
            = std::find_if(first, items.end(), [&first](const JoinItem& item) { return !sameRequest(*first, item); });
        const std::span<const JoinItem> group { first, last };
        if (first->record.kind == RecordKind::Charge)
            this->settleCharge(group, findings);
        else
            this->settleRequest(group, findings);
        first = last;
    }
}

void Joiner::settleRequest(std::span<const JoinItem> items, std::vector<Finding>& findings)
{
    std::vector<AttemptPair> attempts;
    const JoinItem* previous = nullptr;
    for (const auto& item : items) {
        if (previous == nullptr || previous->record.id.number != item.record.id.number)
            attempts.emplace_back();
        auto& slot = item.side == Side::Entry ? attempts.back().entry : attempts.back().agent;
        previous = &item;
        if (slot == nullptr) {
            slot = &item;
            continue;
        }
        findings.push_back({ .kind = FindingKind::DoubleCount,
            .place = placeOf(this->chains, *slot),
            .other = placeOf(this->chains, item),
            .detail = "one attempt, two records of one side" });
        if (!this->options.dropDuplicates)
            this->totalsFor(item.record) += totalsOf(attempts, judge(attempts, this->options.completeFromAgent));
    }
    const auto verdict = judge(attempts, this->options.completeFromAgent);
    if (!this->inWindow(verdict.final->record.issued))
        return;
    if (this->options.compareSides)
        this->compare(attempts, verdict, findings);
    this->totalsFor(verdict.final->record) += totalsOf(attempts, verdict);
}

void Joiner::compare(
    const std::vector<AttemptPair>& attempts, const RequestVerdict& verdict, std::vector<Finding>& findings) const
{
    for (const auto& attempt : attempts) {
        if (attempt.entry != nullptr && attempt.agent != nullptr) {
            if (const auto* detail = difference(attempt))
                findings.push_back({ .kind = FindingKind::Mismatch,
                    .place = placeOf(this->chains, *attempt.entry),
                    .other = placeOf(this->chains, *attempt.agent),
                    .detail = detail });
            continue;
        }
        this->compareSingle(attempt, findings);
    }
    for (const auto& attempt : attempts) {
        const auto* item = attempt.entry;
        if (item != nullptr && item != verdict.final && item->record.result == Result::Done)
            findings.push_back({ .kind = FindingKind::DoubleCount,
                .place = placeOf(this->chains, *item),
                .other = placeOf(this->chains, *verdict.final),
                .detail = "two answers delivered for one request" });
    }
}

void Joiner::compareSingle(const AttemptPair& attempt, std::vector<Finding>& findings) const
{
    const auto& item = attempt.ran();
    const auto& record = item.record;
    const bool onEntry = item.side == Side::Entry;
    if (record.result == Result::Refused || (onEntry && record.result != Result::Done))
        return;
    const auto& peer = this->processes.at(record.peer);
    const auto until = onEntry ? record.finished : record.issued + this->options.maxRequestLifetime;
    if (!peer.instance.empty() && this->chains.mayHaveLost(peer, record.issued, until))
        return;
    findings.push_back({ .kind = onEntry ? FindingKind::MissingOnAgent : FindingKind::MissingOnEntry,
        .place = placeOf(this->chains, item),
        .other = { .segment = toString(peer) },
        .detail = "the other side's chain covers the attempt but does not contain it" });
}

void Joiner::settleCharge(std::span<const JoinItem> items, std::vector<Finding>& findings)
{
    const auto& first = items.front();
    if (!this->inWindow(first.record.issued))
        return;
    for (const auto& item : items.subspan(1)) {
        const bool same = item.record.counts == first.record.counts && item.record.subject == first.record.subject;
        if (same && item.process != first.process)
            continue;
        findings.push_back({ .kind = same ? FindingKind::DoubleCount : FindingKind::Mismatch,
            .place = placeOf(this->chains, first),
            .other = placeOf(this->chains, item),
            .detail = "two records of one charge" });
    }
    this->totalsFor(first.record).rebalancingCost += first.record.counts.rebalancingCost;
}

Subject Joiner::subjectAt(std::uint32_t index) const
{
    const auto& subject = this->subjects.at(index);
    return { .owner = this->names.at(subject.owner),
        .team = this->names.at(subject.team),
        .model = this->names.at(subject.model) };
}

bool Joiner::inWindow(WallMillis issued) const noexcept
{
    const auto& window = this->options.window;
    return !window || (issued >= window->from && issued < window->until);
}

Totals& Joiner::totalsFor(const PackedRecord& record)
{
    const auto hour = std::chrono::floor<std::chrono::hours>(record.issued.time_since_epoch()).count();
    return this->totals[(static_cast<std::uint64_t>(hour) << 32) | record.subject];
}

} // namespace chivewinch::usage::internal
