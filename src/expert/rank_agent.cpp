#include "expert/rank_agent.hpp"

#include "expert/state_key.hpp"

#include <algorithm>
#include <utility>

namespace chivewinch::expert {

RankAgent::RankAgent(RankAgentOptions options, EngineStatus status)
    : options { options }
    , status { std::move(status) }
    , seenStep { this->status.lastStep }
    , seenMap { this->status.lastMap }
    , largestFencing { this->status.lastMap.fencing }
{
}

AgentActions RankAgent::start() const
{
    return { AgentMessage { Rejoin { .rank = this->options.rank, .session = this->options.session } } };
}

AgentActions RankAgent::onTick() const { return this->term ? AgentActions {} : this->start(); }

AgentActions RankAgent::onMessage(const DeciderMessage& message)
{
    return std::visit([this](const auto& content) { return this->handle(content); }, message);
}

AgentActions RankAgent::onLoaded(const MapRef& map, bool loaded)
{
    if (this->loading != map)
        return {};
    this->loading.reset();
    if (loaded)
        this->status.held.push_back(map);
    return { this->prepared(map, loaded) };
}

AgentActions RankAgent::onEngineRestarted(EngineStatus newStatus)
{
    ++this->options.session;
    this->status = std::move(newStatus);
    this->loading.reset();
    this->term.reset();
    return this->start();
}

AgentActions RankAgent::handle(const JoinRequest& request)
{
    if (request.session != this->options.session)
        return this->start();
    if (this->term && request.term < *this->term)
        return {};
    if (this->term != request.term) {
        this->term = request.term;
        this->newestPrepared = {};
    }
    return { AgentMessage { Joined { .term = request.term,
        .rank = this->options.rank,
        .session = this->options.session,
        .lastStep = this->seenStep,
        .lastMap = this->seenMap,
        .held = this->status.held,
        .largestFencing = this->largestFencing } } };
}

AgentActions RankAgent::handle(const Prepare& prepare)
{
    if (!this->admitsTerm(prepare.term))
        return {};
    if (this->holds(prepare.map))
        return { this->prepared(prepare.map, true) };
    if (this->loading == prepare.map || !this->admitsMap(prepare))
        return {};
    this->largestFencing = std::max(this->largestFencing, prepare.map.fencing);
    if (!prepare.inUse)
        this->newestPrepared = prepare.map;
    AgentActions actions;
    this->dropUnused(actions);
    this->loading = prepare.map;
    actions.emplace_back(LoadMap { .map = prepare.map });
    return actions;
}

AgentActions RankAgent::handle(const Discard& discard)
{
    if (!this->admitsTerm(discard.term) || discard.map == this->status.lastMap)
        return {};
    const bool wasLoading = this->loading == discard.map;
    if (wasLoading)
        this->loading.reset();
    const bool wasHeld = std::erase(this->status.held, discard.map) > 0;
    return wasLoading || wasHeld ? AgentActions { DropMap { .map = discard.map } } : AgentActions {};
}

AgentActions RankAgent::handle(const StepHeader& header)
{
    if (!this->admitsTerm(header.step.term)) {
        const bool newer = this->term && *this->term < header.step.term;
        return newer || !this->term ? this->start() : AgentActions {};
    }
    this->largestFencing = std::max(this->largestFencing, header.largestFencing);
    if (header.step == this->status.lastStep || (this->options.checks.term && header.step < this->status.lastStep))
        return {};
    if (this->options.checks.heldMap && !this->holds(header.map)) {
        ++this->refused;
        return this->start();
    }
    this->status.lastStep = header.step;
    this->status.lastMap = header.map;
    this->seenStep = header.step;
    this->seenMap = header.map;
    return { RunStep { .step = header.step, .map = header.map } };
}

void RankAgent::appendState(std::string& out) const
{
    const auto append = [&](std::uint64_t value) { out.append(reinterpret_cast<const char*>(&value), sizeof(value)); };
    append(this->options.session);
    internal::appendStep(append, this->status.lastStep);
    internal::appendMap(append, this->status.lastMap);
    internal::appendStep(append, this->seenStep);
    internal::appendMap(append, this->seenMap);
    append(this->status.held.size());
    for (const auto& held : this->status.held)
        internal::appendMap(append, held);
    append(this->term ? this->term->epoch : ~0ULL);
    append(this->term ? static_cast<std::uint64_t>(this->term->decider) : 0);
    internal::appendMap(append, this->loading.value_or(MapRef {}));
    internal::appendMap(append, this->newestPrepared);
    append(static_cast<std::uint64_t>(this->largestFencing));
}

bool RankAgent::holds(const MapRef& map) const
{
    return std::ranges::find(this->status.held, map) != this->status.held.end();
}

bool RankAgent::admitsTerm(const Term& other) const { return !this->options.checks.term || this->term == other; }

// A late Prepare of an earlier change must not replace the map of the change in progress. The map in use is loaded only
// before the first change of the term, so that a late copy of its Prepare is refused as well.
bool RankAgent::admitsMap(const Prepare& prepare) const
{
    if (prepare.inUse)
        return this->newestPrepared == MapRef {};
    if (!this->options.checks.fencing)
        return true;
    // Engines that ignore fencing numbers identify maps by version only, so the version in use must never be loaded
    // again.
    const bool newer = prepare.map.version > this->status.lastMap.version && prepare.map > this->newestPrepared;
    return newer && prepare.map.fencing >= this->largestFencing;
}

AgentAction RankAgent::prepared(const MapRef& map, bool loaded) const
{
    return AgentMessage { Prepared { .term = this->term.value_or(Term {}),
        .rank = this->options.rank,
        .session = this->options.session,
        .map = map,
        .loaded = loaded } };
}

// The engine has memory for the map in use and one other map.
void RankAgent::dropUnused(AgentActions& actions)
{
    if (this->loading)
        actions.emplace_back(DropMap { .map = *this->loading });
    std::erase_if(this->status.held, [&](const MapRef& held) {
        if (held == this->status.lastMap)
            return false;
        actions.emplace_back(DropMap { .map = held });
        return true;
    });
}

} // namespace chivewinch::expert
