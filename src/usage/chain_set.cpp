#include "usage/chain_set.hpp"

#include <algorithm>
#include <array>
#include <set>

namespace chivewinch::usage::internal {

namespace {

constexpr WallMillis earliest { std::chrono::milliseconds { 0 } };

std::string segmentRange(const ProcessId& process, std::uint64_t first, std::uint64_t last)
{
    return toString(process) + " segments " + std::to_string(first) + " to " + std::to_string(last);
}

} // namespace

WallMillis startOf(base::Incarnation incarnation) noexcept
{
    const std::chrono::nanoseconds start { static_cast<std::int64_t>(incarnation) };
    return WallMillis { std::chrono::floor<std::chrono::milliseconds>(start) };
}

ChainSet::ChainSet(const VerifierOptions& options, const KeyList& keys) noexcept
    : options { options }
    , keys { keys }
{
}

std::uint32_t ChainSet::add(SegmentInfo segment)
{
    const auto index = static_cast<std::uint32_t>(this->segments.size());
    this->chains[segment.header.process].segments.push_back(index);
    this->segments.push_back(std::move(segment));
    return index;
}

bool ChainSet::addReference(const ProcessId& process, Side side, WallMillis time, const std::string& source)
{
    const auto& window = this->options.window;
    if (window && (time < window->from || time >= window->until))
        return false;
    this->references.try_emplace(process, ProcessReference { .side = side, .time = time, .source = source });
    return true;
}

void ChainSet::check(std::vector<Finding>& findings)
{
    for (auto& [process, chain] : this->chains) {
        this->removeForks(chain, findings);
        this->authenticate(chain, findings);
        this->checkOrder(process, chain, findings);
    }
    std::erase_if(this->chains, [](const auto& item) { return item.second.segments.empty(); });
    this->checkIncarnations(findings);
    this->checkReferences(findings);
    this->checkOpenEnds(findings);
}

void ChainSet::removeForks(Chain& chain, std::vector<Finding>& findings) const
{
    std::sort(chain.segments.begin(), chain.segments.end(), [this](auto left, auto right) {
        const auto& first = this->segments[left];
        const auto& second = this->segments[right];
        return std::tie(first.header.number, first.name) < std::tie(second.header.number, second.name);
    });
    std::set<Digest> continued;
    for (const auto index : chain.segments)
        continued.insert(this->segments[index].header.previous);
    std::vector<std::uint32_t> kept;
    for (const auto index : chain.segments) {
        const auto& segment = this->segments[index];
        if (kept.empty() || this->segments[kept.back()].header.number != segment.header.number) {
            kept.push_back(index);
            continue;
        }
        const auto& existing = this->segments[kept.back()];
        findings.push_back({ .kind = FindingKind::Fork,
            .place = { .segment = existing.name },
            .other = { .segment = segment.name },
            .detail
            = existing.link == segment.link ? "the same segment is stored twice" : "one number, two segments" });
        if (!continued.contains(existing.link) && continued.contains(segment.link))
            kept.back() = index;
    }
    chain.segments = std::move(kept);
}

void ChainSet::authenticate(Chain& chain, std::vector<Finding>& findings)
{
    const SegmentInfo* next = nullptr;
    for (auto it = chain.segments.rbegin(); it != chain.segments.rend(); ++it) {
        auto& segment = this->segments[*it];
        // The signature of a valid successor covers the link, and the link is a hash of this segment's payload and
        // signature. A matching link therefore authenticates this segment.
        const bool linkedBySuccessor = next != nullptr && this->options.checkLinks
            && next->header.number == segment.header.number + 1 && next->header.previous == segment.link;
        segment.valid = linkedBySuccessor || !this->options.checkSignatures
            || this->keys.verify(
                segment.header.process.instance, segment.header.side, segment.digest, segment.signature);
        if (!segment.valid) {
            findings.push_back({ .kind = FindingKind::BadSignature,
                .place = { .segment = segment.name },
                .detail = "altered, or signed by a key that is not in the key list" });
            continue;
        }
        next = &segment;
    }
    std::erase_if(chain.segments, [this](auto index) { return !this->segments[index].valid; });
}

void ChainSet::checkOrder(const ProcessId& process, Chain& chain, std::vector<Finding>& findings)
{
    if (chain.segments.empty())
        return;
    const auto& first = this->segments[chain.segments.front()];
    const auto& last = this->segments[chain.segments.back()];
    chain.coversFrom = first.header.coversFrom;
    chain.coversUntil = last.header.coversUntil;
    chain.closes = last.header.closes;
    const bool startsEarlier = this->options.window && first.header.coversFrom <= this->options.window->from;
    if (first.header.number != 0 && !startsEarlier) {
        findings.push_back({ .kind = FindingKind::MissingSegment,
            .place = { .segment = segmentRange(process, 0, first.header.number - 1) },
            .other = { .segment = first.name } });
        this->addUncovered(process, first.header.side,
            { .from = std::min(startOf(process.incarnation), first.header.coversFrom),
                .until = first.header.coversFrom },
            toString(process));
    }
    if (first.header.number == 0 && first.header.previous != Digest {})
        findings.push_back({ .kind = FindingKind::BrokenLink,
            .place = { .segment = first.name },
            .detail = "the first segment names a segment before it" });
    for (std::size_t i = 1; i < chain.segments.size(); ++i)
        this->checkPair(this->segments[chain.segments[i - 1]], this->segments[chain.segments[i]], findings);
    for (std::size_t i = 1; i < chain.segments.size(); ++i) {
        const auto& before = this->segments[chain.segments[i - 1]];
        const auto& after = this->segments[chain.segments[i]];
        if (after.header.number != before.header.number + 1)
            this->addUncovered(process, before.header.side,
                { .from = before.header.coversUntil, .until = after.header.coversFrom }, before.name);
    }
}

void ChainSet::checkPair(const SegmentInfo& before, const SegmentInfo& after, std::vector<Finding>& findings) const
{
    const auto& left = before.header;
    const auto& right = after.header;
    const auto report = [&](FindingKind kind, std::string detail) {
        findings.push_back({ .kind = kind,
            .place = { .segment = after.name },
            .other = { .segment = before.name },
            .detail = std::move(detail) });
    };
    if (left.side != right.side)
        report(FindingKind::BrokenLink, "the side changes within a chain");
    if (left.closes)
        report(FindingKind::BrokenLink, "a segment follows a closing segment");
    if (right.replaces != base::Incarnation {})
        report(FindingKind::BrokenLink, "a segment other than the first names a replaced incarnation");
    if (right.number != left.number + 1) {
        report(FindingKind::MissingSegment, segmentRange(left.process, left.number + 1, right.number - 1));
        return;
    }
    if (this->options.checkLinks && right.previous != before.link)
        report(FindingKind::BrokenLink, "the hash of the previous segment differs");
    if (right.coversFrom != left.coversUntil)
        report(FindingKind::BrokenLink, "the covered period does not continue the previous one");
}

void ChainSet::checkIncarnations(std::vector<Finding>& findings)
{
    const std::pair<const ProcessId, Chain>* previous = nullptr;
    for (const auto& current : this->chains) {
        const auto& first = this->segments[current.second.segments.front()];
        const bool follows = previous != nullptr && previous->first.instance == current.first.instance;
        const auto replaces = first.header.replaces;
        if (first.header.number == 0 && replaces != base::Incarnation {}) {
            const ProcessId replaced { .instance = current.first.instance, .incarnation = replaces };
            this->addReference(replaced, first.header.side, startOf(replaces), first.name);
        }
        if (first.header.number == 0 && follows && replaces < previous->first.incarnation)
            findings.push_back({ .kind = FindingKind::BrokenLink,
                .place = { .segment = first.name },
                .other = { .segment = this->segments[previous->second.segments.back()].name },
                .detail = "the first segment does not name the previous life of its instance" });
        if (follows && previous->second.closes)
            this->checkRestart(*previous, current.second.coversFrom);
        previous = &current;
    }
}

void ChainSet::checkRestart(const std::pair<const ProcessId, Chain>& closed, WallMillis next)
{
    // An incarnation without stored objects may have run between two known incarnations of an instance. It can be ruled
    // out only if some process ran during the whole gap without loss of records, since that process would name it.
    const auto& last = this->segments[closed.second.segments.back()];
    const Period between { .from = closed.second.coversUntil, .until = next };
    const bool witnessed = std::any_of(this->chains.begin(), this->chains.end(), [&](const auto& other) {
        const auto& chain = other.second;
        return chain.coversFrom <= between.from && between.until <= chain.coversUntil
            && std::none_of(chain.lost.begin(), chain.lost.end(),
                [&between](const Period& lost) { return lost.from < between.until && between.from < lost.until; });
    });
    if (!witnessed)
        this->addUncovered(closed.first, last.header.side, between, last.name);
}

void ChainSet::checkReferences(std::vector<Finding>& findings)
{
    for (const auto& [process, addReference] : this->references) {
        if (this->chains.contains(process))
            continue;
        findings.push_back({ .kind = FindingKind::MissingChain,
            .place = { .segment = toString(process) },
            .other = { .segment = addReference.source },
            .detail = "named by another process, but no valid segment of it exists" });
        const auto from = startOf(process.incarnation);
        const auto until = std::min(
            this->nextIncarnationStart(process), std::max(from, addReference.time) + this->options.maxBacklogAge);
        this->addUncovered(process, addReference.side, { .from = from, .until = until }, toString(process));
    }
}

void ChainSet::checkOpenEnds(std::vector<Finding>& findings)
{
    const auto horizon = this->horizon();
    for (auto& [process, chain] : this->chains) {
        if (chain.closes || chain.coversUntil >= horizon)
            continue;
        const auto& last = this->segments[chain.segments.back()];
        const auto until = std::min(
            { this->nextIncarnationStart(process), chain.coversUntil + this->options.maxBacklogAge, horizon });
        findings.push_back({ .kind = FindingKind::OpenEnd,
            .place = { .segment = last.name },
            .detail = "no closing segment; records of up to " + std::to_string((until - chain.coversUntil).count())
                + " ms come from the other side" });
        this->addUncovered(process, last.header.side, { .from = chain.coversUntil, .until = until }, last.name);
    }
}

void ChainSet::addUncovered(const ProcessId& process, Side side, Period period, const std::string& lastSegment)
{
    this->uncoveredPeriods.push_back(
        { .process = process, .side = side, .period = period, .lastSegment = lastSegment });
    if (const auto found = this->chains.find(process); found != this->chains.end())
        found->second.lost.push_back(period);
}

WallMillis ChainSet::horizon() const
{
    if (this->options.horizon)
        return *this->options.horizon;
    auto latest = earliest;
    for (const auto& [process, chain] : this->chains)
        latest = std::max(latest, chain.coversUntil);
    return latest;
}

WallMillis ChainSet::nextIncarnationStart(const ProcessId& process) const
{
    const auto next = this->chains.upper_bound(process);
    if (next == this->chains.end() || next->first.instance != process.instance)
        return WallMillis::max();
    return next->second.coversFrom;
}

bool ChainSet::mayHaveLost(const ProcessId& process, WallMillis from, WallMillis until) const
{
    const auto found = this->chains.find(process);
    if (found == this->chains.end())
        return true;
    const auto& chain = found->second;
    const auto first = from - this->options.clockSkew;
    const auto last = until + this->options.clockSkew;
    if (!chain.closes && last > chain.coversUntil)
        return true;
    return std::any_of(chain.lost.begin(), chain.lost.end(),
        [&](const Period& period) { return period.from <= last && first <= period.until; });
}

bool ChainSet::contains(const ChainHead& head) const
{
    const auto found = this->chains.find(head.process);
    if (found == this->chains.end())
        return false;
    const auto& indexes = found->second.segments;
    const auto place = std::lower_bound(indexes.begin(), indexes.end(), head.number,
        [this](std::uint32_t index, std::uint64_t number) { return this->segments[index].header.number < number; });
    return place != indexes.end() && this->segments[*place].header.number == head.number
        && this->segments[*place].link == head.link;
}

std::vector<ChainHead> ChainSet::heads() const
{
    std::vector<ChainHead> heads;
    heads.reserve(this->chains.size());
    for (const auto& [process, chain] : this->chains) {
        const auto& last = this->segments[chain.segments.back()];
        heads.push_back({ .process = process,
            .side = last.header.side,
            .number = last.header.number,
            .link = last.link,
            .coversUntil = last.header.coversUntil,
            .closes = last.header.closes });
    }
    return heads;
}

} // namespace chivewinch::usage::internal
