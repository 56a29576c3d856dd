#include "gateway/answer_check.hpp"

#include "http/status.hpp"

#include <algorithm>
#include <array>

namespace chivewinch::gateway {

namespace internal {

constexpr std::array<unsigned, 4> notRunStatuses { 408, http::status::misdirected, 429, http::status::unavailable };
constexpr std::array<std::string_view, 5> names { "success", "failure", "not_run", "unproved", "foreign" };

} // namespace internal

bool impliesNotRun(unsigned status) noexcept
{
    return std::ranges::find(internal::notRunStatuses, status) != internal::notRunStatuses.end();
}

AnswerKind classifyAnswer(const AnswerHead& head, std::string_view requestId) noexcept
{
    const bool isSuccess = head.status >= 200 && head.status < 300;
    // A target other than the expected one may refuse the request before it reads the request ID.
    const bool lacksId = head.requestId.empty() && !head.isOnKeptConnection;
    if (head.status == http::status::misdirected && (lacksId || head.requestId == requestId))
        return AnswerKind::NotRun;
    if (head.requestId != requestId)
        return AnswerKind::Foreign;
    if (head.statesNotRun && !isSuccess)
        return AnswerKind::NotRun;
    if (isSuccess)
        return head.hasSeal && !head.hasContentEncoding ? AnswerKind::Success : AnswerKind::Foreign;
    if (head.status < 300)
        return AnswerKind::Foreign;
    return impliesNotRun(head.status) ? AnswerKind::Unproved : AnswerKind::Failure;
}

std::string_view toString(AnswerKind kind) noexcept { return internal::names[static_cast<std::size_t>(kind)]; }

} // namespace chivewinch::gateway
