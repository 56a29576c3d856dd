#pragma once

#include "base/clock.hpp"
#include "base/id.hpp"
#include "base/random.hpp"
#include "quota/cold_targets.hpp"
#include "quota/message.hpp"
#include "quota/opening.hpp"
#include "quota/share_owners.hpp"
#include "quota/stated_limits.hpp"
#include "quota/token_bucket.hpp"

#include <array>
#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace chivewinch::quota {

struct TargetLimitsOptions {
    std::string instance; ///< ID of this process.
    /**
     * Time after a change of the members until this process uses a share that it did not own before. It must cover the
     * time in which all processes learn the change, so that the previous owner has stopped by then.
     */
    std::chrono::nanoseconds settleTime { 0 };
    /** Off: every process uses the whole limit by itself. */
    bool divideLimits = true;
};

/** Change of this process's share of a limit, for the log. */
struct ShareChange {
    base::TargetId target;
    std::optional<double> limit; ///< nullopt if the limit has ended.
    std::size_t owners = 0;
    bool isOwner = false;

    bool operator==(const ShareChange&) const = default;
};

/**
 * Keeps the requests of many processes to one target within the limit that the target states for all of them together,
 * and within the rate that it tolerates while it is cold (see ColdTargets).
 *
 * A few members own equal shares of a limit, each as a token bucket. Which ones follows from the list of members alone,
 * so the sum is kept without agreement, whoever is alive or reachable. The other members ask the owners for permits for
 * single requests. The same messages spread what the targets have stated. All owners together allow, within any time T,
 * at most max(limit, owners) + limit * (T + permitLifetime) requests. Not thread-safe.
 */
class TargetLimits {
public:
    /** Time after its request for which a permit is valid. */
    static constexpr std::chrono::milliseconds permitLifetime { 600 };
    /** Longest pause between two calls of advance while the process runs. */
    static constexpr std::chrono::milliseconds maxStall { 300 };
    /** Mean pause between two queries to the owners. */
    static constexpr std::chrono::milliseconds queryInterval { 500 };
    /**
     * Pause until the next query. Pauses vary: tokens that are refilled in step with the queries of one process would
     * always go to that process.
     */
    [[nodiscard]] static std::chrono::milliseconds queryPause(base::RandomSource& random);

    explicit TargetLimits(TargetLimitsOptions options);

    /** See ShareOwners::setRegisteredBefore. Only the rates of cold targets use it. */
    void setRegisteredBefore() noexcept { this->owners.setRegisteredBefore(); }
    /** Replaces the processes among which the limits are divided. Without a call, this process owns no share. */
    void setMembers(std::vector<Member> newMembers, base::SteadyTime now);
    void setTargets(std::map<base::TargetId, LimitedTarget> listed, base::SteadyTime now);

    /** Applies what an answer of a target states; see StatedLimits::observe. */
    LimitChange observe(const base::TargetId& target, base::Incarnation incarnation, std::optional<double> limit,
        base::SteadyTime sentAt, base::SteadyTime now);
    bool recordInvalid(const base::TargetId& target, std::string_view value)
    {
        return this->statements.recordInvalid(target, value);
    }

    /** Rates of cold targets, and which targets are cold. */
    [[nodiscard]] ColdTargets& coldTargets() noexcept { return this->cold; }

    [[nodiscard]] bool isLimited(const base::TargetId& target) const;
    /** True if this process may send a request now. If not, the next query asks for a permit. */
    [[nodiscard]] bool mayStart(const base::TargetId& target, base::SteadyTime now);
    void recordStart(const base::TargetId& target, base::SteadyTime now);
    /** Time at which the request after `index` others may be sent; nullopt if the target has no limit. */
    [[nodiscard]] std::optional<Opening> opening(
        const base::TargetId& target, std::size_t index, base::SteadyTime now) const;

    /** The owner to ask next, and the query; nullopt if there is nothing to ask. Call it after each queryPause. */
    [[nodiscard]] std::optional<std::pair<std::string, LimitQuery>> nextQuery(base::SteadyTime now);
    /** Must be called by a timer. After a pause of more than maxStall, this process counts as having been frozen. */
    void advance(base::SteadyTime now);

    /**
     * Answers the query of another process. Queries that arrived while this process was frozen get an empty answer: the
     * ages in them are not known any more.
     */
    [[nodiscard]] LimitAnswer answer(const LimitQuery& query, base::SteadyTime now);
    /** Applies the answer to a query that was sent at the given time. */
    void apply(const LimitAnswer& answer, base::SteadyTime sentAt, base::SteadyTime now);
    /** Must be called after this process was suspended: its permits may be used already. */
    void dropPermits() noexcept;

    /** Changes since the last call. */
    [[nodiscard]] std::vector<ShareChange> takeChanges() { return std::exchange(this->changes, {}); }

private:
    /** Share of one target's limit. It is kept after the limit has ended, so that other processes are told. */
    struct Share {
        std::optional<double> limit;
        std::vector<std::string> owners;
        bool isOwner = false;
        base::SteadyTime ownerFrom {}; ///< Start of the use of the own share.
        TokenBucket bucket;
        base::SteadyTime permitUntil {};
        /** Times of the last two requests of this process that found the limit used up, newest first. */
        std::array<base::SteadyTime, 2> blockedAt {};
        base::SteadyTime askedAt {}; ///< Last request of this process for which the target was considered.
        base::SteadyTime opensAt {}; ///< As reported by an owner.
    };

    TargetLimitsOptions options;
    StatedLimits statements;
    ShareOwners owners;
    ColdTargets cold;
    std::map<base::TargetId, LimitedTarget> targets;
    std::map<base::TargetId, Share> shares;
    std::vector<ShareChange> changes;
    base::SteadyTime advancedAt {};
    base::SteadyTime stalledUntil {}; ///< Messages from the time of a freeze may be read until then.
    /** Rotates through the owners. It starts at another number in each process, so that they ask different owners. */
    std::size_t queries = 0;

    void refreshAll(base::SteadyTime now);
    void refresh(const base::TargetId& target, base::SteadyTime now);
    [[nodiscard]] bool mayStartByStatement(const base::TargetId& target, base::SteadyTime now);
    [[nodiscard]] std::optional<Opening> openingByStatement(
        const base::TargetId& target, std::size_t index, base::SteadyTime now) const;
    [[nodiscard]] std::size_t maxOwners(double limit) const noexcept;
    [[nodiscard]] Share* findLimited(const base::TargetId& target);
    [[nodiscard]] const Share* findLimited(const base::TargetId& target) const;
    [[nodiscard]] LimitReport report(const base::TargetId& target, base::SteadyTime now) const;
    /** @param reportedAt Time to which the ages in the report refer. */
    void merge(const LimitReport& report, base::SteadyTime reportedAt, base::SteadyTime now);
    [[nodiscard]] static std::uint32_t demandOf(const Share& share, base::SteadyTime now);
    /** Takes a token for the sender of the query. */
    [[nodiscard]] static bool lend(Share& share, std::uint32_t demand, base::SteadyTime now);
    [[nodiscard]] static bool hasOwnToken(const Share& share, base::SteadyTime now) noexcept;
};

} // namespace chivewinch::quota
