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

/** A request that asks for a target. */
struct Applicant {
    QueuedRequest request;
    std::string pool;
    std::uint64_t prefixHash = 0;
    std::uint32_t attempt = 1;
    std::vector<base::TargetId> excluded;
    /** Called once: with the target, whose attempt has been started in the router, or with nothing if it is too late.
     */
    std::function<void(const std::optional<Choice>&)> notify;
};

/** Requests that wait for a target, by pool. Not thread-safe. */
class WaitingRoom {
public:
    explicit WaitingRoom(QueueOptions options)
        : options { std::move(options) }
    {
    }

    /** Takes the applicant in (None) or refuses it. */
    [[nodiscard]] base::RefusalReason enter(Applicant applicant, base::SteadyTime now);
    /** Takes a request out whose caller has gone or that has been given up. */
    void leave(const std::string& pool, const base::RequestId& request, base::SteadyTime now);
    /** An attempt of the pool has ended. */
    void served(const std::string& pool, base::SteadyTime now);
    /** Starts waiting requests on targets with free capacity and refuses those that cannot start in time. */
    void advance(Router& router, base::SteadyTime now);

    [[nodiscard]] std::size_t size() const noexcept { return this->applicants.size(); }

private:
    QueueOptions options;
    std::map<std::string, AdmissionQueue> queues;
    std::unordered_map<base::RequestId, Applicant> applicants;

    void advancePool(AdmissionQueue& queue, Router& router, base::SteadyTime now);
};

} // namespace chivewinch::routing
