#include "usage/join.hpp"

#include <algorithm>
#include <bit>
#include <tuple>

namespace chivewinch::usage::internal {

namespace {

constexpr std::uint32_t none = 0xFFFFFFFFU;

std::uint64_t hashOf(const base::RequestId& request) noexcept
{
    return std::hash<base::RequestId> {}(request)*0x9E3779B97F4A7C15ULL;
}

auto orderOf(const JoinItem& item) noexcept { return std::tuple { item.number, item.side, item.segment, item.index }; }

bool sameRequest(const JoinItem& left, const JoinItem& right) noexcept
{
    return left.request == right.request && left.kind == right.kind;
}

bool needsExtendedCounts(const Counts& counts) noexcept
{
    return (counts.resumedTokens | counts.serviceCalls | counts.spillOvers) != 0 || counts.rebalancingCost != 0;
}

} // namespace

Joiner::Joiner(const VerifierOptions& options, const ChainSet& chains) noexcept
    : options { options }
    , chains { chains }
{
}

void Joiner::add(const Segment& segment, std::uint32_t index)
{
    const auto& process = segment.header.process;
    this->segmentProcesses.push_back(
        this->processes.indexOf({ .instance = process.instance, .incarnation = process.incarnation }));
    std::vector<std::uint32_t> names;
    names.reserve(segment.names.size());
    for (const auto& text : segment.names)
        names.push_back(this->names.indexOf(text));
    std::vector<std::uint32_t> subjects;
    subjects.reserve(segment.subjects.size());
    for (const auto& subject : segment.subjects)
        subjects.push_back(this->subjects.indexOf(
            { .owner = names[subject.owner], .team = names[subject.team], .model = names[subject.model] }));
    std::vector<std::uint32_t> peers;
    peers.reserve(segment.peers.size());
    for (const auto& peer : segment.peers)
        peers.push_back(this->processes.indexOf({ .instance = peer.instance, .incarnation = peer.incarnation }));
    JoinItem item { .segment = index, .side = segment.header.side };
    for (const auto& record : segment.records) {
        item.request = record.id.request;
        item.issued = record.issued;
        item.number = record.id.number;
        item.subject = subjects[record.subject];
        item.peer = peers[record.peer];
        item.promptTokens = record.counts.promptTokens;
        item.cachedTokens = record.counts.cachedTokens;
        item.generatedTokens = record.counts.generatedTokens;
        item.kind = record.kind;
        item.result = record.result;
        item.extended = needsExtendedCounts(record.counts);
        if (item.extended) {
            item.promptTokens = static_cast<std::uint32_t>(this->extendedCounts.size());
            this->extendedCounts.push_back(record.counts);
        }
        this->partitions[hashOf(record.id.request) >> (64 - partitionBits)].push_back(item);
        ++item.index;
    }
}

Counts Joiner::countsOf(const JoinItem& item) const
{
    if (item.extended)
        return this->extendedCounts[item.promptTokens];
    return {
        .promptTokens = item.promptTokens, .cachedTokens = item.cachedTokens, .generatedTokens = item.generatedTokens
    };
}

AttemptSide Joiner::sideOf(const JoinItem& item) const
{
    return { .item = &item, .counts = this->countsOf(item), .process = this->segmentProcesses[item.segment] };
}

FindingPlace Joiner::placeOf(const JoinItem& item) const
{
    return { .segment = this->chains.segment(item.segment).name, .record = item.index };
}

void Joiner::countRequests(std::vector<Finding>& findings, Split& split)
{
    for (auto& partition : this->partitions)
        this->countPartition(partition, findings);
    for (const auto& [hour, subjects] : this->totals) {
        for (std::uint32_t subject = 0; subject < subjects.size(); ++subject) {
            if (subjects[subject] != Totals {})
                split[{ .hour = hour, .subject = this->subjectAt(subject) }] += subjects[subject];
        }
    }
}

void Joiner::countPartition(std::vector<JoinItem>& items, std::vector<Finding>& findings)
{
    std::erase_if(items, [this](const JoinItem& item) { return !this->chains.segment(item.segment).valid; });
    this->groupByRequest(items);
    for (const auto first : this->groupStarts) {
        this->group.clear();
        for (auto i = first; i != none; i = this->nextInGroup[i])
            this->group.push_back(&items[i]);
        this->sortGroup();
        if (items[first].kind == RecordKind::Charge)
            this->countCharge(findings);
        else
            this->countRequest(findings);
    }
}

void Joiner::sortGroup()
{
    const auto before = [](const JoinItem* left, const JoinItem* right) { return orderOf(*left) < orderOf(*right); };
    if (this->group.size() > 2)
        std::sort(this->group.begin(), this->group.end(), before);
    else if (this->group.size() == 2 && before(this->group[1], this->group[0]))
        std::swap(this->group[0], this->group[1]);
}

void Joiner::groupByRequest(const std::vector<JoinItem>& items)
{
    const auto slotCount = std::bit_ceil(2 * items.size() + 1);
    this->hashSlots.assign(slotCount, none);
    this->nextInGroup.assign(items.size(), none);
    this->groupStarts.clear();
    for (std::uint32_t i = 0; i < items.size(); ++i) {
        auto slot = hashOf(items[i].request) & (slotCount - 1);
        while (this->hashSlots[slot] != none && !sameRequest(items[this->hashSlots[slot]], items[i]))
            slot = (slot + 1) & (slotCount - 1);
        const auto first = this->hashSlots[slot];
        if (first == none) {
            this->hashSlots[slot] = i;
            this->groupStarts.push_back(i);
            continue;
        }
        this->nextInGroup[i] = this->nextInGroup[first];
        this->nextInGroup[first] = i;
    }
}

void Joiner::countRequest(std::vector<Finding>& findings)
{
    this->collectAttempts(findings);
    const auto outcome = resolveOutcome(this->attempts, this->options.completeFromAgent);
    if (!this->inWindow(outcome.final->item->issued))
        return;
    if (this->options.compareSides)
        this->compare(outcome, findings);
    this->totalsFor(*outcome.final->item) += totalsOf(this->attempts, outcome);
}

void Joiner::collectAttempts(std::vector<Finding>& findings)
{
    this->attempts.clear();
    const JoinItem* previous = nullptr;
    for (const auto* item : this->group) {
        if (previous == nullptr || previous->number != item->number)
            this->attempts.emplace_back();
        previous = item;
        auto& slot = item->side == Side::Entry ? this->attempts.back().entry : this->attempts.back().agent;
        if (!slot) {
            slot = this->sideOf(*item);
            continue;
        }
        findings.push_back({ .kind = FindingKind::DoubleCount,
            .place = this->placeOf(*slot.item),
            .other = this->placeOf(*item),
            .detail = "one attempt, two records of one side" });
        if (!this->options.dropDuplicates)
            this->totalsFor(*item)
                += totalsOf(this->attempts, resolveOutcome(this->attempts, this->options.completeFromAgent));
    }
}

void Joiner::compare(const RequestOutcome& outcome, std::vector<Finding>& findings) const
{
    for (const auto& attempt : this->attempts) {
        if (!attempt.entry || !attempt.agent) {
            this->checkMissingSide(attempt, findings);
        } else if (const auto* detail = difference(attempt)) {
            findings.push_back({ .kind = FindingKind::Mismatch,
                .place = this->placeOf(*attempt.entry.item),
                .other = this->placeOf(*attempt.agent.item),
                .detail = detail });
        }
        const auto* entry = attempt.entry.item;
        if (entry != nullptr && entry != outcome.final->item && entry->result == Result::Done)
            findings.push_back({ .kind = FindingKind::DoubleCount,
                .place = this->placeOf(*entry),
                .other = this->placeOf(*outcome.final->item),
                .detail = "two answers delivered for one request" });
    }
}

void Joiner::checkMissingSide(const AttemptPair& attempt, std::vector<Finding>& findings) const
{
    const auto& item = *attempt.executed().item;
    const bool onEntry = item.side == Side::Entry;
    if (item.result == Result::Refused || (onEntry && item.result != Result::Done))
        return;
    const auto& peer = this->processes.at(item.peer);
    const auto until = item.issued + this->options.maxRequestLifetime;
    if (!peer.instance.empty() && this->chains.mayHaveLost(peer, item.issued, until))
        return;
    findings.push_back({ .kind = onEntry ? FindingKind::MissingOnAgent : FindingKind::MissingOnEntry,
        .place = this->placeOf(item),
        .other = { .segment = toString(peer) },
        .detail = "the other side's chain covers the attempt but does not contain it" });
}

void Joiner::countCharge(std::vector<Finding>& findings)
{
    const auto& first = *this->group.front();
    if (!this->inWindow(first.issued))
        return;
    const auto counts = this->countsOf(first);
    for (const auto* item : this->group) {
        const bool same = this->countsOf(*item) == counts && item->subject == first.subject;
        const bool otherProcess = this->segmentProcesses[item->segment] != this->segmentProcesses[first.segment];
        if (item == &first || (same && otherProcess))
            continue;
        findings.push_back({ .kind = same ? FindingKind::DoubleCount : FindingKind::Mismatch,
            .place = this->placeOf(first),
            .other = this->placeOf(*item),
            .detail = "two records of one charge" });
    }
    this->totalsFor(first).rebalancingCost += counts.rebalancingCost;
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

Totals& Joiner::totalsFor(const JoinItem& item)
{
    const auto hour = hourOf(item.issued);
    if (this->latestHour.second == nullptr || this->latestHour.first != hour) {
        auto& subjects = this->totals[hour];
        subjects.resize(this->subjects.size());
        this->latestHour = { hour, &subjects };
    }
    return (*this->latestHour.second)[item.subject];
}

} // namespace chivewinch::usage::internal
