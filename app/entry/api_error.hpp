#pragma once

#include "base/reason.hpp"
#include "http/message.hpp"

#include <chrono>
#include <string>
#include <string_view>

namespace chivewinch::entry {

/** A refusal or failure that is reported to the caller. */
struct ApiError {
    base::Outcome outcome = base::Outcome::NotRun;
    base::RefusalReason reason = base::RefusalReason::BadRequest;
    std::string message; ///< Empty to use the standard text of the reason.
    std::chrono::milliseconds retryAfter {}; ///< 0 for no hint.

    bool operator==(const ApiError&) const = default;
};

/** Response in the error format of OpenAI-compatible clients, with outcome and Retry-After headers. */
[[nodiscard]] http::Response toResponse(const ApiError& error);

/** Returns the JSON error object without a response, for the last event of a broken stream. */
[[nodiscard]] std::string toJson(const ApiError& error);

/** HTTP status of an error. */
[[nodiscard]] unsigned statusOf(const ApiError& error) noexcept;

} // namespace chivewinch::entry
