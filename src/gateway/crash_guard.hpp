#pragma once

#include "base/clock.hpp"
#include "base/random.hpp"
#include "gateway/silence_watch.hpp"
#include "gateway/strike_exchange.hpp"
#include "quota/owners.hpp"
#include "suspect/shared_strikes.hpp"
#include "suspect/strike_table.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace chivewinch::gateway {

/** Whether a request may be sent to targets. */
enum class CrashVerdict : std::uint8_t {
    Allowed,
    Trial, ///< May be sent to one target, to find out whether it still crashes targets.
    Blocked,
};

/** A trial of a blocked fingerprint. */
struct Trial {
    std::string granter; ///< Process that has granted it.
};

/** How a trial ended whose run has not crashed its target. */
enum class TrialEnd : std::uint8_t {
    Completed,
    Undecided, ///< Not run, or answered with a failure.
};

/** Keeps requests that crash the targets that run them from being sent to more targets, and limits the damage. */
class CrashGuard {
public:
    /** @param relay Connection to the other processes; nullptr if there are none. Must outlive the guard. */
    CrashGuard(const boost::asio::any_io_executor& executor, const base::Clock& clock, base::RandomSource& random,
        const suspect::StrikeOptions& strikes, suspect::SharedStrikesOptions sharing, relay::Relay* relay);

    /** Starts to exchange strikes with the other processes. */
    void start();
    void stop();
    void setMembers(std::vector<quota::Member> members) { this->shared.setMembers(std::move(members)); }
    /** Must be called by a timer. */
    void advance(base::SteadyTime now);

    /**
     * Decides on a request; sets trial if the verdict is Trial. Asks another process only if the request is blocked and
     * a trial may be due.
     */
    [[nodiscard]] http::Task<CrashVerdict> admit(std::uint64_t fingerprint, std::optional<Trial>& trial);
    /** Must be called for each trial that does not end with a crash or a silent target. */
    void endTrial(std::uint64_t fingerprint, const Trial& trial, TrialEnd end);
    [[nodiscard]] bool isBlocked(std::uint64_t fingerprint) const
    {
        return this->table.verdict(fingerprint) == suspect::Verdict::Blocked;
    }
    [[nodiscard]] std::size_t strikeCount(std::uint64_t fingerprint) const
    {
        return this->table.strikeCount(fingerprint);
    }
    /** Time after which a trial of a blocked fingerprint may be due, or after which its strikes expire. */
    [[nodiscard]] std::chrono::milliseconds retryAfter(std::uint64_t fingerprint) const;

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
    void recordCrash(
        std::uint64_t fingerprint, const base::TargetId& target, base::Incarnation incarnation, bool isTrial);
    /** Records a run that was given up without an answer. */
    void recordSilence(SilenceWatch::Run run) { this->silence.add(std::move(run)); }

private:
    boost::asio::any_io_executor executor;
    const base::Clock& clock;
    suspect::StrikeTable table;
    suspect::SharedStrikes shared;
    SilenceWatch silence;
    std::chrono::nanoseconds strikeExpiry;
    std::string instance;
    std::unique_ptr<StrikeExchange> exchange;
    std::unordered_map<base::TargetId, std::vector<std::uint64_t>> running; ///< Fingerprints with strikes by target.

    [[nodiscard]] bool isSuspect(std::uint64_t fingerprint) const;
    void sendNews();
};

} // namespace chivewinch::gateway
