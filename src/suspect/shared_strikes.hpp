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
    /** Wait from the last crash of a blocked fingerprint to its first, second, ... trial; there are no more. */
    std::array<std::chrono::milliseconds, 3> trialDelays { std::chrono::milliseconds { 1'000 },
        std::chrono::milliseconds { 1'500 }, std::chrono::milliseconds { 4'000 } };
    /** Time after a trial was granted until another one is, if the first has had no result. */
    std::chrono::nanoseconds trialTime { std::chrono::seconds { 10 } };
    /** Off: each process counts the crashes that it has seen itself. */
    bool share = true;
};

/**
 * Keeps the bound on crashes by one fingerprint over many processes. Each process reports a crash that it has seen to a
 * few collectors, which follow from the fingerprint. A fingerprint with crashes of more than one run is made known to
 * all processes: each one passes on what is new to it, and compares what it knows with another one from time to time.
 *
 * A blocked fingerprint can be harmless: it may have been in flight each time next to another one. It is therefore run
 * again, by one process on behalf of all, after a time that grows with each such trial. Not thread-safe.
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
    /** Records that a target has run the fingerprint to an end. Returns the number of strikes that this clears. */
    std::size_t recordCompletion(std::uint64_t fingerprint);

    /** The next message to send; nullopt if there is none now. */
    [[nodiscard]] std::optional<Outgoing> next();
    void delivered(const Outgoing& outgoing, const StrikeMessage& answer);
    void failed(const Outgoing& outgoing);
    [[nodiscard]] StrikeMessage answer(const StrikeMessage& message);
    /** True if next has strikes to send, not only a comparison. */
    [[nodiscard]] bool hasNews() const noexcept { return !this->pending.empty(); }

    /** Time from which a blocked fingerprint may have a trial; nullopt if it gets none until its strikes expire. */
    [[nodiscard]] std::optional<base::SteadyTime> trialAt(std::uint64_t fingerprint) const;
    /** Processes that grant trials of the fingerprint; the second one is asked if the first does not answer. */
    [[nodiscard]] std::vector<std::string> trialGranters(std::uint64_t fingerprint) const;
    /** Request for a trial, to be sent to a granter. */
    [[nodiscard]] StrikeMessage trialRequest(std::uint64_t fingerprint);
    /** Grants at most one trial at a time; must only be called on a granter. */
    [[nodiscard]] bool grantTrial(std::uint64_t fingerprint);
    /** Takes back a trial in which the fingerprint was not run; must only be called on a granter. */
    void returnTrial(std::uint64_t fingerprint) { this->trialsGranted.erase(fingerprint); }

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
    struct GrantedTrial {
        base::SteadyTime at {};
        std::size_t failedBefore = 0; ///< Trials that had failed when it was granted.
    };

    std::map<std::uint64_t, GrantedTrial> trialsGranted;
    base::SteadyTime nextComparison {};
    std::uint32_t differences = 0;
    mutable std::optional<std::uint64_t> digestVersion; ///< Version of the table to which knownDigest applies.
    mutable std::uint64_t knownDigest = 0;
    bool hasCompared = false;

    [[nodiscard]] bool isReachable(const std::string& instance) const;
    [[nodiscard]] std::vector<quota::Member> reachableMembers() const;
    [[nodiscard]] std::vector<std::string> chooseMembers(std::uint64_t fingerprint, std::size_t count) const;
    [[nodiscard]] std::vector<quota::Member> reachablePeers() const;
    [[nodiscard]] std::optional<std::string> randomPeer();
    [[nodiscard]] std::optional<std::string> comparePeer();
    /** Digest of the strikes that all processes should know. */
    [[nodiscard]] std::uint64_t digest() const;
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
