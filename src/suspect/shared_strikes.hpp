#pragma once

#include "base/clock.hpp"
#include "base/id.hpp"
#include "base/random.hpp"
#include "quota/owners.hpp"
#include "suspect/strike_message.hpp"
#include "suspect/strike_table.hpp"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace chivewinch::suspect {

/** Settings of SharedStrikes. */
struct SharedStrikesOptions {
    std::string instance; ///< ID of this process.
    /** Processes to which the first strike of a fingerprint is reported, so that crashes seen by different ones add up.
     */
    std::size_t collectors = 3;
    /** Crashes from which the strikes of a fingerprint are passed on to all processes. */
    std::size_t crashesToSpread = 2;
    /** Processes to which this process passes on a strike that is new to it. */
    std::uint32_t repeats = 6;
    std::size_t maxStrikes = 128; ///< Per message.
    std::size_t maxAllStrikes = 512; ///< In the answer to a process that asks for all.
    /** Pause between two comparisons with another process, which find what got lost. */
    std::chrono::milliseconds comparePause { 1'000 };
    /** Processes with which this process compares, so that the number of connections does not grow with all of them. */
    std::size_t comparePeers = 6;
    /** Consecutive differing comparisons after which all strikes are requested. */
    std::uint32_t differencesToRequestAll = 2;
    /** Time for which a process that has not answered gets no messages. */
    std::chrono::milliseconds unreachableTime { 2'000 };
    /**
     * Wait from the last crash of a blocked fingerprint to its next trial if none, one, ... of its trials have failed.
     * There are none after that many failures.
     */
    std::array<std::chrono::milliseconds, 3> trialDelays { std::chrono::milliseconds { 1'000 },
        std::chrono::milliseconds { 1'500 }, std::chrono::milliseconds { 4'000 } };
    /**
     * Wait for a trial if only one of the crashes is of this fingerprint alone, so that others can be the
     * cause; nullopt for the same.
     */
    std::optional<std::chrono::milliseconds> ambiguousTrialDelay;
    /** Time that processes have to learn of the crash that blocks a fingerprint; then the bound holds. */
    std::chrono::milliseconds learnTime { 0 };
    /** Failed trials after the learn time from which there are none any more. */
    std::size_t maxLateFailures = 2;
    /** Time after which a trial without a result no longer counts as running. */
    std::chrono::nanoseconds trialTime { std::chrono::seconds { 10 } };
    /** Trials that must complete in a row until the block is lifted. */
    std::size_t trialsToClear = 32;
    /** Completed trials for each further one that may run at the same time. */
    std::size_t trialsPerParallel = 8;
    /** Off: each process counts the crashes that it has seen itself. */
    bool share = true;
};

/**
 * Keeps the bound on crashes by one fingerprint over many processes. Each process reports a crash that it has seen to a
 * few collectors, which follow from the fingerprint. A fingerprint with crashes of more than one run is made known to
 * all processes: each one passes on what is new to it, and compares what it knows with another one from time to time.
 *
 * A blocked fingerprint can be harmless: it may have been in flight each time next to another one. It is therefore run
 * again in trials, which one process grants for all. Other runs that complete prove nothing, since equal requests of
 * different callers share a fingerprint and a request can crash only some of its runs. Not thread-safe.
 */
class SharedStrikes {
public:
    /** A message to another process; must be passed to delivered or failed afterwards. */
    struct Outgoing {
        std::string instance;
        StrikeMessage message;
        bool isForCollector = false;
    };

    SharedStrikes(
        const base::Clock& clock, base::RandomSource& random, StrikeTable& table, SharedStrikesOptions options);

    /** Replaces the processes that share strikes. */
    void setMembers(std::vector<quota::Member> newMembers) { this->members = std::move(newMembers); }

    void recordCrash(
        std::uint64_t fingerprint, const base::TargetId& target, base::Incarnation incarnation, bool isTrial);

    /** Clears the strikes of a fingerprint that has completed a run, in all processes. */
    void recordCompletion(std::uint64_t fingerprint);

    /** Takes over strikes that were kept outside of the processes. They are not passed on. */
    void restore(const StrikeList& strikes) { (void)this->table.merge(strikes); }
    /** Strikes that all processes should know. */
    [[nodiscard]] StrikeList sharedStrikes() const
    {
        return this->table.reportsWith(this->options.crashesToSpread, this->options.maxAllStrikes);
    }
    /** True if this process keeps the strikes of the fingerprint outside of the processes; two reachable ones do. */
    [[nodiscard]] bool isKeeper(std::uint64_t fingerprint) const;

    /** The next message to send; nullopt if there is none now. */
    [[nodiscard]] std::optional<Outgoing> next();
    void delivered(const Outgoing& outgoing, const StrikeMessage& answer);
    void failed(const Outgoing& outgoing);
    [[nodiscard]] StrikeMessage answer(const StrikeMessage& message);
    /** True if next has strikes to send, not only a comparison. */
    [[nodiscard]] bool hasNews() const noexcept { return !this->pending.empty(); }

    /** Time from which a blocked fingerprint may have a trial; nullopt if it gets none until its strikes expire. */
    [[nodiscard]] std::optional<base::SteadyTime> trialAt(std::uint64_t fingerprint) const;
    /**
     * Processes that grant trials of the fingerprint; the second one is asked if the first does not answer. It may
     * grant fewer, so that both together keep the bound if they do not reach each other.
     */
    [[nodiscard]] std::vector<std::string> trialGranters(std::uint64_t fingerprint) const;
    [[nodiscard]] bool isReachable(const std::string& instance) const;
    /**
     * The target, of these, on which the next trial of the fingerprint should run; nullopt if there are none. All
     * processes choose the same one.
     */
    [[nodiscard]] std::optional<base::TargetId> trialTarget(
        std::uint64_t fingerprint, std::span<const base::TargetId> targets) const;
    /** Those of the targets on which trials of other fingerprints should run. */
    [[nodiscard]] std::vector<base::TargetId> targetsOfOtherTrials(
        std::uint64_t fingerprint, std::span<const base::TargetId> targets) const;
    /** Request for a trial, to be sent to a granter. */
    [[nodiscard]] StrikeMessage trialRequest(std::uint64_t fingerprint);
    /** Must only be called on a granter. */
    [[nodiscard]] bool grantTrial(std::uint64_t fingerprint);
    /** Takes back a trial that has shown nothing; must only be called on the process that has granted it. */
    void returnTrial(std::uint64_t fingerprint);
    /** Records that a trial has completed; must only be called on the process that has granted it. */
    void completeTrial(std::uint64_t fingerprint);

private:
    /** What remains to be done to make a strike known. */
    struct Pending {
        std::vector<std::string> collectors; ///< That have not been told.
        std::vector<std::string> told;
        std::uint32_t repeats = 0;
    };

    const base::Clock& clock;
    base::RandomSource& random;
    StrikeTable& table;
    SharedStrikesOptions options;
    std::vector<quota::Member> members;
    std::map<Strike, Pending> pending;
    std::map<Strike, bool> spread; ///< Strikes that were made known to all, with the state that was made known.
    std::map<std::string, base::SteadyTime> unreachableUntil;
    /** Trials of one fingerprint that this process has granted. */
    struct Trials {
        std::vector<base::SteadyTime> running; ///< When they were granted, in order.
        std::size_t failed = 0; ///< Trials of all granters that are known to have failed.
        std::size_t completed = 0; ///< Since the last failure.
    };

    base::SteadyTime startedAt;
    std::map<std::uint64_t, Trials> trials;
    base::SteadyTime nextComparison {};
    std::uint32_t differences = 0;
    mutable std::optional<std::uint64_t> digestVersion; ///< Version of the table to which knownDigest applies.
    mutable std::uint64_t knownDigest = 0;
    bool hasCompared = false;

    [[nodiscard]] std::vector<quota::Member> reachableMembers() const;
    [[nodiscard]] std::vector<std::string> chooseMembers(std::uint64_t fingerprint, std::size_t count) const;
    [[nodiscard]] std::vector<quota::Member> reachablePeers() const;
    [[nodiscard]] std::optional<std::string> randomPeer();
    [[nodiscard]] std::optional<std::string> comparePeer();
    /** Digest of the strikes that all processes should know. */
    [[nodiscard]] std::uint64_t digest() const;
    /** Number of trials that failed after the learn time. */
    [[nodiscard]] std::size_t lateFailures(std::uint64_t fingerprint) const;
    /** Number of trials that may still fail, as far as this process grants them. */
    [[nodiscard]] std::size_t allowedFailures(std::uint64_t fingerprint) const;
    /** Removes trials that have ended. */
    void updateTrials(std::uint64_t fingerprint, Trials& item) const;
    void recordChanges(std::span<const Strike> changed, bool isOwn);
    void spreadFingerprint(std::uint64_t fingerprint);
    void addCollectors(Pending& item, std::uint64_t fingerprint) const;
    [[nodiscard]] std::optional<Outgoing> nextForCollector();
    [[nodiscard]] std::optional<Outgoing> nextRepeat();
    [[nodiscard]] std::optional<Outgoing> nextComparisonMessage();
    void forgetDonePending();
    void forgetExpired();
};

} // namespace chivewinch::suspect
