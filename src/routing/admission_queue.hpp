#pragma once

#include "base/clock.hpp"
#include "base/id.hpp"
#include "base/reason.hpp"
#include "routing/options.hpp"
#include "routing/sliding_window_counter.hpp"

#include <array>
#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

namespace chivewinch::routing {

/** Request waiting for a target with free capacity. */
struct QueuedRequest {
    base::RequestId id;
    base::OwnerId owner;
    std::uint8_t priority = 0; ///< 0 to 7; a larger number is more important.
    base::SteadyTime deadline {}; ///< The request is refused if it cannot start before this time.

    auto operator<=>(const QueuedRequest&) const = default;
};

/**
 * Queue of the requests of one pool that wait for capacity. Uses weighted fair queueing between owners. Within an
 * owner, requests start by descending priority, and in order of arrival within a priority. Not thread-safe.
 */
class AdmissionQueue {
public:
    explicit AdmissionQueue(QueueOptions options = {});

    /**
     * Enqueues the request and returns None, or returns the reason for refusing it as "not run": DeadlinePassed,
     * QueueDeadline (the request cannot start before its deadline at the current rate) or Overload (the queue is full).
     */
    [[nodiscard]] base::RefusalReason offer(const QueuedRequest& request, base::SteadyTime now);

    /** Next request to start; nullptr if the queue is empty. Call expire first. */
    [[nodiscard]] const QueuedRequest* front() const;

    /** Removes the request that front returns, because it is being started. */
    void pop(base::SteadyTime now);

    /** Removes and returns the requests that can no longer start in time; the caller refuses them at once. O(size). */
    [[nodiscard]] std::vector<QueuedRequest> expire(base::SteadyTime now);

    /** Removes a request whose caller has disconnected; returns false if the request is not in the queue. */
    bool cancel(const base::RequestId& id, base::SteadyTime now);

    /** Records the end of an attempt of the pool, whether or not its request was queued. */
    void served(base::SteadyTime now);

    [[nodiscard]] std::size_t size() const noexcept { return this->positions.size(); }

    /** Expected wait of a request that arrives now; 0 while the rate of the pool is unknown. */
    [[nodiscard]] std::chrono::nanoseconds expectedWait(
        const base::OwnerId& owner, std::uint8_t priority, base::SteadyTime now);

private:
    static constexpr std::size_t rankCount = 8;

    /** Sort key within an owner: by rank (0 is the highest priority), then by order of arrival. */
    struct Position {
        std::size_t rank = 0;
        std::uint64_t arrival = 0;

        auto operator<=>(const Position&) const = default;
    };

    struct OwnerQueue {
        double weight = 1;
        double virtualTime = 0; ///< Increases by 1 / weight for each started request.
        std::map<Position, QueuedRequest> waiting;
        std::array<std::size_t, rankCount> waitingByRank {};
    };

    using OwnerTable = std::map<base::OwnerId, OwnerQueue>;

    QueueOptions options;
    OwnerTable owners;
    std::unordered_map<base::RequestId, std::pair<OwnerQueue*, Position>> positions;
    internal::SlidingWindowCounter servedWhileBusy;
    internal::SlidingWindowCounter busyMicroseconds;
    base::SteadyTime busyTimeAccountedUntil {};
    std::uint64_t arrivals = 0;
    double currentVirtualTime = 0;

    [[nodiscard]] OwnerQueue& findOrAddOwner(const base::OwnerId& owner);
    [[nodiscard]] const OwnerQueue* nextOwner() const;
    [[nodiscard]] std::size_t rankOf(std::uint8_t priority) const noexcept;
    void accountBusyTime(base::SteadyTime now) noexcept;
    [[nodiscard]] double rateOf(const OwnerQueue& owner, base::SteadyTime now);
    void remove(OwnerQueue& owner, std::map<Position, QueuedRequest>::iterator item);
    void expireOwner(OwnerQueue& owner, base::SteadyTime now, std::vector<QueuedRequest>& expired);
};

} // namespace chivewinch::routing
