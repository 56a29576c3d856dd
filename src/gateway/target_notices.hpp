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

/** Parses a Retry-After value, capped at one hour; nullopt unless it is a positive number of seconds. */
[[nodiscard]] std::optional<std::chrono::milliseconds> parseRetryAfter(std::string_view value) noexcept;

/**
 * State that targets have reported in their answers. A notice applies to one incarnation of a target and overrides the
 * platform's list, which is older: a target that has reported that it leaves gets no new requests, even if the list
 * still shows it or shows it again. Not thread-safe.
 */
class TargetNotices {
public:
    /** Time for which the notice of an unlisted target is kept, in case an older list shows the target again. */
    static constexpr std::chrono::minutes retention { 2 };

    /** Records that the target leaves; returns false if this was already known. */
    bool recordLeaving(const base::TargetId& target, base::Incarnation incarnation, base::SteadyTime now);
    /** Records that the target asks for no requests before the given time. */
    void recordClosed(
        const base::TargetId& target, base::Incarnation incarnation, base::SteadyTime until, base::SteadyTime now);

    [[nodiscard]] bool isLeaving(const membership::ListedTarget& target) const;
    /** Time before which the target asks for no requests; nullopt if it has not stated one. */
    [[nodiscard]] std::optional<base::SteadyTime> closedUntil(const membership::ListedTarget& target) const;

    /** Removes notices of targets that are listed with another incarnation, and expired notices of unlisted targets. */
    void update(const std::vector<membership::ListedTarget>& listed, base::SteadyTime now);

private:
    struct Notice {
        base::Incarnation incarnation {};
        bool leaving = false;
        std::optional<base::SteadyTime> closedUntil;
        base::SteadyTime recordedAt {};
    };

    std::map<base::TargetId, Notice> notices;

    [[nodiscard]] Notice& noticeFor(const base::TargetId& target, base::Incarnation incarnation, base::SteadyTime now);
    [[nodiscard]] const Notice* find(const membership::ListedTarget& target) const;
};

} // namespace chivewinch::gateway
