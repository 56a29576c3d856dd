#include "routing/waiting_room.hpp"

#include <utility>

namespace chivewinch::routing {

base::RefusalReason WaitingRoom::enter(Applicant applicant, base::SteadyTime now)
{
    const auto place = this->queues.try_emplace(applicant.pool, this->options).first;
    const auto reason = place->second.offer(applicant.request, now);
    if (reason == base::RefusalReason::None) {
        const auto id = applicant.request.id;
        this->applicants.insert_or_assign(id, std::move(applicant));
    }
    return reason;
}

void WaitingRoom::leave(const std::string& pool, const base::RequestId& request, base::SteadyTime now)
{
    if (const auto queue = this->queues.find(pool); queue != this->queues.end())
        (void)queue->second.cancel(request, now);
    this->applicants.erase(request);
}

void WaitingRoom::served(const std::string& pool, base::SteadyTime now)
{
    if (const auto queue = this->queues.find(pool); queue != this->queues.end())
        queue->second.served(now);
}

void WaitingRoom::advance(Router& router, base::SteadyTime now)
{
    for (auto& [pool, queue] : this->queues)
        this->advancePool(queue, router, now);
}

void WaitingRoom::advancePool(AdmissionQueue& queue, Router& router, base::SteadyTime now)
{
    for (const auto& expired : queue.expire(now)) {
        if (const auto node = this->applicants.extract(expired.id))
            node.mapped().notify(std::nullopt);
    }
    while (const auto* front = queue.front()) {
        const auto found = this->applicants.find(front->id);
        if (found == this->applicants.end()) {
            queue.pop(now);
            continue;
        }
        const auto& applicant = found->second;
        const RouteRequest request { .pool = applicant.pool,
            .prefixHash = applicant.prefixHash,
            .attempt = applicant.attempt,
            .excluded = applicant.excluded };
        const auto choice = router.choose(request, now);
        if (!choice)
            return;
        router.started(request, *choice, now);
        queue.pop(now);
        const auto granted = this->applicants.extract(found);
        granted.mapped().notify(choice);
    }
}

} // namespace chivewinch::routing
