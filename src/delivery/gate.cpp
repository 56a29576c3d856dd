#include "delivery/gate.hpp"

#include <algorithm>
#include <utility>

namespace chivewinch::delivery {

namespace internal {

RecordState stateOf(base::Outcome outcome) noexcept
{
    switch (outcome) {
    case base::Outcome::Done:
        return RecordState::Done;
    case base::Outcome::NotRun:
        return RecordState::NotRun;
    case base::Outcome::Unknown:
        break;
    }
    return RecordState::Unknown;
}

bool provesNotRun(RecordState state) noexcept
{
    return state == RecordState::NotRun || state == RecordState::Cancelled;
}

} // namespace internal

Gate::Gate(const base::Clock& clock, base::Incarnation incarnation, GateOptions options, SuspectCheck check)
    : clock { clock }
    , ownIncarnation { incarnation }
    , options { options }
    , suspectCheck { std::move(check) }
    , startSteadyTime { clock.now() }
    , startWallTime { clock.wallNow() }
    , record { std::max(options.retention, options.maxLifetime), options.maxRecords }
{
}

/** Wall time at construction plus the steady time since then, so that wall clock jumps do not expire attempts. */
base::WallTime Gate::currentWallTime() const noexcept
{
    return this->startWallTime
        + std::chrono::duration_cast<base::WallTime::duration>(this->clock.now() - this->startSteadyTime);
}

bool Gate::recordable(base::WallTime issued, base::WallTime now) const noexcept
{
    const bool covered = this->record.covers(issued) || !this->options.refuseUncovered;
    return covered && issued - now <= this->options.maxClockSkew;
}

Admission Gate::refuseUnrecorded(base::RefusalReason reason) noexcept
{
    ++this->counts[static_cast<std::size_t>(reason)];
    return { .admitted = false, .reason = reason, .notRun = false };
}

Admission Gate::refuseRecorded(const AttemptStart& start, base::RefusalReason reason)
{
    ++this->counts[static_cast<std::size_t>(reason)];
    if (this->options.recordRefusals)
        this->record.set(start.key.attempt, start.issued, RecordState::NotRun);
    return { .admitted = false, .reason = reason, .notRun = true };
}

/** Refuses a copy of a recorded attempt; notRun is false if another copy may have run, although this one did not. */
std::optional<Admission> Gate::refuseSeen(const AttemptStart& start) const
{
    if (!this->options.checkSeen)
        return std::nullopt;
    const auto state = this->record.find(start.key.attempt, start.issued);
    if (!state)
        return std::nullopt;
    const auto reason = *state == RecordState::Cancelled ? base::RefusalReason::CancelledBeforeStart
                                                         : base::RefusalReason::DuplicateAttempt;
    return Admission { .admitted = false, .reason = reason, .notRun = internal::provesNotRun(*state) };
}

base::RefusalReason Gate::refusalReason(const AttemptStart& start, base::WallTime now) const
{
    const auto age = now - start.issued;
    if (age > std::min(start.lifetime, this->options.maxLifetime))
        return base::RefusalReason::AttemptExpired;
    if (std::max<std::chrono::nanoseconds>(age, {}) >= start.remaining)
        return base::RefusalReason::DeadlinePassed;
    if (this->draining)
        return base::RefusalReason::Draining;
    if (this->running.size() >= this->options.maxConcurrent)
        return base::RefusalReason::TargetBusy;
    return this->suspectCheck ? this->suspectCheck(start) : base::RefusalReason::None;
}

Admission Gate::admit(const AttemptStart& start)
{
    if (this->options.checkIncarnation && start.key.incarnation != this->ownIncarnation)
        return this->refuseUnrecorded(base::RefusalReason::WrongIncarnation);
    const auto now = this->currentWallTime();
    this->record.advance(now);
    if (!this->recordable(start.issued, now))
        return this->refuseUnrecorded(base::RefusalReason::AttemptExpired);
    if (const auto seen = this->refuseSeen(start)) {
        ++this->counts[static_cast<std::size_t>(seen->reason)];
        return *seen;
    }
    this->record.makeRoom();
    if (!this->recordable(start.issued, now))
        return this->refuseUnrecorded(base::RefusalReason::AttemptExpired);
    if (const auto reason = this->refusalReason(start, now); reason != base::RefusalReason::None)
        return this->refuseRecorded(start, reason);
    this->record.set(start.key.attempt, start.issued, RecordState::Running);
    this->running.emplace(start.key.attempt, start.issued);
    const auto inTransit = std::max<std::chrono::nanoseconds>(now - start.issued, {});
    const auto remaining = std::chrono::duration_cast<base::SteadyTime::duration>(start.remaining - inTransit);
    return { .admitted = true, .deadline = this->clock.now() + remaining };
}

void Gate::finish(const base::AttemptId& attempt, base::Outcome outcome)
{
    const auto found = this->running.find(attempt);
    if (found == this->running.end())
        return;
    this->record.set(attempt, found->second, internal::stateOf(outcome));
    this->running.erase(found);
}

CancelResult Gate::cancel(const CancelRequest& request)
{
    if (this->options.checkIncarnation && request.key.incarnation != this->ownIncarnation)
        return CancelResult::Unknown;
    if (this->running.contains(request.key.attempt))
        return CancelResult::Running;
    const auto now = this->currentWallTime();
    this->record.advance(now);
    if (!this->recordable(request.issued, now))
        return CancelResult::Unknown;
    if (const auto state = this->record.find(request.key.attempt, request.issued))
        return internal::provesNotRun(*state) ? CancelResult::NotRun : CancelResult::Finished;
    this->record.makeRoom();
    if (!this->recordable(request.issued, now))
        return CancelResult::Unknown;
    if (this->options.recordEarlyCancels)
        this->record.set(request.key.attempt, request.issued, RecordState::Cancelled);
    return CancelResult::NotRun;
}

GateLoad Gate::load() const noexcept
{
    return { .inFlight = static_cast<std::uint32_t>(this->running.size()),
        .capacity = this->options.maxConcurrent,
        .records = this->record.size(),
        .recordBytes = this->record.memoryBytes(),
        .draining = this->draining };
}

std::uint64_t Gate::count(base::RefusalReason reason) const noexcept
{
    return this->counts[static_cast<std::size_t>(reason)];
}

} // namespace chivewinch::delivery
