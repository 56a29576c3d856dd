#include "gateway/refusal.hpp"

#include "http/retry_after.hpp"
#include "http/status.hpp"

namespace chivewinch::gateway {

namespace internal {

constexpr unsigned badRequest = 400;
constexpr unsigned unauthorized = 401;
constexpr unsigned badGateway = 502;
constexpr unsigned gatewayTimeout = 504;

} // namespace internal

unsigned statusOf(const Refusal& refusal) noexcept
{
    // 429 and 503 state that the request has not run. Without proof of that, only 502 and 504 are correct.
    if (refusal.outcome != base::Outcome::NotRun)
        return refusal.timedOut ? internal::gatewayTimeout : internal::badGateway;
    switch (refusal.reason) {
    case base::RefusalReason::BadRequest:
        return internal::badRequest;
    case base::RefusalReason::UnknownTeam:
        return internal::unauthorized;
    case base::RefusalReason::NoRoute:
        return http::status::notFound;
    default:
        return http::status::unavailable;
    }
}

http::Response toResponse(const Refusal& refusal)
{
    http::Response response { .status = statusOf(refusal) };
    response.body = R"({"error":{"code":")" + std::string { base::toString(refusal.reason) } + R"(","outcome":")"
        + std::string { base::toString(refusal.outcome) } + R"("}})";
    if (refusal.retryAfter.count() > 0)
        response.headers.emplace_back("Retry-After", http::retryAfterValue(refusal.retryAfter));
    return response;
}

} // namespace chivewinch::gateway
