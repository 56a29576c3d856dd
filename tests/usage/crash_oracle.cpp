#include "usage/crash_oracle.hpp"

#include <algorithm>
#include <map>

namespace chivewinch::usage::test {

namespace {

std::uint64_t positiveDifference(std::uint64_t total, std::uint64_t part) { return total > part ? total - part : 0; }

} // namespace

void CrashOracle::check(const Report& report, ScheduleResult& result)
{
    std::map<std::string, Totals> perTeam;
    for (const auto& [key, totals] : report.split)
        perTeam[key.subject.team] += totals;
    for (const auto& head : report.heads)
        this->stored.insert(head.process);
    for (const auto& finding : report.findings)
        this->check(finding, result);
    for (const auto& request : this->requests)
        this->compare(request, perTeam[request.team], result);
}

std::optional<ProcessId> CrashOracle::crashedNamedBy(const FindingPlace& place) const
{
    for (const auto& process : this->crashed) {
        if (place.segment.find(toString(process)) != std::string::npos)
            return process;
    }
    // A crashed incarnation without a stored segment may be unknown to all surviving processes. The finding then names
    // the last segment of the previous incarnation instead.
    for (const auto& process : this->crashed) {
        const auto before = this->stored.lower_bound(process);
        const bool follows = before != this->stored.begin() && std::prev(before)->instance == process.instance;
        if (follows && !this->stored.contains(process)
            && place.segment.find(toString(*std::prev(before))) != std::string::npos)
            return process;
    }
    return std::nullopt;
}

std::vector<ProcessId> CrashOracle::crashedNamedBy(const Finding& finding) const
{
    std::vector<ProcessId> named;
    for (const auto& place : { finding.place, finding.other }) {
        if (const auto process = this->crashedNamedBy(place))
            named.push_back(*process);
    }
    return named;
}

bool CrashOracle::isUnwitnessedRestart(const FindingPlace& place) const
{
    const auto lifetime = std::find_if(this->lifetimes.begin(), this->lifetimes.end(),
        [&](const auto& item) { return place.segment.find(toString(item.first)) != std::string::npos; });
    if (lifetime == this->lifetimes.end() || this->crashed.contains(lifetime->first))
        return false;
    const auto next = std::next(lifetime);
    if (next == this->lifetimes.end() || next->first.instance != lifetime->first.instance)
        return false;
    return std::none_of(this->lifetimes.begin(), this->lifetimes.end(), [&](const auto& other) {
        return !this->crashed.contains(other.first) && other.second.from <= lifetime->second.until
            && next->second.from <= other.second.until;
    });
}

void CrashOracle::check(const Finding& finding, ScheduleResult& result)
{
    const auto named = this->crashedNamedBy(finding);
    if (finding.kind == FindingKind::PossibleLoss) {
        ++result.possibleLosses;
        if (named.size() == 2)
            this->losses.emplace(named[0], named[1]);
        else if (named.size() + (this->isUnwitnessedRestart(finding.place) ? 1 : 0)
                + (this->isUnwitnessedRestart(finding.other) ? 1 : 0)
            < 2)
            result.violations.push_back("false report of a possible loss: " + toString(finding));
        return;
    }
    const bool endOfChain = finding.kind == FindingKind::OpenEnd || finding.kind == FindingKind::MissingChain;
    if (!endOfChain || named.empty())
        result.violations.push_back("unexpected finding: " + toString(finding));
}

void CrashOracle::compare(const Request& request, const Totals& totals, ScheduleResult& result) const
{
    const auto fail = [&](const std::string& text) { result.violations.push_back(request.team + text); };
    result.completedFromAgent += totals.completedFromAgent;
    const bool bothCrashed = this->crashed.contains(request.entry) && this->crashed.contains(request.agent);
    const bool acknowledged = request.answer == Result::Done;
    result.acknowledged += acknowledged ? 1 : 0;
    if (totals.requests > 1)
        fail(" is counted " + std::to_string(totals.requests) + " times");
    if (!acknowledged && totals.requests > 0 && !request.completedByAgent)
        fail(" is counted although nothing completed it");
    if (request.answer && !acknowledged && totals.requests > 0 && !this->crashed.contains(request.entry))
        fail(" is counted although the caller got no answer");
    if (!acknowledged)
        return;
    const bool exact = totals.requests == 1 && totals.promptTokens == request.billed.promptTokens
        && totals.generatedTokens == std::uint64_t { request.billed.generatedTokens } + request.billed.resumedTokens;
    if (!exact && !bothCrashed)
        fail(" has an acknowledged answer that is not counted exactly once");
    if (!exact && !this->losses.contains({ request.entry, request.agent }))
        fail(" is lost without a reported gap");
    result.lost += exact ? 0 : 1;
    if (this->crashed.empty()
        && totals.unbilledGeneratedTokens != positiveDifference(request.ranGenerated, totals.generatedTokens))
        fail(" has a wrong count of unbilled tokens");
}

} // namespace chivewinch::usage::test
