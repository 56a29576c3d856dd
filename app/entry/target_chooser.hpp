#pragma once

#include "entry/caller_request.hpp"
#include "entry/request_channel.hpp"
#include "entry/services.hpp"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <vector>

namespace chivewinch::entry {

/** Chooses a target for each attempt of one request and waits for capacity if all targets are busy. */
class TargetChooser {
public:
    TargetChooser(Services& services, const CallerRequest& request, std::shared_ptr<RequestChannel> channel)
        : services { services }
        , request { request }
        , channel { std::move(channel) }
    {
    }

    /** Chooses a target and marks it as started in the router; nullopt and lastReason() if none is available in time.
     */
    [[nodiscard]] http::Task<std::optional<routing::Choice>> choose(std::uint32_t attempt);
    [[nodiscard]] base::RefusalReason lastReason() const noexcept { return this->reason; }
    [[nodiscard]] bool callerGone() const noexcept { return this->isCallerGone; }

    /** Excludes a target from later attempts. */
    void exclude(const base::TargetId& target) { this->excluded.push_back(target); }

private:
    Services& services;
    const CallerRequest& request;
    std::shared_ptr<RequestChannel> channel;
    std::vector<base::TargetId> excluded;
    base::RefusalReason reason = base::RefusalReason::NoTarget;
    bool isCallerGone = false;

    /** Effect of the request's strikes: a refusal with the time until the next check, and the targets to exclude. */
    struct Suspicion {
        base::RefusalReason refusal = base::RefusalReason::None;
        std::chrono::nanoseconds wait {};
        std::vector<base::TargetId> excluded;
    };

    [[nodiscard]] std::vector<base::TargetId> candidates() const;
    [[nodiscard]] Suspicion checkSuspicion() const;
    [[nodiscard]] std::optional<routing::Choice> tryRouter(
        std::uint32_t attempt, std::span<const base::TargetId> without);
    [[nodiscard]] std::vector<base::TargetId> withDisconnected(std::vector<base::TargetId> without) const;
    /** Whether a target granted after a wait is still usable; strikes and connections may change during the wait. */
    [[nodiscard]] bool isUsable(const base::TargetId& target) const;
    void releaseTarget(const base::TargetId& target);
    [[nodiscard]] http::Task<bool> waitForSuspicion(std::chrono::nanoseconds wait);
    [[nodiscard]] http::Task<std::optional<routing::Choice>> waitForTarget(
        std::uint32_t attempt, std::vector<base::TargetId> without);
    [[nodiscard]] base::RefusalReason enqueueRequest(std::uint32_t attempt, std::vector<base::TargetId> without);
    [[nodiscard]] http::Task<void> removeQueuedRequest();
};

} // namespace chivewinch::entry
