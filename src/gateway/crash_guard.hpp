#pragma once

#include "base/clock.hpp"
#include "base/random.hpp"
#include "gateway/silence_watch.hpp"
#include "gateway/strike_exchange.hpp"
#include "gateway/strike_store.hpp"
#include "quota/owners.hpp"
#include "suspect/shared_strikes.hpp"
#include "suspect/strike_table.hpp"
#include "suspect/suspect_features.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace chivewinch::gateway {

/** Whether a request may be sent to targets. */
enum class CrashVerdict : std::uint8_t {
    Allowed,
    Trial, ///< May be sent to one target, to find out whether it still crashes targets.
    Blocked,
};

/** What a request has in common with others. */
struct RequestFeatures {
    std::uint64_t fingerprint = 0; ///< Of the whole request, which can also crash targets in some of its runs only.
    std::vector<suspect::Feature> all; ///< The shared parts of its prompt, in order, and the whole request.
    std::string_view team;
};

/** A trial of a blocked request. */
struct Trial {
    std::uint64_t feature = 0; ///< Fingerprint of the request, or what blocks one of its features.
    bool isOfFeature = false; ///< Of a feature that crashes each target that begins to answer it.
    std::string granter; ///< Process that has granted it.
};

/** What ended a run that can have crashed its target. */
struct CrashedRun {
    base::TargetId target;
    base::Incarnation incarnation {};
    std::optional<Trial> trial;
    bool targetEnded = false; ///< The process of the target has ended, not only the connection.
};

/** How a trial ended whose run has not crashed its target. */
enum class TrialEnd : std::uint8_t {
    Completed,
    Undecided, ///< Not run, or answered with a failure.
};

/** Table in which strikes outlast the processes. */
struct StrikeRows {
    watch::RowFeed* feed = nullptr; ///< Nullptr for none.
    watch::RowSink* sink = nullptr;
};

/** Keeps requests that crash the targets that run them from being sent to more targets, and limits the damage. */
class CrashGuard {
public:
    /**
     * @param relay Connection to the other processes; nullptr if there are none. Must outlive the guard.
     * @param rows Must outlive the guard.
     */
    CrashGuard(const boost::asio::any_io_executor& executor, const base::Clock& clock, base::RandomSource& random,
        const suspect::StrikeOptions& strikes, suspect::SharedStrikesOptions sharing, relay::Relay* relay,
        StrikeRows rows = {});

    /** Starts to exchange strikes with the other processes and with the store. */
    void start();
    void stop();
    void setMembers(const std::vector<quota::Member>& members);
    /** True if the strikes that outlast processes were read, or if the time for that has passed. */
    [[nodiscard]] bool isSettled() const { return !this->store || this->store->isSettled(); }
    /** Must be called by a timer. */
    void advance(base::SteadyTime now);

    /**
     * Decides on a request, once the strikes are settled; sets trial if the verdict is Trial. Asks another process only
     * if the request is blocked and a trial may be due.
     */
    [[nodiscard]] http::Task<CrashVerdict> admit(const RequestFeatures& features, std::optional<Trial>& trial);
    /** Must be called for each trial that does not end with a crash or a silent target. */
    void endTrial(const Trial& trial, TrialEnd end);
    /** @param trial Trial that the request is; it is not blocked by the feature that is tried. */
    [[nodiscard]] bool isBlocked(const RequestFeatures& features, const std::optional<Trial>& trial) const;
    [[nodiscard]] std::size_t strikeCount(std::uint64_t fingerprint) const
    {
        return this->table.strikeCount(fingerprint);
    }
    /** Index of the first feature that is blocked; nullopt if none is. */
    [[nodiscard]] std::optional<std::size_t> blockedFeature(const RequestFeatures& features) const;
    /** Time after which a trial of what blocks the request may be due, or after which its strikes expire. */
    [[nodiscard]] std::chrono::milliseconds retryAfter(const RequestFeatures& features) const;

    /**
     * Targets that an attempt should avoid: for a fingerprint with strikes of two crashes or more, those that it may
     * have crashed and those that run another such one.
     */
    [[nodiscard]] std::vector<base::TargetId> targetsToAvoid(std::uint64_t fingerprint) const;
    /**
     * Targets that a trial should avoid, the best choice first. Trials of different fingerprints are kept apart, so
     * that none fails because of another one.
     */
    [[nodiscard]] std::vector<std::vector<base::TargetId>> targetsToAvoidInTrial(
        std::uint64_t fingerprint, const std::vector<base::TargetId>& targets) const;
    void started(std::uint64_t fingerprint, const base::TargetId& target);
    void finished(std::uint64_t fingerprint, const base::TargetId& target);

    void recordAnswer(const base::TargetId& target, base::SteadyTime now) { this->silence.recordAnswer(target, now); }
    void recordCrash(const RequestFeatures& features, const CrashedRun& run);
    /** Records that a run with these features has crashed nothing. */
    void recordRun(std::span<const suspect::Feature> features);
    /** Records a run that was given up without an answer. */
    void recordSilence(SilenceWatch::Run run) { this->silence.add(std::move(run)); }

private:
    boost::asio::any_io_executor executor;
    const base::Clock& clock;
    suspect::StrikeTable table;
    suspect::SharedStrikes shared;
    suspect::SuspectFeatures suspects;
    SilenceWatch silence;
    std::chrono::nanoseconds strikeExpiry;
    std::string instance;
    std::unique_ptr<StrikeExchange> exchange;
    std::unique_ptr<StrikeExchange> featureExchange;
    suspect::StrikeArchive archive;
    std::unique_ptr<StrikeStore> store;
    std::unordered_map<base::TargetId, std::vector<std::uint64_t>> running; ///< Fingerprints with strikes by target.

    [[nodiscard]] bool isSuspect(std::uint64_t fingerprint) const;
    [[nodiscard]] bool isBlocked(std::uint64_t fingerprint) const
    {
        return this->table.verdict(fingerprint) == suspect::Verdict::Blocked;
    }
    /** Asks the granters for the trial; sets its granter. Nullopt if none of them answers. */
    [[nodiscard]] http::Task<std::optional<bool>> askForTrial(Trial& trial);
    void recordStrike(
        std::uint64_t fingerprint, const base::TargetId& target, base::Incarnation incarnation, bool isTrial);
    [[nodiscard]] suspect::SharedStrikes& sharingOf(const Trial& trial);
    [[nodiscard]] StrikeExchange* exchangeOf(const Trial& trial) const;
    void sendNews();
};

} // namespace chivewinch::gateway
