#pragma once

#include "base/clock.hpp"
#include "base/id.hpp"
#include "membership/listed_targets.hpp"

#include <chrono>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace chivewinch::gateway {

/** Time that a Retry-After field states, at most an hour; nullopt if it is no number of seconds above 0. */
[[nodiscard]] std::optional<std::chrono::milliseconds> parseRetryAfter(std::string_view value) noexcept;

/**
 * What targets have said about themselves in their answers. It holds for one incarnation of a target and goes before
 * the platform's list, which is older: a target that has said that it leaves stays out although the list still shows
 * it, or shows it again. Not thread-safe.
 */
class TargetNotices {
public:
    /** A notice about a target that is not listed is kept for this long, in case an older list shows it again. */
    static constexpr std::chrono::minutes memory { 2 };

    /** The target leaves; false if that was known. */
    bool noteLeaving(const base::TargetId& target, base::Incarnation incarnation, base::SteadyTime now);
    /** The target wants no requests before this time. */
    void noteClosed(
        const base::TargetId& target, base::Incarnation incarnation, base::SteadyTime until, base::SteadyTime now);

    [[nodiscard]] bool isLeaving(const membership::ListedTarget& target) const;
    /** End of the time for which the target wants no requests, if it has stated one. */
    [[nodiscard]] std::optional<base::SteadyTime> closedUntil(const membership::ListedTarget& target) const;

    /** Forgets notices of targets that are listed with another incarnation, and old ones of targets not listed. */
    void update(const std::vector<membership::ListedTarget>& listed, base::SteadyTime now);

private:
    struct Notice {
        base::Incarnation incarnation {};
        bool leaving = false;
        std::optional<base::SteadyTime> closedUntil;
        base::SteadyTime notedAt {};
    };

    std::map<base::TargetId, Notice> notices;

    [[nodiscard]] Notice& noticeOf(const base::TargetId& target, base::Incarnation incarnation, base::SteadyTime now);
    [[nodiscard]] const Notice* find(const membership::ListedTarget& target) const;
};

} // namespace chivewinch::gateway
