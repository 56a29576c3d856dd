#include "membership/target_table.hpp"

#include <algorithm>
#include <utility>

namespace chivewinch::membership {

namespace internal {

TargetView viewOf(const base::TargetId& target, const auto& record)
{
    return { .target = target,
        .zone = record.zone,
        .address = record.address,
        .incarnation = record.incarnation,
        .state = record.machine.state(),
        .held = record.held };
}

} // namespace internal

const std::array<TargetTable::Handler, static_cast<std::size_t>(EventKind::Count)> TargetTable::handlers {
    &TargetTable::applyHello,
    &TargetTable::applyHeartbeat,
    &TargetTable::applyAnswer,
    &TargetTable::applyLeave,
    &TargetTable::applyLeave,
    &TargetTable::applyListedLive,
    &TargetTable::applyListedLeaving,
};

ApplyResult TargetTable::apply(const Event& event, base::SteadyTime now)
{
    this->excludePause(now);
    const auto result = this->dispatch(event, now);
    ++this->results[static_cast<std::size_t>(result)];
    return result;
}

ApplyResult TargetTable::dispatch(const Event& event, base::SteadyTime now)
{
    auto found = this->records.find(event.target);
    if (found == this->records.end()) {
        // A leave notice adds an unknown target too, since earlier heartbeats of the target may still arrive and must
        // not make it live.
        if (event.kind == EventKind::Answer)
            return ApplyResult::Unknown;
        found = this->records.try_emplace(event.target).first;
        this->adoptIncarnation(found->second, event.incarnation, now);
    }
    auto& record = found->second;
    if (this->isStale(record, event))
        return ApplyResult::StaleIncarnation;
    if (event.incarnation > record.incarnation)
        this->adoptIncarnation(record, event.incarnation, now);
    return (this->*handlers[static_cast<std::size_t>(event.kind)])(record, event, now);
}

bool TargetTable::isStale(const Record& record, const Event& event) const noexcept
{
    const bool fromList = event.kind == EventKind::ListedLive || event.kind == EventKind::ListedLeaving;
    if (fromList && event.incarnation == base::Incarnation {})
        return false;
    return this->options.checkIncarnation && event.incarnation < record.incarnation;
}

void TargetTable::adoptIncarnation(Record& record, base::Incarnation incarnation, base::SteadyTime now)
{
    // A hold that was set while the incarnation was unknown stays, because it may concern the new incarnation.
    record.held = record.held && record.incarnation == base::Incarnation {};
    record.machine = internal::TargetMachine {};
    record.incarnation = incarnation;
    record.sequence = 0;
    recordLiveness(record, now);
    record.lastChange = now;
    record.firstSeen = now;
    ++this->changes;
}

void TargetTable::recordLiveness(Record& record, base::SteadyTime at) noexcept
{
    record.lastSeenAlive = std::max(record.lastSeenAlive, at);
    record.lastContact = std::max(record.lastContact, at);
}

template <typename MachineEvent>
void TargetTable::process(Record& record, const MachineEvent& event, base::SteadyTime now)
{
    const auto before = record.machine.state();
    record.machine.process(event);
    if (record.machine.state() == before)
        return;
    record.lastChange = now;
    ++this->changes;
}

void TargetTable::updateAddress(Record& record, const Event& event)
{
    const auto update = [this](std::string& known, const std::string& reported) {
        if (reported.empty() || reported == known)
            return;
        known = reported;
        ++this->changes;
    };
    update(record.zone, event.zone);
    update(record.address, event.address);
}

ApplyResult TargetTable::applyHello(Record& record, const Event& event, base::SteadyTime)
{
    // A hello has no sequence number and may be delayed, so it does not show that a known incarnation still runs.
    this->updateAddress(record, event);
    return ApplyResult::Accepted;
}

ApplyResult TargetTable::applyHeartbeat(Record& record, const Event& event, base::SteadyTime now)
{
    if (this->options.checkSequence && event.sequence <= record.sequence)
        return ApplyResult::StaleSequence;
    record.sequence = event.sequence;
    this->updateAddress(record, event);
    if (record.machine.hasLeft()) {
        if (this->options.leaveIsFinal || event.state == TargetState::Leaving) {
            recordLiveness(record, now);
            return ApplyResult::AlreadyLeft;
        }
        record.machine = internal::TargetMachine {};
    }
    recordLiveness(record, now);
    if (event.state == TargetState::Live)
        this->process(record, internal::Serving {}, now);
    else if (event.state == TargetState::Joining)
        this->process(record, internal::NotReady {}, now);
    else
        this->process(record, internal::LeaveNotice {}, now);
    return ApplyResult::Accepted;
}

ApplyResult TargetTable::applyAnswer(Record& record, const Event& event, base::SteadyTime now)
{
    if (record.machine.hasLeft())
        return ApplyResult::AlreadyLeft;
    // The agent admitted the attempt, so the target was serving at some time after the start of the attempt. The answer
    // does not show how much later, so the start is used.
    const bool revives = record.machine.state() == TargetState::Suspect && event.started > record.lastChange;
    recordLiveness(record, std::min(event.started, now));
    if (revives)
        this->process(record, internal::Serving {}, now);
    return ApplyResult::Accepted;
}

ApplyResult TargetTable::applyLeave(Record& record, const Event&, base::SteadyTime now)
{
    if (record.machine.hasLeft())
        return ApplyResult::AlreadyLeft;
    this->process(record, internal::LeaveNotice {}, now);
    return ApplyResult::Accepted;
}

ApplyResult TargetTable::applyListedLive(Record& record, const Event& event, base::SteadyTime)
{
    this->updateAddress(record, event);
    if (std::exchange(record.held, false))
        ++this->changes;
    return ApplyResult::Accepted;
}

ApplyResult TargetTable::applyListedLeaving(Record& record, const Event& event, base::SteadyTime now)
{
    const bool lacksIncarnation = event.incarnation == base::Incarnation {};
    const bool mayConcernPreviousIncarnation = lacksIncarnation && now - record.firstSeen < this->options.listLag;
    if (!mayConcernPreviousIncarnation)
        return this->applyLeave(record, event, now);
    // Leaving is final for an incarnation, so a notice that may concern the previous incarnation only stops new work.
    if (!std::exchange(record.held, true))
        ++this->changes;
    return ApplyResult::Accepted;
}

void TargetTable::excludePause(base::SteadyTime now)
{
    const auto gap = now - this->lastCall;
    const bool paused = this->lastCall != base::SteadyTime {} && gap > this->options.pauseThreshold;
    this->lastCall = std::max(this->lastCall, now);
    if (!paused || !this->options.excludePause)
        return;
    // The pause is excluded only from the time until a target is gone. It still counts towards suspicion, because a
    // target may have left during the pause and its leave notice may be lost.
    for (auto& [target, record] : this->records) {
        record.lastContact = std::min(record.lastContact + gap, now);
        // Suspicions shortly before and after the pause still count as simultaneous.
        if (record.machine.state() == TargetState::Suspect)
            record.lastChange = std::min(record.lastChange + gap, now);
    }
}

bool TargetTable::isSilent(const Record& record, base::SteadyTime now) const noexcept
{
    return now - record.lastSeenAlive > this->options.suspectAfter - this->options.advanceInterval;
}

void TargetTable::updateSuppression(base::SteadyTime now)
{
    std::size_t watched = 0;
    std::size_t silent = 0;
    std::size_t recent = 0;
    for (const auto& [target, record] : this->records) {
        const auto state = record.machine.state();
        if (state != TargetState::Live && state != TargetState::Suspect)
            continue;
        ++watched;
        if (!this->isSilent(record, now))
            continue;
        ++silent;
        if (state == TargetState::Live || now - record.lastChange <= this->options.heartbeatInterval)
            ++recent;
    }
    const bool before = this->suppressed;
    // If all targets are silent, marking them as gone has no benefit, even if they became silent at different times.
    const bool massSilence = (before ? silent : recent) * 2 > watched || (silent > 0 && silent == watched);
    this->suppressed = this->options.suppressMassSuspicion && massSilence;
    if (!before || this->suppressed)
        return;
    // Silence during a local fault says nothing about the targets. Those that are still silent are treated as if they
    // had only just become suspect.
    for (auto& [target, record] : this->records)
        if (record.machine.state() == TargetState::Suspect)
            record.lastContact = std::max(record.lastContact, now - this->options.suspectAfter);
}

void TargetTable::advanceRecord(Record& record, base::SteadyTime now)
{
    if (this->isSilent(record, now))
        this->process(record, internal::Silence {}, now);
    const bool leaving = record.machine.state() == TargetState::Leaving;
    if (now - record.lastContact >= this->options.goneAfter && (leaving || !this->suppressed))
        this->process(record, internal::LongSilence {}, now);
}

void TargetTable::advance(base::SteadyTime now)
{
    this->excludePause(now);
    if (!this->options.detectSilence)
        return;
    this->updateSuppression(now);
    for (auto& [target, record] : this->records)
        this->advanceRecord(record, now);
    const auto forgotten = std::erase_if(this->records, [&](const auto& item) {
        const auto& record = item.second;
        return record.machine.state() == TargetState::Gone && now - record.lastChange >= this->options.forgetAfter;
    });
    this->changes += forgotten;
}

std::vector<TargetView> TargetTable::usable(std::string_view zone) const
{
    std::vector<TargetView> live;
    std::vector<TargetView> suspect;
    for (const auto& [target, record] : this->records) {
        if (record.zone != zone || record.held)
            continue;
        const auto state = record.machine.state();
        if (state == TargetState::Live)
            live.push_back(internal::viewOf(target, record));
        else if (state == TargetState::Suspect)
            suspect.push_back(internal::viewOf(target, record));
    }
    auto& chosen = live.empty() ? suspect : live;
    std::ranges::sort(chosen);
    return chosen;
}

std::vector<TargetView> TargetTable::snapshot() const
{
    std::vector<TargetView> views;
    views.reserve(this->records.size());
    for (const auto& [target, record] : this->records)
        views.push_back(internal::viewOf(target, record));
    std::ranges::sort(views);
    return views;
}

std::size_t TargetTable::count(TargetState state) const noexcept
{
    return static_cast<std::size_t>(std::ranges::count_if(
        this->records, [state](const auto& item) { return item.second.machine.state() == state; }));
}

} // namespace chivewinch::membership
