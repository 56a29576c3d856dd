#pragma once

#include "base/clock.hpp"
#include "base/id.hpp"
#include "bundle/snapshot.hpp"
#include "entry/api_error.hpp"
#include "http/message.hpp"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace chivewinch::entry {

/** What the entry needs to know of a caller's request, checked against the bundle in force. */
struct CallerRequest {
    base::RequestId id;
    std::string shownId; ///< X-Request-Id of the caller, or the own identity.
    std::shared_ptr<const bundle::Snapshot> snapshot;
    const bundle::Team* team = nullptr; ///< Owned by the snapshot.
    std::string model; ///< Empty for a service call.
    std::string service; ///< Empty for a model request.
    std::string method;
    std::string path; ///< Path and query as the target sees them.
    std::string contentType;
    std::string body;
    std::string idempotencyKey;
    bool stream = false;
    bool repeatable = true;
    std::uint32_t priority = 0; ///< 0 to 9.
    std::uint64_t fingerprint = 0;
    std::uint64_t prefixHash = 0; ///< 0 for no affinity.
    base::SteadyTime deadline;
    base::WallTime arrived;

    /** Model or service; names the pool of targets. */
    [[nodiscard]] const std::string& pool() const noexcept { return this->model.empty() ? this->service : this->model; }
};

struct RequestLimits {
    std::chrono::milliseconds defaultDeadline {};
    std::chrono::milliseconds maxDeadline {};
};

/** Reads a request; nullopt and an error for the caller if it is refused. */
[[nodiscard]] std::optional<CallerRequest> readCallerRequest(const http::Request& request,
    std::shared_ptr<const bundle::Snapshot> snapshot, const RequestLimits& limits, const base::Clock& clock,
    base::RequestId id, ApiError& reason);

} // namespace chivewinch::entry
