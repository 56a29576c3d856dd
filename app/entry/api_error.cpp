#include "entry/api_error.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace chivewinch::entry {

namespace internal {

using Reason = base::RefusalReason;

struct Description {
    Reason reason;
    unsigned status;
    std::string_view type;
    std::string_view message;
};

constexpr std::string_view invalidRequest = "invalid_request_error";
constexpr std::string_view rateLimit = "rate_limit_error";
constexpr std::string_view unavailable = "service_unavailable_error";

constexpr std::array descriptions {
    Description { Reason::BadRequest, 400, invalidRequest, "the request is not valid" },
    Description { Reason::BodyTooLarge, 413, invalidRequest, "the request body is too large" },
    Description { Reason::UnknownTeam, 401, "authentication_error", "the team key is missing or unknown" },
    Description { Reason::UnknownModel, 404, invalidRequest, "the model does not exist or the team may not use it" },
    Description {
        Reason::UnknownService, 404, invalidRequest, "the service does not exist or the team may not use it" },
    Description { Reason::TeamRateLimit, 429, rateLimit, "the team sends more requests per second than its limit" },
    Description { Reason::TeamConcurrencyLimit, 429, rateLimit, "the team has more requests in flight than its limit" },
    Description { Reason::Overload, 503, unavailable, "the system is overloaded" },
    Description { Reason::QueueDeadline, 503, unavailable, "the request cannot start before its deadline" },
    Description { Reason::DeadlinePassed, 504, unavailable, "the deadline has passed" },
    Description {
        Reason::SuspectRequest, 422, invalidRequest, "this request has crashed targets and is not run again" },
    Description { Reason::ClaimUnavailable, 503, unavailable, "the idempotency key cannot be recorded now" },
    Description { Reason::ClaimInProgress, 409, invalidRequest,
        "the first request with this idempotency key has no known outcome yet" },
    Description { Reason::ClaimConflict, 422, invalidRequest, "the idempotency key was used with another request" },
};

constexpr Description defaultDescription { Reason::None, 503, unavailable, "no target can take the request now" };

// Status and text for a request that may have run; they differ from those of a request that certainly did not run.
constexpr unsigned unknownStatus = 502;
constexpr std::string_view unknownMessage = "the outcome of the request is unknown; it may have run";

const Description& describe(Reason reason)
{
    const auto* found = std::ranges::find(descriptions, reason, &Description::reason);
    return found == descriptions.end() ? defaultDescription : *found;
}

bool isSuspect(const ApiError& error) { return error.reason == Reason::SuspectRequest; }

std::string_view codeOf(const ApiError& error)
{
    if (isSuspect(error))
        return "request_crashes_targets";
    if (error.outcome == base::Outcome::Unknown && error.reason != Reason::ClaimInProgress)
        return "outcome_unknown";
    return base::toString(error.reason);
}

std::string messageOf(const ApiError& error)
{
    if (!error.message.empty())
        return error.message;
    const bool plainUnknown
        = error.outcome == base::Outcome::Unknown && error.reason != Reason::ClaimInProgress && !isSuspect(error);
    return std::string { plainUnknown ? unknownMessage : describe(error.reason).message };
}

} // namespace internal

unsigned statusOf(const ApiError& error) noexcept
{
    const bool ownStatus = internal::isSuspect(error) || error.reason == base::RefusalReason::ClaimInProgress;
    if (error.outcome == base::Outcome::Unknown && !ownStatus)
        return internal::unknownStatus;
    return internal::describe(error.reason).status;
}

std::string toJson(const ApiError& error)
{
    const nlohmann::ordered_json body { { "error",
        { { "message", internal::messageOf(error) }, { "type", internal::describe(error.reason).type },
            { "param", nullptr }, { "code", internal::codeOf(error) },
            { "outcome", base::toString(error.outcome) } } } };
    return body.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

http::Response toResponse(const ApiError& error)
{
    http::Response response;
    response.status = statusOf(error);
    response.body = toJson(error);
    response.headers.emplace_back("X-Chivewinch-Outcome", base::toString(error.outcome));
    response.headers.emplace_back("X-Chivewinch-Reason", base::toString(error.reason));
    if (error.retryAfter.count() > 0) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(error.retryAfter);
        response.headers.emplace_back("Retry-After", std::to_string(seconds.count()));
    }
    return response;
}

} // namespace chivewinch::entry
