#pragma once

#include "base/clock.hpp"
#include "base/id.hpp"
#include "base/random.hpp"
#include "base/reason.hpp"
#include "gateway/target_notices.hpp"
#include "membership/listed_targets.hpp"
#include "quota/target_limits.hpp"
#include "routing/pool_queues.hpp"
#include "routing/router.hpp"

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace chivewinch::gateway {

/** A request that needs a target. */
struct TargetRequest {
    base::RequestId id;
    std::string pool;
    std::string team;
    std::uint32_t priority = 0; ///< 0 is the most important.
    std::uint32_t attempt = 1;
    std::vector<base::TargetId> excluded;
    base::SteadyTime latestStart {};
    bool mayWait = true; ///< Off: the request is refused if no target is available now.
};

struct DispatcherOptions {
    routing::RouterOptions router;
    routing::QueueOptions queue;
    quota::TargetLimitsOptions limits;
    /** Minimum and maximum retry delay for a refused caller while its pool answers. */
    std::chrono::milliseconds minRetryAfter { 100 };
    std::chrono::milliseconds maxRetryAfter { 800 };
    /** Maximum retry delay as a share of the caller's remaining time; callers ignore more than a third. */
    double maxRetryShare = 0.33;
    /**
     * Minimum retry delay during an outage of the pool, as a share of the caller's remaining time. An outage lasts
     * seconds, and a caller retries only once.
     */
    double minRetryShareInOutage = 0.25;
    /** Time until a group of targets that could not run a request is tried again. */
    std::chrono::milliseconds groupRetryTime { 500 };
    /** Number of consecutive failed attempts from which a pool counts as having an outage. */
    std::uint32_t outageThreshold = 4;
};

/** Assigns requests to the targets of the platform's list, or queues them. Not thread-safe. */
class Dispatcher {
public:
    using Notify = std::function<void(const std::optional<routing::Choice>&)>;

    /**
     * With a choice, the request starts at this target now. Without one, reason None means that the request is queued
     * and that notify is called when it leaves the queue; any other reason is a refusal.
     */
    struct Reply {
        std::optional<routing::Choice> choice;
        base::RefusalReason reason = base::RefusalReason::None;
    };

    Dispatcher(DispatcherOptions options, base::RandomSource& random);

    /** Replaces the list of targets. Targets that are leaving get no new requests. */
    void setTargets(const std::vector<membership::ListedTarget>& listed, base::SteadyTime now);
    /** Replaces the zones whose targets get no new requests. Waiting requests go to other targets. */
    void setEvacuatedZones(const std::set<base::ZoneId>& zones, base::SteadyTime now);
    /** Records for how long the target states that it remains cold. */
    void recordColdTime(const membership::ListedTarget& target, base::SteadyTime now);

    [[nodiscard]] Reply request(const TargetRequest& targetRequest, Notify notify, base::SteadyTime now);
    /** Removes a waiting request from the queue. */
    void cancel(const TargetRequest& targetRequest, base::SteadyTime now);
    /** Records the end of an attempt that was assigned a target. */
    void finished(const std::string& pool, const base::TargetId& target, routing::Result result, base::SteadyTime now);
    /**
     * Records that the target has reported that it leaves. It gets no new requests, whatever the list shows.
     * Returns false if this was already known.
     */
    bool markTargetLeaving(const base::TargetId& target, base::Incarnation incarnation, base::SteadyTime now);
    /** Records that the target has asked for no new requests before the given time. */
    void markTargetClosed(
        const base::TargetId& target, base::Incarnation incarnation, base::SteadyTime until, base::SteadyTime now);
    /**
     * Records that the target cannot run requests because of another target of its group. The group gets no requests
     * for groupRetryTime. Returns false if this was known, or if the pool has no targets outside of such groups.
     */
    bool closeGroup(const base::TargetId& target, base::SteadyTime now);
    /** Request limits that the targets state. */
    [[nodiscard]] quota::TargetLimits& targetLimits() noexcept { return this->limits; }
    /** Starts waiting requests for which a target is available; refuses those that can no longer start in time. */
    void advance(base::SteadyTime now);

    /** Sets the number of retries that each window allows in addition to the share of its requests. */
    void setRetryConstant(std::uint32_t constant) { this->router.setRetryConstant(constant); }
    /** Takes one retry from the pool's budget; false if the budget is exhausted. */
    [[nodiscard]] bool allowRetry(std::string_view pool, base::SteadyTime now);
    /** Time after which a refused caller with the given remaining time should retry. */
    [[nodiscard]] std::chrono::milliseconds retryAfter(
        const std::string& pool, std::chrono::milliseconds timeLeft, base::SteadyTime now);

    /** The target if it may get new requests: it is listed, not leaving, and its zone is not evacuated; or nullptr. */
    [[nodiscard]] const membership::ListedTarget* findUsable(const base::TargetId& target) const;
    /** The targets of the pool that may get new requests. */
    [[nodiscard]] std::vector<base::TargetId> usableTargets(std::string_view pool) const;
    [[nodiscard]] std::size_t waitingCount() const noexcept { return this->waitQueue.size(); }

private:
    DispatcherOptions options;
    base::RandomSource& random;
    quota::TargetLimits limits;
    routing::Router router;
    routing::PoolQueues waitQueue;
    TargetNotices notices;
    std::map<base::TargetId, membership::ListedTarget> targets;
    std::set<base::ZoneId> evacuatedZones;
    std::map<std::pair<std::string, std::string>, base::SteadyTime> closedGroups; ///< By pool and group; end.
    std::set<base::TargetId> replacedTargets; ///< Listed, but another target has started at the same address since.
    std::map<std::string, std::uint32_t> consecutiveFailures; ///< By pool.
    /** Times at which refused callers were asked to return to a pool whose targets have used up their limits. */
    std::map<std::string, std::deque<base::SteadyTime>> plannedReturns;

    /** True if a request can wait for a target that has used up its limit. */
    [[nodiscard]] bool opensInTime(const TargetRequest& targetRequest, base::SteadyTime now) const;
    [[nodiscard]] std::chrono::milliseconds planReturn(const std::string& pool, base::SteadyTime now);
    [[nodiscard]] bool isGroupClosed(const membership::ListedTarget& target, base::SteadyTime now) const;
    [[nodiscard]] bool isUsable(const membership::ListedTarget& target) const;
    void rebuildRouter(const std::vector<membership::ListedTarget>& listed, base::SteadyTime now);
    /** Rebuilds the router with the known targets. */
    void rebuildRouter(base::SteadyTime now);
};

} // namespace chivewinch::gateway
