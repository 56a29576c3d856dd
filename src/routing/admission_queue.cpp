#include "routing/admission_queue.hpp"

#include <algorithm>
#include <utility>

namespace chivewinch::routing {

namespace internal {

// Minimum busy time in the rate window; a shorter one does not give a reliable rate estimate.
constexpr double minBusyMicroseconds = 50'000;

std::chrono::nanoseconds estimateWait(std::size_t requests, double rate) noexcept
{
    if (rate <= 0)
        return std::chrono::nanoseconds { 0 };
    return std::chrono::nanoseconds { static_cast<std::int64_t>(1e9 * static_cast<double>(requests) / rate) };
}

} // namespace internal

AdmissionQueue::AdmissionQueue(QueueOptions options)
    : options { std::move(options) }
    , servedWhileBusy { this->options.rateWindow }
    , busyMicroseconds { this->options.rateWindow }
{
}

AdmissionQueue::OwnerQueue& AdmissionQueue::findOrAddOwner(const base::OwnerId& owner)
{
    const auto [found, added] = this->owners.try_emplace(this->options.fairOwners ? owner : base::OwnerId {});
    if (!added)
        return found->second;
    const auto weight = this->options.ownerWeights.find(owner);
    found->second.weight = weight == this->options.ownerWeights.end() ? 1 : weight->second;
    return found->second;
}

std::size_t AdmissionQueue::rankOf(std::uint8_t priority) const noexcept
{
    return this->options.usePriorities ? rankCount - 1 - std::min<std::size_t>(priority, rankCount - 1) : 0;
}

void AdmissionQueue::accountBusyTime(base::SteadyTime now) noexcept
{
    const auto passed
        = std::chrono::duration_cast<std::chrono::microseconds>(now - this->busyTimeAccountedUntil).count();
    this->busyTimeAccountedUntil = now;
    if (!this->positions.empty() && passed > 0)
        this->busyMicroseconds.add(now, static_cast<std::uint32_t>(std::min<std::int64_t>(passed, 60'000'000)));
}

void AdmissionQueue::served(base::SteadyTime now)
{
    this->accountBusyTime(now);
    // Counts only while requests wait: with an empty queue, the completion rate measures the load, not the capacity.
    if (!this->positions.empty())
        this->servedWhileBusy.add(now);
}

double AdmissionQueue::rateOf(const OwnerQueue& owner, base::SteadyTime now)
{
    const auto busy = static_cast<double>(this->busyMicroseconds.total(now));
    if (busy < internal::minBusyMicroseconds)
        return 0;
    double weights = 0;
    for (const auto& [name, other] : this->owners)
        if (&other == &owner || !other.waiting.empty())
            weights += other.weight;
    return static_cast<double>(this->servedWhileBusy.total(now)) / (busy * 1e-6) * owner.weight / weights;
}

std::chrono::nanoseconds AdmissionQueue::expectedWait(
    const base::OwnerId& ownerName, std::uint8_t priority, base::SteadyTime now)
{
    this->accountBusyTime(now);
    auto& owner = this->findOrAddOwner(ownerName);
    std::size_t ahead = 0;
    for (std::size_t rank = 0; rank <= this->rankOf(priority); ++rank)
        ahead += owner.waitingByRank[rank];
    return internal::estimateWait(ahead + 1, this->rateOf(owner, now));
}

base::RefusalReason AdmissionQueue::offer(const QueuedRequest& request, base::SteadyTime now)
{
    this->accountBusyTime(now);
    if (request.deadline <= now)
        return base::RefusalReason::DeadlinePassed;
    if (this->positions.size() >= this->options.maxSize)
        return base::RefusalReason::Overload;
    if (this->options.checkDeadlines
        && now + this->expectedWait(request.owner, request.priority, now) > request.deadline)
        return base::RefusalReason::QueueDeadline;
    auto& owner = this->findOrAddOwner(request.owner);
    if (owner.waiting.empty())
        owner.virtualTime = std::max(owner.virtualTime, this->currentVirtualTime);
    const Position position { .rank = this->rankOf(request.priority), .arrival = ++this->arrivals };
    if (this->positions.try_emplace(request.id, &owner, position).second) {
        owner.waiting.emplace(position, request);
        ++owner.waitingByRank[position.rank];
    }
    return base::RefusalReason::None;
}

const AdmissionQueue::OwnerQueue* AdmissionQueue::nextOwner() const
{
    const OwnerQueue* next = nullptr;
    for (const auto& [name, owner] : this->owners)
        if (!owner.waiting.empty() && (next == nullptr || owner.virtualTime < next->virtualTime))
            next = &owner;
    return next;
}

const QueuedRequest* AdmissionQueue::front() const
{
    const auto* owner = this->nextOwner();
    return owner == nullptr ? nullptr : &owner->waiting.begin()->second;
}

void AdmissionQueue::pop(base::SteadyTime now)
{
    this->accountBusyTime(now);
    const auto* request = this->front();
    if (request == nullptr)
        return;
    auto& owner = *this->positions.at(request->id).first;
    this->currentVirtualTime = owner.virtualTime;
    owner.virtualTime += 1 / owner.weight;
    this->remove(owner, owner.waiting.begin());
}

void AdmissionQueue::remove(OwnerQueue& owner, std::map<Position, QueuedRequest>::iterator item)
{
    --owner.waitingByRank[item->first.rank];
    this->positions.erase(item->second.id);
    owner.waiting.erase(item);
}

std::vector<QueuedRequest> AdmissionQueue::expire(base::SteadyTime now)
{
    this->accountBusyTime(now);
    std::vector<QueuedRequest> expired;
    for (auto& [name, owner] : this->owners)
        this->expireOwner(owner, now, expired);
    return expired;
}

void AdmissionQueue::expireOwner(OwnerQueue& owner, base::SteadyTime now, std::vector<QueuedRequest>& expired)
{
    const auto rate = this->options.checkDeadlines ? this->rateOf(owner, now) : 0;
    std::size_t ahead = 0;
    for (auto item = owner.waiting.begin(); item != owner.waiting.end();) {
        const auto current = item++;
        // The owner's first request has no other request ahead of it, so its expected wait is 0.
        const auto start = now + internal::estimateWait(ahead, rate);
        if (start < current->second.deadline) {
            ++ahead;
            continue;
        }
        expired.push_back(current->second);
        this->remove(owner, current);
    }
}

bool AdmissionQueue::cancel(const base::RequestId& id, base::SteadyTime now)
{
    this->accountBusyTime(now);
    const auto found = this->positions.find(id);
    if (found == this->positions.end())
        return false;
    auto& owner = *found->second.first;
    this->remove(owner, owner.waiting.find(found->second.second));
    return true;
}

} // namespace chivewinch::routing
