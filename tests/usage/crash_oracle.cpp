#include "usage/crash_oracle.hpp"

#include <map>

namespace chivewinch::usage::test {

namespace {

std::uint64_t excess(std::uint64_t total, std::uint64_t part) { return total > part ? total - part : 0; }

} // namespace

void CrashOracle::judge(const Report& report, ScheduleResult& result)
{
    std::map<std::string, Totals> perTeam;
    for (const auto& [key, totals] : report.split)
        perTeam[key.subject.team] += totals;
    for (const auto& finding : report.findings)
        this->judge(finding, result);
    for (const auto& request : this->requests)
        this->compare(request, perTeam[request.team], result);
}

std::vector<ProcessId> CrashOracle::crashedNamedBy(const Finding& finding) const
{
    std::vector<ProcessId> named;
    for (const auto& place : { finding.place, finding.other }) {
        for (const auto& process : this->crashed) {
            if (place.segment.find(toString(process)) != std::string::npos)
                named.push_back(process);
        }
    }
    return named;
}

void CrashOracle::judge(const Finding& finding, ScheduleResult& result)
{
    const auto named = this->crashedNamedBy(finding);
    if (finding.kind == FindingKind::PossibleLoss) {
        ++result.possibleLosses;
        if (named.size() == 2)
            this->losses.emplace(named[0], named[1]);
        else
            result.violations.push_back("false alarm: " + toString(finding));
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
    const bool bothDied = this->crashed.contains(request.entry) && this->crashed.contains(request.agent);
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
    if (!exact && !bothDied)
        fail(" has an acknowledged answer that is not counted exactly once");
    if (!exact && !this->losses.contains({ request.entry, request.agent }))
        fail(" is lost without a reported gap");
    result.lost += exact ? 0 : 1;
    if (this->crashed.empty() && totals.unbilledGeneratedTokens != excess(request.ranGenerated, totals.generatedTokens))
        fail(" has a wrong count of unbilled tokens");
}

} // namespace chivewinch::usage::test
