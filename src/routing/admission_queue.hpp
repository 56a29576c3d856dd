#pragma once

#include "base/clock.hpp"
#include "base/id.hpp"
#include "base/reason.hpp"
#include "routing/options.hpp"
#include "routing/sliding_counter.hpp"

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

/** Request that waits for a target with free capacity. */
struct QueuedRequest {
    base::RequestId id;
    base::OwnerId owner;
    std::uint8_t priority = 0; ///< 0 to 7; a larger number is more important.
    base::SteadyTime deadline {}; ///< Latest useful start.

    auto operator<=>(const QueuedRequest&) const = default;
};

/**
 * Requests of one pool that wait for capacity. Owners take turns by weight; within an owner the highest priority
 * goes first, and requests of one priority keep their order. Not thread-safe.
 */
class AdmissionQueue {
public:
    explicit AdmissionQueue(QueueOptions options = {});

    /**
     * Takes the request in (None), or states why it is refused as "not run": DeadlinePassed, QueueDeadline (it cannot
     * start in time at the present rate) or Overload (the queue is full).
     */
    [[nodiscard]] base::RefusalReason offer(const QueuedRequest& request, base::SteadyTime now);

    /** Next request to start; nullptr when there is none. Call expire first. */
    [[nodiscard]] const QueuedRequest* front() const;

    /** Takes out the request that front returns, because it is being started. */
    void pop(base::SteadyTime now);

    /** Takes out the requests that can no longer start in time, to be refused at once; O(size). */
    [[nodiscard]] std::vector<QueuedRequest> expire(base::SteadyTime now);

    /** Takes out a request whose caller has gone; false when it does not wait. */
    bool cancel(const base::RequestId& id, base::SteadyTime now);

    /** An attempt of the pool ended, whether it had waited or not. */
    void served(base::SteadyTime now);

    [[nodiscard]] std::size_t size() const noexcept { return this->places.size(); }

    /** Expected wait of a request that arrives now; 0 while the rate of the pool is not known. */
    [[nodiscard]] std::chrono::nanoseconds expectedWait(
        const base::OwnerId& owner, std::uint8_t priority, base::SteadyTime now);

private:
    static constexpr std::size_t rankCount = 8;

    /** Order within an owner: by rank, then by arrival. */
    struct Place {
        std::size_t rank = 0;
        std::uint64_t arrival = 0;

        auto operator<=>(const Place&) const = default;
    };

    struct OwnerQueue {
        double weight = 1;
        double turn = 0; ///< Grows by 1 / weight with each request that is started.
        std::map<Place, QueuedRequest> waiting;
        std::array<std::size_t, rankCount> waitingByRank {};
    };

    using OwnerTable = std::map<base::OwnerId, OwnerQueue>;

    QueueOptions options;
    OwnerTable owners;
    std::unordered_map<base::RequestId, std::pair<OwnerQueue*, Place>> places;
    internal::SlidingCounter servedWhileBusy;
    internal::SlidingCounter busyMicroseconds;
    base::SteadyTime accounted {};
    std::uint64_t arrivals = 0;
    double currentTurn = 0;

    [[nodiscard]] OwnerQueue& ownerOf(const base::OwnerId& owner);
    [[nodiscard]] const OwnerQueue* nextOwner() const;
    [[nodiscard]] std::size_t rankOf(std::uint8_t priority) const noexcept;
    void accountBusyTime(base::SteadyTime now) noexcept;
    [[nodiscard]] double rateOf(const OwnerQueue& owner, base::SteadyTime now);
    void remove(OwnerQueue& owner, std::map<Place, QueuedRequest>::iterator item);
    void expireOwner(OwnerQueue& owner, base::SteadyTime now, std::vector<QueuedRequest>& expired);
};

} // namespace chivewinch::routing
