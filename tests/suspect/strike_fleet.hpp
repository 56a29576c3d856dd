#pragma once

#include "base/random.hpp"
#include "suspect/shared_strikes.hpp"
#include "suspect/strike_archive.hpp"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace chivewinch::suspect {

/** Bound on a request that crashes targets, as the users' rule states it. */
struct CrashRule {
    static constexpr std::size_t crashes = 3;
    static constexpr std::size_t allowedRetries = 3;
    static constexpr std::chrono::seconds contact { 3 };
};

struct StrikeFleetOptions {
    std::size_t members = 9;
    std::size_t targets = 16;
    double crashingPerSecond = 20; ///< Tries of the caller whose request crashes targets, over all members.
    double harmlessPerSecond = 20; ///< Requests that a crash of their target ends too.
    std::chrono::milliseconds runTime { 200 }; ///< Of a harmless request.
    std::chrono::milliseconds downTime { 1'000 };
    bool restartsAreListed = true;
    bool share = true;
    bool keepsStrikes = false; ///< In a store that outlasts the processes.
    double crashShare = 1; ///< Share of the runs of the crashing request that crash their target.
    std::chrono::milliseconds noticeTime { 0 }; ///< From the crash by that request until its process notices it.
};

/** Simulated processes that send requests to common targets and exchange strikes, with faults that a test injects. */
class StrikeFleet {
public:
    static constexpr std::chrono::milliseconds step { 10 };
    static constexpr std::uint64_t crashing = 1; ///< Fingerprint of the request that crashes its target.
    /** Time for which a process that has started waits for the strikes of the store. */
    static constexpr std::chrono::milliseconds loadTime { 1'000 };

    StrikeFleet(StrikeFleetOptions options, std::uint64_t seed)
        : options { options }
        , random { seed }
        , targets(options.targets)
    {
        for (std::size_t i = 0; i < options.members; ++i)
            this->addProcess();
        this->publishMembers();
    }

    void join()
    {
        this->addProcess();
        this->publishMembers();
    }

    void restart(std::size_t index)
    {
        auto& process = this->processes[index];
        this->start(process);
        process.shared->setMembers(this->members);
        // Runs of the process end unnoticed.
        std::erase_if(this->unnoticed, [index](const auto& crash) { return crash.process == index; });
    }

    /** Ends all processes at the same moment. */
    void restartAll()
    {
        for (std::size_t index = 0; index < this->processes.size(); ++index)
            this->restart(index);
    }

    /** The store is away for this time. */
    void disconnectStore(std::chrono::milliseconds time) { this->storeBackAt = this->clock.now() + time; }
    /** The store comes back from the copy that it had at the last call of copyStore. */
    void restoreStore() { this->rows = this->copiedRows; }
    void copyStore() { this->copiedRows = this->rows; }

    void freeze(std::size_t index, std::chrono::milliseconds time)
    {
        this->processes[index].frozenUntil = this->clock.now() + time;
    }

    /** Cuts a process off from the others; it still reaches the targets. */
    void cut(std::size_t index, std::chrono::milliseconds time)
    {
        this->processes[index].cutUntil = this->clock.now() + time;
    }

    void run(std::chrono::milliseconds time)
    {
        for (auto passed = std::chrono::milliseconds { 0 }; passed < time; passed += step)
            this->advance();
    }

    [[nodiscard]] std::size_t size() const { return this->processes.size(); }
    [[nodiscard]] std::size_t crashCount() const { return this->crashes.size(); }
    /** Retries that reached targets later than the contact time after the third crash, from members in contact. */
    [[nodiscard]] std::size_t lateRetries() const
    {
        if (this->crashes.size() < CrashRule::crashes)
            return 0;
        const auto learnt = this->crashes[CrashRule::crashes - 1] + CrashRule::contact;
        return static_cast<std::size_t>(
            std::ranges::count_if(this->counted, [learnt](const auto& at) { return at > learnt; }));
    }
    /** Harmless requests that have been tried in vain for longer than this. */
    [[nodiscard]] std::size_t unserved(std::chrono::milliseconds longest) const
    {
        return static_cast<std::size_t>(std::ranges::count_if(this->harmless,
            [&](const auto& request) { return !request.isServed && this->clock.now() - request.since > longest; }));
    }
    [[nodiscard]] std::uint64_t messageCount() const { return this->messages; }

private:
    struct Process {
        std::string name;
        std::unique_ptr<StrikeTable> table;
        std::unique_ptr<SharedStrikes> shared;
        std::unique_ptr<SuspectFeatures> features;
        std::unique_ptr<StrikeArchive> archive;
        bool isLoaded = false;
        base::SteadyTime frozenUntil {};
        base::SteadyTime cutUntil {};
        base::SteadyTime contactSince {}; ///< End of the last restart, freeze or cut.
    };
    struct Target {
        base::SteadyTime upAt {};
        std::uint64_t incarnation = 1;
        std::vector<std::size_t> running; ///< Indexes of harmless requests.
    };
    struct Harmless {
        std::uint64_t fingerprint = 0;
        base::SteadyTime since {};
        base::SteadyTime nextTry {};
        std::size_t process = 0;
        std::size_t target = 0;
        std::optional<base::SteadyTime> doneAt; ///< While it runs.
        std::string granter; ///< Of the trial, if the request runs as one.
        bool isServed = false;
    };
    struct UnnoticedCrash {
        base::SteadyTime at {};
        std::size_t process = 0;
        std::size_t target = 0;
        base::Incarnation incarnation {};
        bool isTrial = false;
    };

    StrikeFleetOptions options;
    base::SeededRandom random;
    base::ManualClock clock;
    std::vector<Process> processes;
    std::vector<quota::Member> members;
    std::vector<Target> targets;
    std::vector<Harmless> harmless;
    std::vector<base::SteadyTime> crashes;
    std::vector<base::SteadyTime> counted; ///< Runs of the crashing request that crash, from members in contact.
    std::vector<UnnoticedCrash> unnoticed;
    std::uint64_t messages = 0;
    std::map<std::string, std::string> rows; ///< Of the store.
    std::map<std::string, std::string> copiedRows;
    base::SteadyTime storeBackAt {};

    void addProcess()
    {
        auto& process = this->processes.emplace_back();
        process.name = "e" + std::to_string(this->processes.size());
        this->members.push_back({ .instance = process.name, .zone = "z" });
        this->start(process);
    }

    void start(Process& process)
    {
        process.table = std::make_unique<StrikeTable>(this->clock,
            StrikeOptions { .expiry = std::chrono::hours { 1 },
                .strikesToBlock = CrashRule::crashes,
                .restartTime = std::chrono::milliseconds { 250 },
                .crashSeed = this->random.next() });
        process.shared = std::make_unique<SharedStrikes>(this->clock, this->random, *process.table,
            SharedStrikesOptions {
                .instance = process.name, .learnTime = CrashRule::contact, .share = this->options.share });
        process.features = std::make_unique<SuspectFeatures>(
            this->clock, this->random, featureOptions({}, { .instance = process.name }));
        process.archive = std::make_unique<StrikeArchive>(this->clock, *process.table, *process.shared,
            *process.features, StrikeArchiveOptions { .expiry = std::chrono::hours { 1 } });
        process.isLoaded = false;
        process.contactSince = this->clock.now();
    }

    void publishMembers()
    {
        for (auto& process : this->processes)
            process.shared->setMembers(this->members);
    }

    [[nodiscard]] bool isFrozen(const Process& process) const { return this->clock.now() < process.frozenUntil; }
    [[nodiscard]] bool isInContact(const Process& process) const
    {
        const auto since = std::max({ process.contactSince, process.frozenUntil, process.cutUntil });
        return this->clock.now() - since >= CrashRule::contact;
    }
    [[nodiscard]] Process* reachable(const Process& from, const std::string& name)
    {
        const auto found = std::ranges::find(this->processes, name, &Process::name);
        if (found == this->processes.end() || this->isFrozen(*found) || this->clock.now() < from.cutUntil
            || this->clock.now() < found->cutUntil)
            return nullptr;
        return &*found;
    }

    void exchange(Process& process)
    {
        constexpr int messagesPerStep = 3;
        for (int i = 0; i < messagesPerStep; ++i) {
            const auto outgoing = process.shared->next();
            if (!outgoing)
                return;
            ++this->messages;
            auto* peer = this->reachable(process, outgoing->instance);
            // A tenth of the messages is lost.
            if (peer == nullptr || this->random.below(10) == 0)
                process.shared->failed(*outgoing);
            else
                process.shared->delivered(*outgoing, peer->shared->answer(outgoing->message));
        }
    }

    void exchangeWithStore(Process& process)
    {
        if (!this->options.keepsStrikes || this->clock.now() < this->storeBackAt)
            return;
        if (!process.isLoaded || process.archive->needsReload())
            process.archive->load({ this->rows.begin(), this->rows.end() });
        process.isLoaded = true;
        if (!process.archive->hasChanges())
            return;
        for (const auto& write : process.archive->writes()) {
            // A tenth of the writes is not acknowledged, and half of these are not carried out.
            const bool isLost = this->random.below(10) == 0;
            if (isLost && this->random.below(2) == 0)
                continue;
            if (write.value)
                this->rows.insert_or_assign(write.key, *write.value);
            else
                this->rows.erase(write.key);
            if (!isLost)
                process.archive->recordWrite(write);
        }
    }

    /** Sets granter if the run is a trial. */
    [[nodiscard]] bool mayRun(Process& process, std::uint64_t fingerprint, std::string& granter)
    {
        granter.clear();
        if (this->options.keepsStrikes && !process.isLoaded && this->clock.now() - process.contactSince < loadTime)
            return false;
        if (process.table->verdict(fingerprint) != Verdict::Blocked)
            return true;
        const auto due = process.shared->trialAt(fingerprint);
        if (!due || this->clock.now() < *due)
            return false;
        for (const auto& name : process.shared->trialGranters(fingerprint)) {
            auto* peer = name == process.name ? &process : this->reachable(process, name);
            if (peer == nullptr)
                continue;
            const auto answer = peer->shared->answer(process.shared->trialRequest(fingerprint));
            (void)process.table->merge(answer.strikes);
            if (answer.grantsTrial)
                granter = name;
            break;
        }
        return !granter.empty() || process.table->verdict(fingerprint) != Verdict::Blocked;
    }

    void endTrial(Process& process, std::uint64_t fingerprint, const std::string& granter, bool isCompleted)
    {
        if (granter.empty())
            return;
        auto* peer = granter == process.name ? &process : this->reachable(process, granter);
        if (peer != nullptr)
            (void)peer->shared->answer({ .trial = fingerprint, .returnsTrial = true, .completesTrial = isCompleted });
    }

    /** A target that is up, preferably one on which the fingerprint has no strike. */
    [[nodiscard]] std::optional<std::size_t> chooseTarget(const Process& process, std::uint64_t fingerprint)
    {
        const auto struck = process.table->struckTargets(fingerprint);
        std::vector<std::size_t> all;
        std::vector<std::size_t> preferred;
        for (std::size_t i = 0; i < this->targets.size(); ++i) {
            if (this->clock.now() < this->targets[i].upAt)
                continue;
            all.push_back(i);
            if (std::ranges::find(struck, nameOf(i)) == struck.end())
                preferred.push_back(i);
        }
        const auto& choices = preferred.empty() ? all : preferred;
        if (choices.empty())
            return std::nullopt;
        return choices[this->random.below(choices.size())];
    }

    [[nodiscard]] static base::TargetId nameOf(std::size_t target) { return "t" + std::to_string(target); }
    [[nodiscard]] base::Incarnation incarnationOf(std::size_t target) const
    {
        return base::Incarnation { this->options.restartsAreListed ? this->targets[target].incarnation : 1 };
    }

    [[nodiscard]] std::optional<std::size_t> randomProcess()
    {
        const auto index = this->random.below(this->processes.size());
        return this->isFrozen(this->processes[index]) ? std::nullopt : std::optional { index };
    }

    void sendCrashing()
    {
        const auto index = this->randomProcess();
        std::string granter;
        if (!index || !this->mayRun(this->processes[*index], crashing, granter))
            return;
        auto& process = this->processes[*index];
        const auto target = this->chooseTarget(process, crashing);
        if (!target) {
            this->endTrial(process, crashing, granter, false);
            return;
        }
        if (this->random.unit() >= this->options.crashShare) {
            this->endTrial(process, crashing, granter, true);
            return;
        }
        if (this->isInContact(process))
            this->counted.push_back(this->clock.now());
        this->crashes.push_back(this->clock.now());
        this->unnoticed.push_back({ .at = this->clock.now(),
            .process = *index,
            .target = *target,
            .incarnation = this->incarnationOf(*target),
            .isTrial = !granter.empty() });
        this->noticeCrashes();
        this->endTarget(*target);
    }

    void noticeCrashes()
    {
        std::erase_if(this->unnoticed, [this](const auto& crash) {
            auto& process = this->processes[crash.process];
            if (this->isFrozen(process) || this->clock.now() - crash.at < this->options.noticeTime)
                return false;
            process.shared->recordCrash(crashing, nameOf(crash.target), crash.incarnation, crash.isTrial);
            return true;
        });
    }

    void endTarget(std::size_t target)
    {
        auto& crashed = this->targets[target];
        const auto incarnation = this->incarnationOf(target);
        crashed.upAt = this->clock.now() + this->options.downTime;
        ++crashed.incarnation;
        for (const auto running : std::exchange(crashed.running, {})) {
            auto& request = this->harmless[running];
            request.doneAt.reset();
            request.nextTry = this->clock.now() + std::chrono::milliseconds { 100 };
            this->processes[request.process].shared->recordCrash(
                request.fingerprint, nameOf(target), incarnation, !request.granter.empty());
        }
    }

    void tryHarmless(std::size_t number)
    {
        auto& request = this->harmless[number];
        const auto index = this->randomProcess();
        request.nextTry = this->clock.now() + std::chrono::milliseconds { 500 };
        if (!index || !this->mayRun(this->processes[*index], request.fingerprint, request.granter))
            return;
        const auto target = this->chooseTarget(this->processes[*index], request.fingerprint);
        if (!target) {
            this->endTrial(this->processes[*index], request.fingerprint, request.granter, false);
            return;
        }
        request.process = *index;
        request.target = *target;
        request.doneAt = this->clock.now() + this->options.runTime;
        this->targets[*target].running.push_back(number);
    }

    void advanceHarmless()
    {
        for (std::size_t number = 0; number < this->harmless.size(); ++number) {
            auto& request = this->harmless[number];
            if (request.isServed)
                continue;
            if (request.doneAt && this->clock.now() >= *request.doneAt) {
                std::erase(this->targets[request.target].running, number);
                request.isServed = true;
                this->endTrial(this->processes[request.process], request.fingerprint, request.granter, true);
            } else if (!request.doneAt && this->clock.now() >= request.nextTry) {
                this->tryHarmless(number);
            }
        }
    }

    void advance()
    {
        this->clock.advance(step);
        const auto perStep = std::chrono::duration<double> { step }.count();
        this->noticeCrashes();
        if (this->random.unit() < this->options.crashingPerSecond * perStep)
            this->sendCrashing();
        if (this->random.unit() < this->options.harmlessPerSecond * perStep)
            this->harmless.push_back({ .fingerprint = 100 + this->harmless.size(),
                .since = this->clock.now(),
                .nextTry = this->clock.now() });
        this->advanceHarmless();
        for (auto& process : this->processes) {
            if (this->isFrozen(process))
                continue;
            this->exchange(process);
            this->exchangeWithStore(process);
        }
    }
};

} // namespace chivewinch::suspect
