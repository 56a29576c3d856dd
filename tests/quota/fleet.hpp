#pragma once

#include "base/random.hpp"
#include "quota/target_limits.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace chivewinch::quota {

/** Bounds on the requests to a target with a limit. */
struct LimitRule {
    static constexpr std::chrono::seconds window { 4 };
    static constexpr std::chrono::seconds contact { 3 }; ///< Time to adapt to a new or lower limit.
    static constexpr std::chrono::milliseconds toldBefore { 500 };

    [[nodiscard]] static std::size_t allowed(double limit)
    {
        return static_cast<std::size_t>(std::ceil(1.5 * limit * 4 + 5));
    }
};

struct FleetOptions {
    std::size_t members = 9;
    double requestsPerSecond = 50; ///< Demand for the target over all members.
    std::chrono::milliseconds settleTime { 2'000 };
    bool divideLimits = true;
};

/** Simulated processes that send requests to one target, with faults that the test injects. */
class Fleet {
public:
    static constexpr std::chrono::milliseconds step { 10 };

    Fleet(FleetOptions options, std::uint64_t seed)
        : options { options }
        , random { seed }
    {
        for (std::size_t i = 0; i < options.members; ++i)
            this->addProcess();
        this->publishMembers(std::chrono::milliseconds { 0 });
        this->run(2 * options.settleTime);
    }

    void setLimit(std::optional<double> limit)
    {
        // A statement that has ended does not count as told for the next one.
        if (!this->limit) {
            for (auto& process : this->processes)
                process.toldAt.reset();
        }
        this->limit = limit;
        this->limitChanges.push_back({ this->now, limit });
    }

    /** The target starts anew under the same ID, without a limit; the list shows it to all processes. */
    void restartTarget()
    {
        ++this->incarnation;
        this->setLimit(std::nullopt);
        for (auto& process : this->processes)
            this->list(process);
    }

    /** A new process registers. The others learn of it at different times within half of the settle time. */
    void join()
    {
        this->addProcess();
        this->publishMembers(this->options.settleTime / 2);
    }

    void restart(std::size_t index)
    {
        auto& process = this->processes[index];
        process.limits = this->makeLimits(process.name);
        process.toldAt.reset();
        process.answers.clear();
        this->list(process);
        process.limits->setMembers(this->members, this->now);
    }

    void freeze(std::size_t index, std::chrono::milliseconds time)
    {
        this->processes[index].frozenUntil = this->now + time;
    }

    /** Cuts a process off from the others; it still reaches the target. */
    void cut(std::size_t index, std::chrono::milliseconds time) { this->processes[index].cutUntil = this->now + time; }

    void run(std::chrono::milliseconds time)
    {
        for (auto passed = std::chrono::milliseconds { 0 }; passed < time; passed += step) {
            this->now += step;
            for (auto& process : this->processes)
                this->advance(process);
        }
    }

    /**
     * Largest excess over the rule: arrivals within any window, from members that were told, less what is allowed.
     * Negative if all windows keep the rule.
     */
    [[nodiscard]] std::ptrdiff_t worstExcess() const
    {
        std::ptrdiff_t worst = -1'000'000;
        for (std::size_t first = 0; first < this->arrivals.size(); ++first) {
            const auto from = this->arrivals[first];
            const auto limit = this->limitIn(from);
            if (!limit)
                continue;
            const auto end = std::lower_bound(this->arrivals.begin() + static_cast<std::ptrdiff_t>(first),
                this->arrivals.end(), from + LimitRule::window);
            const auto count = end - this->arrivals.begin() - static_cast<std::ptrdiff_t>(first);
            worst = std::max(worst, count - static_cast<std::ptrdiff_t>(LimitRule::allowed(*limit)));
        }
        return worst;
    }

    /** Arrivals since the given time, from all members. */
    [[nodiscard]] std::size_t startedSince(base::SteadyTime time) const
    {
        return static_cast<std::size_t>(this->allArrivals.end() - std::ranges::lower_bound(this->allArrivals, time));
    }

    /** Number of processes that sent a request to the target since the given time. */
    [[nodiscard]] std::size_t sendersSince(base::SteadyTime time) const
    {
        return static_cast<std::size_t>(
            std::ranges::count_if(this->processes, [time](const auto& process) { return process.lastSentAt >= time; }));
    }

    [[nodiscard]] std::size_t limitedCount() const
    {
        return static_cast<std::size_t>(
            std::ranges::count_if(this->processes, [](const auto& process) { return process.limits->isLimited("t"); }));
    }

    [[nodiscard]] base::SteadyTime time() const { return this->now; }
    [[nodiscard]] std::size_t size() const { return this->processes.size(); }

private:
    struct Answer {
        base::SteadyTime at;
        base::SteadyTime sentAt;
        std::optional<double> limit;
        std::uint64_t incarnation = 0;
    };

    struct Process {
        std::string name;
        std::unique_ptr<TargetLimits> limits;
        std::optional<base::SteadyTime> toldAt;
        base::SteadyTime frozenUntil {};
        base::SteadyTime cutUntil {};
        base::SteadyTime nextQueryAt {};
        base::SteadyTime lastSentAt {};
        base::SteadyTime membersAt {}; ///< Time at which the process learns the newest members.
        bool hasNewMembers = false;
        std::deque<Answer> answers;
        std::vector<std::string> delayedQueries; ///< Arrived while the process was frozen.
    };

    struct LimitChangeRecord {
        base::SteadyTime at;
        std::optional<double> limit;
    };

    std::unique_ptr<TargetLimits> makeLimits(const std::string& name) const
    {
        return std::make_unique<TargetLimits>(TargetLimitsOptions {
            .instance = name, .settleTime = this->options.settleTime, .divideLimits = this->options.divideLimits });
    }

    void addProcess()
    {
        const auto index = this->processes.size();
        auto& process = this->processes.emplace_back(Process { .name = "e" + std::to_string(index) });
        process.limits = this->makeLimits(process.name);
        process.nextQueryAt = this->now + std::chrono::milliseconds { this->random.below(500) };
        this->members.push_back({ process.name, "z" + std::to_string(index % 3) });
        this->list(process);
    }

    void list(Process& process)
    {
        process.limits->setTargets(
            { { "t", { .incarnation = base::Incarnation { this->incarnation }, .zone = "z1" } } }, this->now);
    }

    void publishMembers(std::chrono::milliseconds longestDelay)
    {
        for (auto& process : this->processes) {
            process.hasNewMembers = true;
            process.membersAt = this->now
                + std::chrono::milliseconds { this->random.below(
                    static_cast<std::uint64_t>(longestDelay.count()) + 1) };
        }
    }

    void advance(Process& process)
    {
        if (this->now < process.frozenUntil)
            return;
        // After a freeze, what arrived in the meantime is read before the timers run.
        for (const auto& body : std::exchange(process.delayedQueries, {}))
            (void)process.limits->answer(decodeLimitQuery(body).value(), this->now);
        process.limits->advance(this->now);
        if (process.hasNewMembers && this->now >= process.membersAt) {
            process.hasNewMembers = false;
            process.limits->setMembers(this->members, this->now);
        }
        while (!process.answers.empty() && process.answers.front().at <= this->now)
            this->receive(process);
        if (this->now >= process.nextQueryAt)
            this->query(process);
        const auto rate = this->options.requestsPerSecond / static_cast<double>(this->processes.size());
        if (this->random.unit() < rate * std::chrono::duration<double> { step }.count())
            this->send(process);
    }

    void receive(Process& process)
    {
        const auto answer = process.answers.front();
        process.answers.pop_front();
        if (answer.incarnation != this->incarnation)
            return;
        (void)process.limits->observe(
            "t", base::Incarnation { answer.incarnation }, answer.limit, answer.sentAt, this->now);
        if (answer.limit && !process.toldAt)
            process.toldAt = this->now;
    }

    void query(Process& process)
    {
        process.nextQueryAt = this->now + TargetLimits::queryPause(this->random);
        const auto next = process.limits->nextQuery(this->now);
        if (!next || this->now < process.cutUntil)
            return;
        const auto owner = std::ranges::find(this->processes, next->first, &Process::name);
        if (owner == this->processes.end() || this->now < owner->cutUntil)
            return;
        if (this->now < owner->frozenUntil) {
            owner->delayedQueries.push_back(encode(next->second));
            return;
        }
        const auto query = decodeLimitQuery(encode(next->second)).value();
        const auto answer = decodeLimitAnswer(encode(owner->limits->answer(query, this->now))).value();
        process.limits->apply(answer, this->now, this->now);
    }

    void send(Process& process)
    {
        if (!process.limits->mayStart("t", this->now))
            return;
        process.limits->recordStart("t", this->now);
        process.lastSentAt = this->now;
        this->allArrivals.push_back(this->now);
        // The rule excuses a process that was frozen, until it is in touch again.
        const bool isExcused = this->now < process.frozenUntil + LimitRule::contact;
        if (!isExcused && process.toldAt && this->now - *process.toldAt >= LimitRule::toldBefore)
            this->arrivals.push_back(this->now);
        const auto delay = std::chrono::milliseconds { 50 + this->random.below(750) };
        const auto at
            = process.answers.empty() ? this->now + delay : std::max(this->now + delay, process.answers.back().at);
        process.answers.push_back({ at, this->now, this->limit, this->incarnation });
    }

    /** Largest limit that applies within the window; nullopt if the target had none for a part of it. */
    [[nodiscard]] std::optional<double> limitIn(base::SteadyTime from) const
    {
        std::optional<double> current;
        for (const auto& change : this->limitChanges) {
            if (change.at <= from - LimitRule::contact) {
                current = change.limit;
            } else if (change.at < from + LimitRule::window) {
                if (!change.limit || !current)
                    return std::nullopt;
                current = std::max(*current, *change.limit);
            }
        }
        return current;
    }

    FleetOptions options;
    base::SeededRandom random;
    base::SteadyTime now { std::chrono::hours { 1 } };
    std::uint64_t incarnation = 1;
    std::optional<double> limit;
    std::vector<LimitChangeRecord> limitChanges;
    std::deque<Process> processes;
    std::vector<Member> members;
    std::vector<base::SteadyTime> arrivals; ///< From members that were told.
    std::vector<base::SteadyTime> allArrivals;
};

} // namespace chivewinch::quota
