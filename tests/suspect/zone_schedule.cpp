#include "suspect/zone_schedule.hpp"

#include <algorithm>

namespace chivewinch::suspect {

using namespace std::chrono_literals;

namespace internal {

constexpr int resends = 12;
constexpr int callersPerEntry = 2;
constexpr auto callersStopAfter = 12s;

} // namespace internal

ZoneSchedule::ZoneSchedule(const ZoneOptions& options)
    : options { options }
    , random { options.seed }
{
    this->result.entries = 2 + this->random.below(3);
    this->entries.resize(this->result.entries);
    this->targets.resize(3 + this->random.below(8));
    for (auto& entry : this->entries) {
        entry.table = std::make_shared<StrikeTable>(this->clock);
        entry.guard = std::make_unique<EntryGuard>(this->clock, *entry.table, options.entry);
    }
    for (std::size_t i = 0; i < this->targets.size(); ++i) {
        this->names.push_back("target-" + std::to_string(i));
        this->startAgent(i);
    }
    for (std::uint64_t fingerprint = 1; fingerprint <= options.crashing + options.harmless; ++fingerprint)
        for (std::size_t i = 0; i < internal::callersPerEntry * this->entries.size(); ++i) {
            const Attempt attempt { .entry = i % this->entries.size(), .caller = i, .fingerprint = fingerprint };
            this->scheduler.after(this->delay(), [this, attempt] { this->resend(attempt, internal::resends); });
        }
    this->heartbeat();
}

void ZoneSchedule::startAgent(std::size_t index)
{
    auto& target = this->targets[index];
    target.table = std::make_shared<StrikeTable>(this->clock);
    target.guard = std::make_unique<TargetGuard>(*target.table, this->names[index], this->options.target);
}

std::chrono::nanoseconds ZoneSchedule::delay()
{
    return std::chrono::nanoseconds { 1 + this->random.below(std::chrono::nanoseconds { options.maxDelay }.count()) };
}

void ZoneSchedule::resend(const Attempt& attempt, int left)
{
    if (left == 0 || this->stopped)
        return;
    auto& entry = this->entries[attempt.entry];
    const auto fingerprint = attempt.fingerprint;
    std::vector<base::TargetId> usable;
    for (const auto& name : this->names)
        if (!entry.down.contains(name))
            usable.push_back(name);
    const auto placement = entry.guard->place(fingerprint, this->names, usable);
    if (placement.refusal != base::RefusalReason::None) {
        this->retry(attempt, left);
        return;
    }
    const auto& name = placement.targets[this->random.below(placement.targets.size())];
    const auto target
        = static_cast<std::size_t>(std::find(this->names.begin(), this->names.end(), name) - this->names.begin());
    entry.guard->started(fingerprint, name);
    this->scheduler.after(this->delay(), [this, target, attempt, left] { this->arrive(target, attempt, left); });
}

void ZoneSchedule::retry(const Attempt& attempt, int left)
{
    const auto pause = std::chrono::milliseconds { this->random.below(this->random.below(3) == 0 ? 3000 : 50) };
    this->scheduler.after(pause, [this, attempt, left] { this->resend(attempt, left - 1); });
}

void ZoneSchedule::arrive(std::size_t index, const Attempt& attempt, int left)
{
    auto& target = this->targets[index];
    const auto fingerprint = attempt.fingerprint;
    if (!target.up || target.guard->check(fingerprint) != base::RefusalReason::None) {
        this->entries[attempt.entry].guard->finished(fingerprint);
        this->retry(attempt, left);
        return;
    }
    const bool hasStrike = target.table->verdict(fingerprint) != Verdict::Normal;
    for (const auto& other : target.inFlight)
        if (hasStrike && other.fingerprint != fingerprint
            && target.table->verdict(other.fingerprint) != Verdict::Normal)
            ++this->result.isolationViolations;
    target.guard->started(fingerprint);
    target.inFlight.push_back(attempt);
    const auto duration = std::chrono::milliseconds { 1 + this->random.below(this->random.below(4) == 0 ? 4000 : 100) };
    const auto incarnation = target.incarnation;
    this->scheduler.after(duration, [this, index, attempt, left, incarnation] {
        if (this->crashesTargets(attempt.fingerprint))
            this->crash(index, attempt.fingerprint, incarnation);
        else
            this->complete(index, attempt, left, incarnation);
    });
}

void ZoneSchedule::complete(std::size_t index, const Attempt& attempt, int left, std::uint64_t incarnation)
{
    auto& target = this->targets[index];
    if (target.incarnation != incarnation || !target.up)
        return;
    std::erase_if(target.inFlight,
        [&](const Attempt& other) { return other.entry == attempt.entry && other.fingerprint == attempt.fingerprint; });
    target.guard->finished(attempt.fingerprint, true);
    ++this->result.harmlessCompleted;
    this->scheduler.after(this->delay(), [this, attempt, left] {
        auto& entry = this->entries[attempt.entry];
        entry.table->recordCompletion(attempt.fingerprint);
        entry.guard->finished(attempt.fingerprint);
        this->retry(attempt, left);
    });
}

void ZoneSchedule::crash(std::size_t index, std::uint64_t cause, std::uint64_t incarnation)
{
    auto& target = this->targets[index];
    if (target.incarnation != incarnation || !target.up)
        return;
    target.up = false;
    this->result.maxCrashes = std::max(this->result.maxCrashes, ++this->lost[cause]);
    target.guard->crashed(base::Incarnation { incarnation });
    if (!this->options.agentKeepsStrikes) {
        this->startAgent(index);
    }
    // The entry of each interrupted attempt detects the crash on its own connection.
    for (const auto& attempt : std::exchange(target.inFlight, {}))
        this->scheduler.after(this->delay(), [this, attempt, index, incarnation] {
            auto& entry = this->entries[attempt.entry];
            const std::uint64_t fingerprints[] = { attempt.fingerprint };
            entry.table->recordCrash(this->names[index], base::Incarnation { incarnation }, fingerprints);
            entry.guard->finished(attempt.fingerprint);
            this->retry(attempt, internal::resends);
        });
    this->reportCrash(index);
    this->scheduler.after(std::chrono::milliseconds { 1000 + this->random.below(4000) }, [this, index] {
        this->targets[index].up = true;
        ++this->targets[index].incarnation;
    });
}

/** The agent's crash report contains its strikes and the state of its target in one message. */
void ZoneSchedule::reportCrash(std::size_t index)
{
    const auto report = this->targets[index].table->report();
    for (auto& entry : this->entries) {
        if (!this->options.propagate || this->random.unit() < this->options.lost)
            continue;
        this->scheduler.after(this->delay(), [this, &entry, report, index] {
            entry.table->merge(report);
            if (!this->options.avoidCrashed)
                return;
            entry.down.insert(this->names[index]);
            this->scheduler.after(3s, [this, &entry, index] { entry.down.erase(this->names[index]); });
        });
    }
}

void ZoneSchedule::send(const StrikeList& list, const std::shared_ptr<StrikeTable>& receiver)
{
    if (!this->options.propagate || this->random.unit() < this->options.lost || list.empty())
        return;
    this->scheduler.after(this->delay(), [list, receiver] { receiver->merge(list); });
}

void ZoneSchedule::heartbeat()
{
    for (auto& sender : this->entries) {
        const auto list = sender.table->report();
        for (auto& receiver : this->entries)
            if (&receiver != &sender)
                this->send(list, receiver.table);
        for (auto& target : this->targets)
            this->send(list, target.table);
    }
    for (auto& sender : this->targets) {
        const auto list = sender.table->report();
        for (auto& receiver : this->entries)
            this->send(list, receiver.table);
    }
    this->scheduler.after(this->stopped ? 20s : 1s, [this] { this->heartbeat(); });
}

ZoneResult ZoneSchedule::run()
{
    this->scheduler.runFor(internal::callersStopAfter);
    this->stopped = true;
    for (std::uint64_t cause = 1; cause <= this->options.crashing; ++cause)
        this->result.crashingBlocked += std::all_of(this->entries.begin(), this->entries.end(),
            [&](const Entry& entry) { return entry.table->verdict(cause) == Verdict::Blocked; });
    this->scheduler.runFor(12min);
    for (std::uint64_t i = 1; i <= this->options.harmless; ++i) {
        const auto fingerprint = this->options.crashing + i;
        const bool normal = std::all_of(this->entries.begin(), this->entries.end(),
            [&](const Entry& entry) { return entry.table->verdict(fingerprint) == Verdict::Normal; });
        this->result.harmlessNotNormal += normal ? 0 : 1;
    }
    return this->result;
}

} // namespace chivewinch::suspect
