#include "usage/request_rule.hpp"

#include <algorithm>

namespace chivewinch::usage::internal {

namespace {

/** Entry record of the last attempt that has this result on the entry, or nullptr. */
const AttemptSide* lastOnEntry(const std::vector<AttemptPair>& attempts, Result result) noexcept
{
    for (auto it = attempts.rbegin(); it != attempts.rend(); ++it) {
        if (it->entry && it->entry.item->result == result)
            return &it->entry;
    }
    return nullptr;
}

/** Agent record of the last attempt that the agent completed and the entry did not record, or nullptr. */
const AttemptSide* lastCompletedOnAgent(const std::vector<AttemptPair>& attempts) noexcept
{
    for (auto it = attempts.rbegin(); it != attempts.rend(); ++it) {
        if (!it->entry && it->agent.item->result == Result::Done)
            return &it->agent;
    }
    return nullptr;
}

/** The record that states the executed work of the attempt that determines the outcome. */
const AttemptSide& executedIn(const std::vector<AttemptPair>& attempts, const RequestOutcome& outcome) noexcept
{
    const auto found = std::find_if(attempts.begin(), attempts.end(),
        [&outcome](const AttemptPair& attempt) { return &attempt.entry == outcome.final; });
    return found == attempts.end() ? *outcome.final : found->executed();
}

std::uint64_t positiveDifference(std::uint64_t total, std::uint64_t part) noexcept
{
    return total > part ? total - part : 0;
}

/**
 * Sets the billed fields. Prompt tokens come from the record of the executed work, because without a final frame only
 * the agent knows the prompt. Generated tokens come from the record that determines the outcome, because only the entry
 * knows how many tokens it delivered.
 */
void setBilledTotals(Totals& totals, const Counts& executed, const Counts& delivered) noexcept
{
    totals.promptTokens = executed.promptTokens;
    totals.cachedTokens = executed.cachedTokens;
    totals.generatedTokens = std::uint64_t { delivered.resumedTokens } + delivered.generatedTokens;
    totals.serviceCalls = executed.serviceCalls;
}

bool within(const Counts& part, const Counts& whole) noexcept
{
    return part.promptTokens <= whole.promptTokens && part.cachedTokens <= whole.cachedTokens
        && part.generatedTokens <= whole.generatedTokens && part.serviceCalls <= whole.serviceCalls;
}

} // namespace

RequestOutcome resolveOutcome(const std::vector<AttemptPair>& attempts, bool completeFromAgent) noexcept
{
    for (const auto result : { Result::Done, Result::Cancelled, Result::Unknown }) {
        if (const auto* side = lastOnEntry(attempts, result))
            return { .result = result, .final = side };
    }
    if (const auto* side = completeFromAgent ? lastCompletedOnAgent(attempts) : nullptr)
        return { .result = Result::Done, .final = side, .fromAgent = true };
    const auto executed = std::find_if(attempts.rbegin(), attempts.rend(),
        [](const AttemptPair& attempt) { return attempt.executed().item->result != Result::Refused; });
    if (executed != attempts.rend())
        return { .result = Result::Unknown, .final = &executed->executed(), .fromAgent = !executed->entry };
    return { .result = Result::Refused, .final = &attempts.back().executed() };
}

Totals totalsOf(const std::vector<AttemptPair>& attempts, const RequestOutcome& outcome) noexcept
{
    Totals totals;
    if (outcome.result == Result::Done || outcome.result == Result::Cancelled)
        setBilledTotals(totals, executedIn(attempts, outcome).counts, outcome.final->counts);
    totals.requests = outcome.result == Result::Done ? 1 : 0;
    totals.cancelled = outcome.result == Result::Cancelled ? 1 : 0;
    totals.unknown = outcome.result == Result::Unknown ? 1 : 0;
    totals.refused = outcome.result == Result::Refused ? 1 : 0;
    totals.completedFromAgent = outcome.result == Result::Done && outcome.fromAgent ? 1 : 0;
    std::uint64_t prompt = 0;
    std::uint64_t generated = 0;
    std::uint64_t calls = 0;
    for (const auto& attempt : attempts) {
        const auto& side = attempt.executed();
        if (side.item->result == Result::Refused)
            continue;
        prompt += side.counts.promptTokens;
        generated += side.counts.generatedTokens;
        calls += side.counts.serviceCalls;
        totals.spillOvers += side.counts.spillOvers;
    }
    totals.unbilledPromptTokens = positiveDifference(prompt, totals.promptTokens);
    totals.unbilledGeneratedTokens = positiveDifference(generated, totals.generatedTokens);
    totals.unbilledServiceCalls = positiveDifference(calls, totals.serviceCalls);
    return totals;
}

const char* difference(const AttemptPair& attempt) noexcept
{
    const auto& entry = *attempt.entry.item;
    const auto& agent = *attempt.agent.item;
    const auto& entryCounts = attempt.entry.counts;
    const auto& agentCounts = attempt.agent.counts;
    if (entry.subject != agent.subject)
        return "owner, team or model differs";
    if (entry.issued != agent.issued)
        return "the time of issue differs";
    if (entry.peer != attempt.agent.process || agent.peer != attempt.entry.process)
        return "the processes differ";
    if (entry.result == Result::Refused && agent.result != Result::Refused)
        return "the entry refused an attempt that the agent ran";
    if (entry.result == Result::Done && agent.result != Result::Done)
        return "the agent did not complete an answer that the entry delivered";
    // The refusal may not have reached the entry. A refused attempt ran nothing, so there are no counts to compare.
    if (agent.result == Result::Refused)
        return nullptr;
    if (entryCounts.resumedTokens != agentCounts.resumedTokens || entryCounts.spillOvers != agentCounts.spillOvers)
        return "resumption or spill-over differs";
    if (entry.result == Result::Done && entryCounts != agentCounts)
        return "the counts of a complete answer differ";
    return within(entryCounts, agentCounts) ? nullptr : "the entry counts more than the agent";
}

} // namespace chivewinch::usage::internal
