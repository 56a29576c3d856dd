#pragma once

#include "base/clock.hpp"
#include "base/id.hpp"
#include "base/random.hpp"
#include "base/reason.hpp"
#include "gateway/target_notices.hpp"
#include "membership/listed_targets.hpp"
#include "routing/pool_queues.hpp"
#include "routing/router.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chivewinch::gateway {

/** A request that needs a target. */
struct Demand {
    base::RequestId id;
    std::string pool;
    std::string team;
    std::uint32_t priority = 0; ///< 0 is the most important.
    std::uint32_t attempt = 1;
    std::vector<base::TargetId> excluded;
    base::SteadyTime latestStart {};
};

struct DispatcherOptions {
    routing::RouterOptions router;
    routing::QueueOptions queue;
    /** Shortest and longest time until a refused caller comes back while its pool answers. */
    std::chrono::milliseconds minRetryAfter { 100 };
    std::chrono::milliseconds maxRetryAfter { 800 };
    /** Part of the caller's remaining time that it is asked to wait at most; callers ignore more than a third. */
    double maxRetryShare = 0.33;
    /** The same at least while the pool answers nothing: an outage lasts seconds, and a caller tries again only once.
     */
    double minRetryShareInOutage = 0.25;
    /** Attempts without a success in a row from which on a pool is taken to be out. */
    std::uint32_t outageFailures = 4;
};

/** Gives requests the targets of the platform's list, or lets them wait for one. Not thread-safe. */
class Dispatcher {
public:
    using Notify = std::function<void(const std::optional<routing::Choice>&)>;

    /** Target at once; or, with reason None, a place in the queue, of which notify tells the end; or a refusal. */
    struct Reply {
        std::optional<routing::Choice> choice;
        base::RefusalReason reason = base::RefusalReason::None;
    };

    Dispatcher(DispatcherOptions options, base::RandomSource& random);

    /** Takes over the list; targets that are leaving get nothing new. */
    void setTargets(const std::vector<membership::ListedTarget>& listed, base::SteadyTime now);

    [[nodiscard]] Reply request(const Demand& demand, Notify notify, base::SteadyTime now);
    /** The request no longer waits. */
    void cancel(const Demand& demand, base::SteadyTime now);
    /** An attempt that got a target has ended. */
    void finished(const std::string& pool, const base::TargetId& target, routing::Result result, base::SteadyTime now);
    /** The target has said that it leaves: it gets nothing new, whatever the list shows. False if that was known. */
    bool targetLeaves(const base::TargetId& target, base::Incarnation incarnation, base::SteadyTime now);
    /** The target has asked for nothing new before this time. */
    void targetCloses(
        const base::TargetId& target, base::Incarnation incarnation, base::SteadyTime until, base::SteadyTime now);
    /** Starts waiting requests and refuses those that cannot start in time. */
    void advance(base::SteadyTime now);

    /** Retries in each window of the budget on top of the share of the requests. */
    void setRetryConstant(std::uint32_t constant) { this->router.setRetryConstant(constant); }
    /** Takes one retry from the pool's budget; false when it is spent. */
    [[nodiscard]] bool allowRetry(std::string_view pool, base::SteadyTime now);
    /** Time after which a refused caller with this time left should come back. */
    [[nodiscard]] std::chrono::milliseconds retryAfter(
        const std::string& pool, std::chrono::milliseconds timeLeft, base::SteadyTime now);

    /** The target if it is listed and not leaving; nullptr otherwise. */
    [[nodiscard]] const membership::ListedTarget* usable(const base::TargetId& target) const;
    [[nodiscard]] std::size_t waiting() const noexcept { return this->room.size(); }

private:
    DispatcherOptions options;
    base::RandomSource& random;
    routing::Router router;
    routing::PoolQueues room;
    TargetNotices notices;
    std::map<base::TargetId, membership::ListedTarget> targets;
    std::map<std::string, std::uint32_t> failuresInRow; ///< By pool.

    void useTargets(const std::vector<membership::ListedTarget>& listed, base::SteadyTime now);
};

} // namespace chivewinch::gateway
