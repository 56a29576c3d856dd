#include "base/reason.hpp"

namespace chivewinch::base {

namespace internal {

constexpr std::array<std::string_view, 3> outcomeNames { "done", "not-run", "unknown" };

constexpr std::array<std::string_view, static_cast<std::size_t>(RefusalReason::Count)> refusalNames {
    "none",
    "bad_request",
    "body_too_large",
    "unknown_team",
    "unknown_model",
    "unknown_service",
    "team_rate_limit",
    "team_concurrency_limit",
    "overload",
    "queue_deadline",
    "deadline_passed",
    "no_target",
    "retry_budget",
    "draining",
    "wrong_incarnation",
    "duplicate_attempt",
    "cancelled_before_start",
    "attempt_expired",
    "target_busy",
    "target_down",
    "suspect_request",
    "suspect_busy",
    "claim_unavailable",
    "claim_in_progress",
    "claim_conflict",
    "usage_backlog",
    "stale_fencing",
    "no_bundle",
    "cannot_resume",
    "no_route",
    "attempt_failed",
    "target_limit",
};

constexpr std::array<std::string_view, static_cast<std::size_t>(RetryReason::Count)> retryNames {
    "none",
    "connect_failed",
    "not_written",
    "refused_by_agent",
    "connection_lost",
    "attempt_timeout",
    "stream_broken",
    "stream_resumed",
    "target_crashed",
};

template <std::size_t Size>
std::string_view nameAt(const std::array<std::string_view, Size>& names, std::size_t index) noexcept
{
    return index < Size ? names[index] : std::string_view { "invalid" };
}

} // namespace internal

std::string_view toString(Outcome outcome) noexcept
{
    return internal::nameAt(internal::outcomeNames, static_cast<std::size_t>(outcome));
}

std::string_view toString(RefusalReason reason) noexcept
{
    return internal::nameAt(internal::refusalNames, static_cast<std::size_t>(reason));
}

std::string_view toString(RetryReason reason) noexcept
{
    return internal::nameAt(internal::retryNames, static_cast<std::size_t>(reason));
}

} // namespace chivewinch::base
