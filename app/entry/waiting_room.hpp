#pragma once

#include "entry/request_channel.hpp"
#include "routing/admission_queue.hpp"
#include "routing/router.hpp"

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace chivewinch::entry {

/** A request that asks for a target. */
struct Applicant {
    routing::QueuedRequest request;
    std::string pool;
    std::uint64_t prefixHash = 0;
    std::uint32_t attempt = 1;
    std::vector<base::TargetId> excluded;
    std::shared_ptr<RequestChannel> channel;
};

/** Requests that wait for a target, by pool. Grants and refusals go to the channels of the requests. */
class WaitingRoom {
public:
    explicit WaitingRoom(routing::QueueOptions options)
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
    void advance(routing::Router& router, base::SteadyTime now);

    [[nodiscard]] std::size_t size() const noexcept { return this->applicants.size(); }

private:
    routing::QueueOptions options;
    std::map<std::string, routing::AdmissionQueue> queues;
    std::unordered_map<base::RequestId, Applicant> applicants;

    void advancePool(routing::AdmissionQueue& queue, routing::Router& router, base::SteadyTime now);
};

} // namespace chivewinch::entry
