#pragma once

#include "base/clock.hpp"
#include "base/id.hpp"
#include "quota/opening.hpp"
#include "quota/share_owners.hpp"
#include "quota/token_bucket.hpp"

#include <chrono>
#include <compare>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace chivewinch::quota {

/** What the targets of a pool tolerate while they are cold, for instance after a start. */
struct ColdRate {
    double requestsPerSecond = 0; ///< From all processes together.
    std::chrono::milliseconds duration {}; ///< Time for which a target is cold after its start.

    auto operator<=>(const ColdRate&) const = default;
};

/** Listed target. */
struct LimitedTarget {
    base::Incarnation incarnation {};
    base::ZoneId zone;
    std::string pool;

    auto operator<=>(const LimitedTarget&) const = default;
};

/** Begin or end of the cold phase of a target, for the log. */
struct ColdChange {
    base::TargetId target;
    bool isCold = false;
    std::size_t owners = 0;
    bool isOwner = false; ///< This process owns a share of the rate.

    bool operator==(const ColdChange&) const = default;
};

/**
 * Keeps the requests of many processes to a cold target within the rate that its pool tolerates.
 *
 * Half of the rate is the number of owners, each of which may send one request at once; the other half is divided among
 * them and refills their token buckets. All processes together therefore start at most the stated rate within any
 * second (1.5 requests if the rate is lower), without messages and whoever is alive or reachable. The other processes
 * send nothing to the target while it is cold. Not thread-safe.
 */
class ColdTargets {
public:
    /** @param dividesRates Off: every process uses the whole rate by itself. */
    explicit ColdTargets(const ShareOwners& shareOwners, bool dividesRates = true)
        : shareOwners { shareOwners }
        , dividesRates { dividesRates }
    {
    }

    /** Replaces the rates by pool. Targets of other pools have no limit while they are cold. */
    void setRates(std::map<std::string, ColdRate> byPool, base::SteadyTime now);
    /** Must be called when the list of targets changes, with all of them. */
    void setTargets(const std::map<base::TargetId, LimitedTarget>& listed, base::SteadyTime now);
    /** Must be called when the members of the share owners change. */
    void refresh(base::SteadyTime now);

    /** Records that the target states how long it remains cold; 0 if it is not cold. */
    void report(const base::TargetId& target, const LimitedTarget& listed, std::chrono::milliseconds remaining,
        base::SteadyTime now);
    /**
     * Treats the targets of a zone that were evacuated as having just started: they may have been cooled down in the
     * meantime, and their own statements are up to a report interval old.
     */
    void markZone(const base::ZoneId& zone, base::SteadyTime now);
    /** Ends cold phases that are over. Must be called by a timer. */
    void advance(base::SteadyTime now);

    /** True if the target's requests are limited because it is cold. */
    [[nodiscard]] bool isLimited(const base::TargetId& target) const { return this->shares.contains(target); }
    /** True if this process may send a request now. */
    [[nodiscard]] bool mayStart(const base::TargetId& target, base::SteadyTime now) const;
    void recordStart(const base::TargetId& target, base::SteadyTime now);
    /** Time at which the request after `index` others may be sent; nullopt if the target is not limited. */
    [[nodiscard]] std::optional<Opening> opening(
        const base::TargetId& target, std::size_t index, base::SteadyTime now) const;

    [[nodiscard]] std::size_t size() const noexcept { return this->shares.size(); }
    /** Changes since the last call. */
    [[nodiscard]] std::vector<ColdChange> takeChanges() { return std::exchange(this->changes, {}); }

private:
    struct Share {
        base::SteadyTime coldUntil {};
        double rate = 0;
        std::size_t owners = 0;
        bool isOwner = false;
        base::SteadyTime usableFrom {};
        bool hasBucket = false; ///< The bucket was configured.
        TokenBucket bucket;
    };

    const ShareOwners& shareOwners;
    bool dividesRates;
    std::map<std::string, ColdRate> rates;
    std::map<base::TargetId, LimitedTarget> targets;
    /** End of the cold phase as last stated; also of targets whose pool has no rate yet. */
    std::map<base::TargetId, base::SteadyTime> coldUntil;
    std::map<base::TargetId, Share> shares; ///< Cold targets of pools with a rate.
    std::vector<ColdChange> changes;

    void update(const base::TargetId& target, base::SteadyTime now);
    void configure(const base::TargetId& target, const LimitedTarget& listed, Share& share, base::SteadyTime now) const;
    void end(std::map<base::TargetId, Share>::iterator share);
};

} // namespace chivewinch::quota
