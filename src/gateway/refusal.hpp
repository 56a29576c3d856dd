#pragma once

#include "base/reason.hpp"
#include "http/message.hpp"

#include <chrono>

namespace chivewinch::gateway {

/** Answer of the gateway itself to a request that got no answer from a target. */
struct Refusal {
    base::RefusalReason reason = base::RefusalReason::None;
    base::Outcome outcome = base::Outcome::NotRun;
    bool timedOut = false;
    std::chrono::milliseconds retryAfter {}; ///< 0 for none.

    bool operator==(const Refusal&) const = default;
};

/** HTTP status of the answer; 429 and 503 only if the request has not run. */
[[nodiscard]] unsigned statusOf(const Refusal& refusal) noexcept;

/** Builds an answer with a JSON body. Retry-After is in seconds with three decimal places. */
[[nodiscard]] http::Response toResponse(const Refusal& refusal);

} // namespace chivewinch::gateway
