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

bool isRare(const Counts& counts) noexcept
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
        item.rare = isRare(record.counts);
        if (item.rare) {
            item.promptTokens = static_cast<std::uint32_t>(this->rareCounts.size());
            this->rareCounts.push_back(record.counts);
        }
        this->partitions[hashOf(record.id.request) >> (64 - partitionBits)].push_back(item);
        ++item.index;
    }
}

Counts Joiner::countsOf(const JoinItem& item) const
{
    if (item.rare)
        return this->rareCounts[item.promptTokens];
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

void Joiner::settle(std::vector<Finding>& findings, Split& split)
{
    for (auto& partition : this->partitions)
        this->settlePartition(partition, findings);
    for (const auto& [hour, subjects] : this->totals) {
        for (std::uint32_t subject = 0; subject < subjects.size(); ++subject) {
            if (subjects[subject] != Totals {})
                split[{ .hour = hour, .subject = this->subjectAt(subject) }] += subjects[subject];
        }
    }
}

void Joiner::settlePartition(std::vector<JoinItem>& items, std::vector<Finding>& findings)
{
    std::erase_if(items, [this](const JoinItem& item) { return !this->chains.segment(item.segment).valid; });
    this->linkRequests(items);
    for (const auto first : this->firsts) {
        this->group.clear();
        for (auto i = first; i != none; i = this->next[i])
            this->group.push_back(&items[i]);
        this->orderGroup();
        if (items[first].kind == RecordKind::Charge)
            this->settleCharge(findings);
        else
            this->settleRequest(findings);
    }
}

void Joiner::orderGroup()
{
    const auto before = [](const JoinItem* left, const JoinItem* right) { return orderOf(*left) < orderOf(*right); };
    if (this->group.size() > 2)
        std::sort(this->group.begin(), this->group.end(), before);
    else if (this->group.size() == 2 && before(this->group[1], this->group[0]))
        std::swap(this->group[0], this->group[1]);
}

void Joiner::linkRequests(const std::vector<JoinItem>& items)
{
    const auto slotCount = std::bit_ceil(2 * items.size() + 1);
    this->heads.assign(slotCount, none);
    this->next.assign(items.size(), none);
    this->firsts.clear();
    for (std::uint32_t i = 0; i < items.size(); ++i) {
        auto slot = hashOf(items[i].request) & (slotCount - 1);
        while (this->heads[slot] != none && !sameRequest(items[this->heads[slot]], items[i]))
            slot = (slot + 1) & (slotCount - 1);
        const auto first = this->heads[slot];
        if (first == none) {
            this->heads[slot] = i;
            this->firsts.push_back(i);
            continue;
        }
        this->next[i] = this->next[first];
        this->next[first] = i;
    }
}

void Joiner::settleRequest(std::vector<Finding>& findings)
{
    this->collectAttempts(findings);
    const auto verdict = judge(this->attempts, this->options.completeFromAgent);
    if (!this->inWindow(verdict.final->item->issued))
        return;
    if (this->options.compareSides)
        this->compare(verdict, findings);
    this->totalsFor(*verdict.final->item) += totalsOf(this->attempts, verdict);
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
            this->totalsFor(*item) += totalsOf(this->attempts, judge(this->attempts, this->options.completeFromAgent));
    }
}

void Joiner::compare(const RequestVerdict& verdict, std::vector<Finding>& findings) const
{
    for (const auto& attempt : this->attempts) {
        if (!attempt.entry || !attempt.agent) {
            this->compareSingle(attempt, findings);
        } else if (const auto* detail = difference(attempt)) {
            findings.push_back({ .kind = FindingKind::Mismatch,
                .place = this->placeOf(*attempt.entry.item),
                .other = this->placeOf(*attempt.agent.item),
                .detail = detail });
        }
        const auto* entry = attempt.entry.item;
        if (entry != nullptr && entry != verdict.final->item && entry->result == Result::Done)
            findings.push_back({ .kind = FindingKind::DoubleCount,
                .place = this->placeOf(*entry),
                .other = this->placeOf(*verdict.final->item),
                .detail = "two answers delivered for one request" });
    }
}

void Joiner::compareSingle(const AttemptPair& attempt, std::vector<Finding>& findings) const
{
    const auto& item = *attempt.ran().item;
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

void Joiner::settleCharge(std::vector<Finding>& findings)
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
