#pragma once

#include "base/random.hpp"
#include "membership/target_table.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace chivewinch::membership {

using namespace std::chrono_literals;

/** Kinds of faults that a schedule injects. */
struct ScheduleFaults {
    bool lossyNetwork = true; ///< Loss, duplication, delay and reordering of messages.
    bool targetsFail = true; ///< Leaves, crashes and restarts on the same address.
    bool observerFails = true; ///< Pauses of this process and partitions between it and all targets.
};

/** Simulates a few targets, a faulty network and a table of these targets. Stops at the first violated rule. */
class Schedule {
public:
    Schedule(std::uint64_t seed, const Options& options, const ScheduleFaults& faults)
        : random { seed }
        , table { options }
        , faults { faults }
        , processes(3 + this->random.below(6))
    {
        if (faults.lossyNetwork) {
            this->loss = std::array { 0.0, 0.1, 0.5 }[this->random.below(3)];
            this->duplication = std::array { 0.0, 0.2 }[this->random.below(2)];
            this->maxDelay = std::array { 1ms, 50ms, 1500ms }[this->random.below(3)];
        }
        for (auto& process : this->processes)
            this->boot(process);
    }

    virtual ~Schedule() = default;
    Schedule(const Schedule&) = delete;
    Schedule& operator=(const Schedule&) = delete;

    /** Returns the violated rule and the time of the violation; empty if every rule held. */
    std::string run()
    {
        const auto faultyEnd = this->now + 20s;
        for (; this->now < faultyEnd && this->violation.empty(); this->now += step)
            this->runStep(true);
        this->clearFaults();
        const auto end = this->now + 5s;
        for (; this->now < end && this->violation.empty(); this->now += step)
            this->runStep(false);
        for (std::size_t i = 0; i < this->processes.size(); ++i)
            this->require(
                !this->processes[i].serving() || this->stateOf(i) == TargetState::Live, "healthy but not live");
        return this->violation;
    }

protected:
    /** Checks the targets that get new work now. */
    virtual void checkWork()
    {
        for (const auto& view : this->table.usable("z"))
            this->checkTarget(view.target, view.incarnation, view.state == TargetState::Live);
        if (!this->faults.targetsFail)
            this->require(this->table.count(TargetState::Gone) == 0, "healthy target marked as gone");
    }

    /** Checks one target that gets new work, either as a live target (isRegular) or because no target is live. */
    void checkTarget(const base::TargetId& target, base::Incarnation incarnation, bool isRegular)
    {
        auto& process = this->processes[indexOf(target)];
        const auto number = static_cast<std::uint64_t>(incarnation);
        this->require(number > process.lastLeftIncarnation, "usable after its leave notice");
        const auto stopped = process.stopped.find(number);
        if (!isRegular || stopped == process.stopped.end())
            return;
        // A message that was sent before the stop may arrive after it; the table counts the target as alive until then.
        const auto since = std::max(stopped->second, process.lastServingMessage[number]);
        this->require(this->now - since < 3s, "new work more than 3 s after the stop");
    }

    void require(bool holds, const std::string& rule)
    {
        if (!holds && this->violation.empty())
            this->violation = rule + " at " + std::to_string((this->now.time_since_epoch() - 1000s) / 1ms) + " ms";
    }

    base::SeededRandom random;
    TargetTable table;
    base::SteadyTime now { 1000s };

private:
    static constexpr auto step = 100ms;
    /**
     * Faults of the observer start only after each target has sent a message. A target without a message is not usable,
     * so marking it as gone would not violate a rule.
     */
    static constexpr base::SteadyTime faultsStart { 1002s };

    struct Process {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        bool alive = false;
        bool draining = false;
        base::SteadyTime nextHeartbeat {};
        base::SteadyTime restartAt {};
        std::map<std::uint64_t, base::SteadyTime> stopped; ///< Time of the leave or crash of each ended incarnation.
        std::map<std::uint64_t, base::SteadyTime> lastServingMessage; ///< Arrival of the newest message of each one.
        std::pair<std::uint64_t, std::uint64_t> newest; ///< Largest received incarnation and sequence number.
        std::uint64_t lastLeftIncarnation = 0; ///< Largest incarnation with a received leave notice.

        [[nodiscard]] bool serving() const { return this->alive && !this->draining; }
    };

    ScheduleFaults faults;
    std::vector<Process> processes;
    std::multimap<base::SteadyTime, Event> network;
    base::SteadyTime pausedUntil {};
    base::SteadyTime partitionedUntil {};
    double loss = 0;
    double duplication = 0;
    std::chrono::nanoseconds maxDelay { 1ms };
    std::string violation;

    bool chance(double probability) { return this->random.unit() < probability; }

    std::chrono::nanoseconds upTo(std::chrono::nanoseconds longest)
    {
        return std::chrono::nanoseconds { this->random.below(static_cast<std::uint64_t>(longest.count())) };
    }

    static std::size_t indexOf(const base::TargetId& target) { return std::stoul(target.substr(1)); }
    static base::TargetId nameOf(std::size_t index) { return std::string { "t" }.append(std::to_string(index)); }

    void boot(Process& process)
    {
        process.incarnation += 1 + this->random.below(3);
        process.sequence = 0;
        process.alive = true;
        process.draining = false;
        process.nextHeartbeat = this->now + this->upTo(1s);
        this->send(process, { .kind = EventKind::Hello, .zone = "z" });
    }

    void send(const Process& process, Event event)
    {
        event.target = nameOf(static_cast<std::size_t>(&process - this->processes.data()));
        event.incarnation = base::Incarnation { process.incarnation };
        for (int copies = this->chance(this->duplication) ? 2 : 1; copies > 0; --copies)
            if (this->now >= this->partitionedUntil && !this->chance(this->loss))
                this->network.emplace(this->now + this->upTo(this->maxDelay), event);
    }

    void sendHeartbeat(Process& process)
    {
        const auto state = process.draining ? TargetState::Leaving : TargetState::Live;
        this->send(
            process, { .kind = EventKind::Heartbeat, .zone = "z", .sequence = ++process.sequence, .state = state });
        if (process.serving() && this->chance(0.2))
            this->send(process, { .kind = EventKind::Answer, .started = this->now - this->upTo(100ms) });
        process.nextHeartbeat += 1s;
    }

    void leave(Process& process)
    {
        process.draining = true;
        process.stopped[process.incarnation] = this->now;
        this->send(process, { .kind = EventKind::Goodbye });
        if (this->chance(0.5))
            this->send(process, { .kind = EventKind::PeerLeaving });
    }

    void stop(Process& process)
    {
        process.alive = false;
        process.stopped.try_emplace(process.incarnation, this->now);
        process.restartAt = this->now + 100ms + this->upTo(15s);
    }

    void runProcess(Process& process, bool faulty)
    {
        if (!process.alive) {
            if (this->now >= process.restartAt)
                this->boot(process);
            return;
        }
        if (this->now >= process.nextHeartbeat)
            this->sendHeartbeat(process);
        if (!faulty || !this->faults.targetsFail)
            return;
        if (!process.draining && this->chance(0.008))
            this->leave(process);
        if (this->chance(process.draining ? 0.05 : 0.004))
            this->stop(process);
    }

    void runStep(bool faulty)
    {
        const bool observerFails = faulty && this->faults.observerFails && this->now >= faultsStart;
        if (observerFails && this->chance(0.01))
            (this->chance(0.5) ? this->pausedUntil : this->partitionedUntil) = this->now + this->upTo(14s);
        for (auto& process : this->processes)
            this->runProcess(process, faulty);
        if (this->now < this->pausedUntil)
            return;
        while (!this->network.empty() && this->network.begin()->first <= this->now)
            this->deliver(this->network.extract(this->network.begin()).mapped());
        this->table.advance(this->now);
        this->checkWork();
    }

    void clearFaults()
    {
        this->loss = 0;
        this->duplication = 0;
        this->maxDelay = 1ms;
        this->pausedUntil = {};
        this->partitionedUntil = {};
        for (auto& process : this->processes)
            process.restartAt = this->now;
    }

    TargetState stateOf(std::size_t index) const
    {
        for (const auto& view : this->table.snapshot())
            if (view.target == nameOf(index))
                return view.state;
        return TargetState::Gone;
    }

    void deliver(const Event& event)
    {
        const auto index = indexOf(event.target);
        auto& process = this->processes[index];
        const auto incarnation = static_cast<std::uint64_t>(event.incarnation);
        const std::pair version { incarnation, event.sequence };
        const bool isNewer = version > process.newest;
        const auto before = this->stateOf(index);
        this->table.apply(event, this->now);
        const bool revived = before != TargetState::Live && this->stateOf(index) == TargetState::Live;
        this->require(!revived || isNewer || event.kind == EventKind::Answer, "made live by an older message");
        process.newest = std::max(process.newest, version);
        const bool isLeave = event.kind == EventKind::Goodbye || event.kind == EventKind::PeerLeaving
            || (event.kind == EventKind::Heartbeat && event.state == TargetState::Leaving);
        if (isLeave)
            process.lastLeftIncarnation = std::max(process.lastLeftIncarnation, incarnation);
        else if (isNewer)
            process.lastServingMessage[incarnation] = this->now;
    }
};

} // namespace chivewinch::membership
