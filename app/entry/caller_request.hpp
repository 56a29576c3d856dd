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

/** Parsed request of a caller, validated against the bundle in force. */
struct CallerRequest {
    base::RequestId id;
    std::string shownId; ///< X-Request-Id of the caller, or the text form of `id` if that is missing or not valid.
    std::shared_ptr<const bundle::Snapshot> snapshot;
    const bundle::Team* team = nullptr; ///< Owned by the snapshot.
    std::string model; ///< Empty for a service call.
    std::string service; ///< Empty for a model request.
    std::string method;
    std::string path; ///< Path and query that are sent to the target.
    std::string contentType;
    std::string body;
    std::string idempotencyKey;
    bool stream = false;
    bool repeatable = true;
    std::uint32_t priority = 0; ///< 0 to 9.
    std::uint64_t fingerprint = 0;
    std::uint64_t prefixHash = 0; ///< Hash for prefix affinity; 0 for none.
    base::SteadyTime deadline;
    base::WallTime arrived;

    /** Name of the pool of targets: the model or the service. */
    [[nodiscard]] const std::string& pool() const noexcept { return this->model.empty() ? this->service : this->model; }
};

struct RequestLimits {
    std::chrono::milliseconds defaultDeadline {};
    std::chrono::milliseconds maxDeadline {};
};

/** Parses and validates a request. Returns nullopt and sets `reason` to the error for the caller if it is refused. */
[[nodiscard]] std::optional<CallerRequest> readCallerRequest(const http::Request& request,
    std::shared_ptr<const bundle::Snapshot> snapshot, const RequestLimits& limits, const base::Clock& clock,
    base::RequestId id, ApiError& reason);

} // namespace chivewinch::entry
