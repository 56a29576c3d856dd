#include "gateway/target_notices.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace chivewinch::gateway {

namespace internal {

// A longer time is an error of the target: within an hour, the target is restarted with a new incarnation.
constexpr double maxRetryAfterSeconds = 3'600;

} // namespace internal

std::optional<std::chrono::milliseconds> parseRetryAfter(std::string_view value) noexcept
{
    double seconds = 0;
    const auto* end = value.data() + value.size();
    const auto [rest, error] = std::from_chars(value.data(), end, seconds);
    if (error != std::errc {} || rest != end || !std::isfinite(seconds) || seconds <= 0)
        return std::nullopt;
    return std::chrono::ceil<std::chrono::milliseconds>(
        std::chrono::duration<double> { std::min(seconds, internal::maxRetryAfterSeconds) });
}

TargetNotices::Notice& TargetNotices::noticeFor(
    const base::TargetId& target, base::Incarnation incarnation, base::SteadyTime now)
{
    auto& notice = this->notices[target];
    if (notice.incarnation != incarnation)
        notice = { .incarnation = incarnation };
    notice.recordedAt = now;
    return notice;
}

const TargetNotices::Notice* TargetNotices::find(const membership::ListedTarget& target) const
{
    const auto found = this->notices.find(target.id);
    return found == this->notices.end() || found->second.incarnation != target.incarnation ? nullptr : &found->second;
}

bool TargetNotices::recordLeaving(const base::TargetId& target, base::Incarnation incarnation, base::SteadyTime now)
{
    auto& notice = this->noticeFor(target, incarnation, now);
    const bool isNew = !notice.leaving;
    notice.leaving = true;
    return isNew;
}

void TargetNotices::recordClosed(
    const base::TargetId& target, base::Incarnation incarnation, base::SteadyTime until, base::SteadyTime now)
{
    auto& notice = this->noticeFor(target, incarnation, now);
    notice.closedUntil = std::max(notice.closedUntil.value_or(until), until);
}

bool TargetNotices::isLeaving(const membership::ListedTarget& target) const
{
    const auto* notice = this->find(target);
    return notice != nullptr && notice->leaving;
}

std::optional<base::SteadyTime> TargetNotices::closedUntil(const membership::ListedTarget& target) const
{
    const auto* notice = this->find(target);
    return notice == nullptr ? std::nullopt : notice->closedUntil;
}

void TargetNotices::update(const std::vector<membership::ListedTarget>& listed, base::SteadyTime now)
{
    std::erase_if(this->notices, [&listed, now](const auto& item) {
        const auto found = std::ranges::find(listed, item.first, &membership::ListedTarget::id);
        return found == listed.end() ? now - item.second.recordedAt >= retention
                                     : found->incarnation != item.second.incarnation;
    });
}

} // namespace chivewinch::gateway
