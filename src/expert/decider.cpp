#include "expert/decider.hpp"

#include "expert/state_key.hpp"

#include <algorithm>
#include <utility>

namespace chivewinch::expert {

Decider::Decider(DeciderOptions options)
    : options { options }
    , ranks(options.ranks)
    , term { .decider = options.incarnation, .epoch = 0 }
    , activeMap { options.bootMap }
    , fencing { options.bootMap.fencing }
{
}

DeciderActions Decider::start()
{
    DeciderActions actions;
    this->openTerm(actions);
    return actions;
}

DeciderActions Decider::onMessage(const AgentMessage& message)
{
    DeciderActions actions;
    std::visit(
        [&](const auto& content) {
            if (content.rank < this->ranks.size())
                this->handle(content, actions);
        },
        message);
    return actions;
}

ProposalStatus Decider::propose(const MapRef& map, base::SteadyTime now, DeciderActions& actions)
{
    if (const auto status = this->reasonToRefuse(map))
        return *status;
    this->fencing = std::max(this->fencing, map.fencing);
    if (!this->running() || !this->mapConfirmed)
        return ProposalStatus::NotRunning;
    if (this->changing())
        this->abandon(ProposalStatus::Superseded, actions);
    this->current = ChangeState { .map = map };
    this->deadline = now + this->options.changeTimeout;
    for (auto& rank : this->ranks)
        rank.prepared = false;
    this->sendPrepare(map, false, actions);
    return ProposalStatus::Preparing;
}

DeciderActions Decider::onTick(base::SteadyTime now)
{
    DeciderActions actions;
    if (this->changing() && now >= this->deadline)
        this->abandon(ProposalStatus::TimedOut, actions);
    this->resendUnanswered(actions);
    return actions;
}

void Decider::appendState(std::string& out) const
{
    const auto append = [&](std::uint64_t value) { out.append(reinterpret_cast<const char*>(&value), sizeof(value)); };
    internal::appendMap(append, this->activeMap);
    internal::appendStep(append, this->lastIssuedStep);
    append(static_cast<std::uint64_t>(this->term.decider));
    append(this->term.epoch);
    append(this->stepNumber);
    append(static_cast<std::uint64_t>(this->fencing));
    append(static_cast<std::uint64_t>(this->phase) * 4 + (this->stepOpen ? 2 : 0) + (this->mapConfirmed ? 1 : 0));
    append(this->current ? static_cast<std::uint64_t>(this->current->status) : ~0ULL);
    internal::appendMap(append, this->current ? this->current->map : MapRef {});
    for (const auto& rank : this->ranks) {
        append(rank.session * 2 + (rank.prepared ? 1 : 0));
        append(rank.joined ? rank.joined->session : ~0ULL);
        // lastStep, lastMap and held of a rank have no effect after the map of the term is chosen.
        if (!rank.joined || this->phase != Phase::Joining)
            continue;
        internal::appendStep(append, rank.joined->lastStep);
        internal::appendMap(append, rank.joined->lastMap);
        append(rank.joined->held.size());
        for (const auto& held : rank.joined->held)
            internal::appendMap(append, held);
    }
}

DeciderActions Decider::nextStep()
{
    if (!this->running() || this->stepOpen)
        return {};
    if (this->changing() && (this->allPrepared() || !this->options.checks.allPrepared)) {
        this->activeMap = this->current->map;
        this->current->status = ProposalStatus::InForce;
        this->mapConfirmed = false;
    }
    ++this->stepNumber;
    this->stepOpen = true;
    DeciderActions actions;
    this->sendHeader(actions);
    return actions;
}

void Decider::onStepFinished(const StepId& step)
{
    if (!this->stepOpen || step != StepId { .term = this->term, .number = this->stepNumber })
        return;
    this->stepOpen = false;
    this->mapConfirmed = true;
}

void Decider::handle(const Rejoin& rejoin, DeciderActions& actions)
{
    auto& rank = this->ranks[rejoin.rank];
    const bool known = rejoin.session < rank.session || (rank.joined && rejoin.session == rank.joined->session);
    if (!known)
        this->onRestart(rejoin.rank, rejoin.session, actions);
}

void Decider::handle(const Joined& joined, DeciderActions& actions)
{
    auto& rank = this->ranks[joined.rank];
    if (joined.term != this->term || joined.session < rank.session)
        return;
    if (this->phase != Phase::Joining) {
        if (joined.session > rank.session)
            this->onRestart(joined.rank, joined.session, actions);
        return;
    }
    rank.session = joined.session;
    rank.joined = joined;
    this->fencing = std::max(this->fencing, joined.largestFencing);
    const bool all = std::ranges::all_of(this->ranks, [](const Rank& each) { return each.joined.has_value(); });
    if (all)
        this->chooseMap(actions);
}

void Decider::handle(const Prepared& prepared, DeciderActions& actions)
{
    auto& rank = this->ranks[prepared.rank];
    if (prepared.session > rank.session) {
        this->onRestart(prepared.rank, prepared.session, actions);
        return;
    }
    const bool current = rank.joined && prepared.term == this->term && prepared.session == rank.joined->session;
    if (!current)
        return;
    if (this->phase == Phase::Loading && prepared.map == this->activeMap) {
        rank.prepared = rank.prepared || prepared.loaded;
        if (this->allPrepared())
            this->phase = Phase::Running;
        return;
    }
    if (!this->changing() || prepared.map != this->current->map)
        return;
    if (!prepared.loaded)
        this->abandon(ProposalStatus::LoadFailed, actions);
    else
        rank.prepared = true;
}

// A rank that restarts before it has joined the open term can still join it. Any other restart needs a new term.
void Decider::onRestart(std::uint32_t index, std::uint64_t session, DeciderActions& actions)
{
    auto& rank = this->ranks[index];
    rank.session = session;
    if (this->phase != Phase::Joining || rank.joined)
        this->openTerm(actions);
    else
        this->sendJoinRequest(index, actions);
}

void Decider::openTerm(DeciderActions& actions)
{
    if (this->changing())
        this->abandon(ProposalStatus::RankRestarted, actions);
    if (this->stepNumber > 0)
        this->lastIssuedStep = { .term = this->term, .number = this->stepNumber };
    ++this->term.epoch;
    this->phase = Phase::Joining;
    this->stepNumber = 0;
    this->stepOpen = false;
    this->mapConfirmed = false;
    for (auto& rank : this->ranks)
        rank.joined.reset();
    this->resendUnanswered(actions);
}

// Keeps the map of the newest step that any rank or this process has recorded, so that a decided change is never
// undone.
void Decider::chooseMap(DeciderActions& actions)
{
    auto last = this->lastIssuedStep;
    for (const auto& rank : this->ranks) {
        if (last < rank.joined->lastStep) {
            last = rank.joined->lastStep;
            this->activeMap = rank.joined->lastMap;
        }
    }
    for (auto& rank : this->ranks)
        rank.prepared = std::ranges::find(rank.joined->held, this->activeMap) != rank.joined->held.end();
    this->phase = this->allPrepared() ? Phase::Running : Phase::Loading;
    if (this->phase == Phase::Loading)
        this->sendPrepare(this->activeMap, true, actions);
}

void Decider::abandon(ProposalStatus status, DeciderActions& actions)
{
    this->current->status = status;
    this->broadcast(Discard { .term = this->term, .map = this->current->map }, actions);
}

void Decider::resendUnanswered(DeciderActions& actions) const
{
    if (this->phase == Phase::Joining) {
        for (std::uint32_t rank = 0; rank < this->ranks.size(); ++rank) {
            if (!this->ranks[rank].joined)
                this->sendJoinRequest(rank, actions);
        }
        return;
    }
    if (this->phase == Phase::Loading)
        this->sendPrepare(this->activeMap, true, actions);
    else if (this->changing())
        this->sendPrepare(this->current->map, false, actions);
    if (this->stepOpen)
        this->sendHeader(actions);
}

void Decider::sendJoinRequest(std::uint32_t rank, DeciderActions& actions) const
{
    const JoinRequest request { .term = this->term, .session = this->ranks[rank].session };
    actions.push_back({ .rank = rank, .message = request });
}

void Decider::sendHeader(DeciderActions& actions) const
{
    const StepId step { .term = this->term, .number = this->stepNumber };
    this->broadcast(StepHeader { .step = step, .map = this->activeMap, .largestFencing = this->fencing }, actions);
}

void Decider::sendPrepare(const MapRef& map, bool inUse, DeciderActions& actions) const
{
    for (std::uint32_t rank = 0; rank < this->ranks.size(); ++rank) {
        if (!this->ranks[rank].prepared)
            actions.push_back({ .rank = rank, .message = Prepare { .term = this->term, .map = map, .inUse = inUse } });
    }
}

void Decider::broadcast(const DeciderMessage& message, DeciderActions& actions) const
{
    for (std::uint32_t rank = 0; rank < this->ranks.size(); ++rank)
        actions.push_back({ .rank = rank, .message = message });
}

bool Decider::changing() const noexcept { return this->current && this->current->status == ProposalStatus::Preparing; }

bool Decider::allPrepared() const
{
    return std::ranges::all_of(this->ranks, [](const Rank& rank) { return rank.prepared; });
}

std::optional<ProposalStatus> Decider::reasonToRefuse(const MapRef& map) const
{
    if (map == this->activeMap)
        return ProposalStatus::InForce;
    if (this->changing() && map == this->current->map)
        return ProposalStatus::Preparing;
    if (map.version <= this->activeMap.version)
        return ProposalStatus::StaleVersion;
    if (!this->options.checks.fencing)
        return std::nullopt;
    if (map.fencing < this->fencing)
        return ProposalStatus::StaleFencing;
    if (!this->current || map.fencing > this->current->map.fencing)
        return std::nullopt;
    if (map.version <= this->current->map.version)
        return ProposalStatus::StaleVersion;
    return this->changing() ? std::optional { ProposalStatus::Busy } : std::nullopt;
}

} // namespace chivewinch::expert
