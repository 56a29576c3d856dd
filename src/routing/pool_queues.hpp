#pragma once

#include "routing/admission_queue.hpp"
#include "routing/router.hpp"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace chivewinch::routing {

/** Request waiting for a target, with the data needed to choose one. */
struct PendingRequest {
    QueuedRequest request;
    std::string pool;
    std::uint64_t prefixHash = 0;
    std::uint32_t attempt = 1;
    std::vector<base::TargetId> excluded;
    /**
     * Called once, unless the request is removed first: with the chosen target, whose attempt is already started in the
     * router, or with nullopt if the request cannot start in time.
     */
    std::function<void(const std::optional<Choice>&)> notify;
};

/** Requests waiting for a target, with one AdmissionQueue per pool. Not thread-safe. */
class PoolQueues {
public:
    explicit PoolQueues(QueueOptions options)
        : options { std::move(options) }
    {
    }

    /** Enqueues the request and returns None, or returns the reason for refusing it. */
    [[nodiscard]] base::RefusalReason enqueue(PendingRequest pendingRequest, base::SteadyTime now);
    /** Removes a request whose caller has disconnected or given up. */
    void remove(const std::string& pool, const base::RequestId& request, base::SteadyTime now);
    /** Records the end of an attempt of the pool. */
    void served(const std::string& pool, base::SteadyTime now);
    /** Starts queued requests on targets with free capacity and refuses the requests that cannot start in time. */
    void advance(Router& router, base::SteadyTime now);

    [[nodiscard]] std::size_t size() const noexcept { return this->pendingRequests.size(); }
    /** Number of requests that wait for a target of the pool. */
    [[nodiscard]] std::size_t waitingCount(const std::string& pool) const;

private:
    QueueOptions options;
    std::map<std::string, AdmissionQueue> queues;
    std::unordered_map<base::RequestId, PendingRequest> pendingRequests;

    void advancePool(AdmissionQueue& queue, Router& router, base::SteadyTime now);
};

} // namespace chivewinch::routing
