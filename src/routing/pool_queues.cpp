#include "routing/pool_queues.hpp"

#include <utility>

namespace chivewinch::routing {

base::RefusalReason PoolQueues::enqueue(PendingRequest pendingRequest, base::SteadyTime now)
{
    const auto poolQueue = this->queues.try_emplace(pendingRequest.pool, this->options).first;
    const auto reason = poolQueue->second.offer(pendingRequest.request, now);
    if (reason == base::RefusalReason::None) {
        const auto id = pendingRequest.request.id;
        this->pendingRequests.insert_or_assign(id, std::move(pendingRequest));
    }
    return reason;
}

void PoolQueues::remove(const std::string& pool, const base::RequestId& request, base::SteadyTime now)
{
    if (const auto queue = this->queues.find(pool); queue != this->queues.end())
        (void)queue->second.cancel(request, now);
    this->pendingRequests.erase(request);
}

void PoolQueues::served(const std::string& pool, base::SteadyTime now)
{
    if (const auto queue = this->queues.find(pool); queue != this->queues.end())
        queue->second.served(now);
}

std::size_t PoolQueues::waitingCount(const std::string& pool) const
{
    const auto queue = this->queues.find(pool);
    return queue == this->queues.end() ? 0 : queue->second.size();
}

void PoolQueues::advance(Router& router, base::SteadyTime now)
{
    for (auto& [pool, queue] : this->queues)
        this->advancePool(queue, router, now);
}

void PoolQueues::advancePool(AdmissionQueue& queue, Router& router, base::SteadyTime now)
{
    for (const auto& expired : queue.expire(now)) {
        if (const auto node = this->pendingRequests.extract(expired.id))
            node.mapped().notify(std::nullopt);
    }
    while (const auto* front = queue.front()) {
        const auto found = this->pendingRequests.find(front->id);
        if (found == this->pendingRequests.end()) {
            queue.pop(now);
            continue;
        }
        const auto& pendingRequest = found->second;
        const RouteRequest request { .pool = pendingRequest.pool,
            .prefixHash = pendingRequest.prefixHash,
            .attempt = pendingRequest.attempt,
            .excluded = pendingRequest.excluded };
        const auto choice = router.choose(request, now);
        if (!choice)
            return;
        router.started(request, *choice, now);
        queue.pop(now);
        const auto startedRequest = this->pendingRequests.extract(found);
        startedRequest.mapped().notify(choice);
    }
}

} // namespace chivewinch::routing
