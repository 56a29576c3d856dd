#pragma once

#include "base/reason.hpp"
#include "http/message.hpp"

#include <chrono>

namespace chivewinch::gateway {

/** This process's own answer to a request that got none from a target. */
struct Refusal {
    base::RefusalReason reason = base::RefusalReason::None;
    base::Outcome outcome = base::Outcome::NotRun;
    bool timedOut = false;
    std::chrono::milliseconds retryAfter {}; ///< 0 for none.

    bool operator==(const Refusal&) const = default;
};

/** Status of the answer; 429 and 503 only if the request has not run. */
[[nodiscard]] unsigned statusOf(const Refusal& refusal) noexcept;

/** Answer with a JSON body; Retry-After in seconds with three decimals. */
[[nodiscard]] http::Response toResponse(const Refusal& refusal);

} // namespace chivewinch::gateway
