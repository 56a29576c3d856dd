#include "gateway/options.hpp"

#include <algorithm>
#include <cstdint>

namespace chivewinch::gateway {

namespace internal {

// Share of the slack that is divided among the entries. The rest covers retries for requests of the burst time before a
// window, and entries that were added after the last count.
constexpr double dividedSlackShare = 0.25;

std::chrono::milliseconds scale(std::chrono::milliseconds time, double factor)
{
    return std::chrono::milliseconds { static_cast<std::int64_t>(static_cast<double>(time.count()) * factor) };
}

/**
 * Maximum wait of one call. An unresponsive connection is not detected for this time, and it must be detected within
 * both bounds.
 */
std::chrono::milliseconds longestWait(const ChangeBounds& bounds)
{
    return std::min(scale(bounds.contact, 0.5), scale(bounds.configuration, 0.75));
}

} // namespace internal

std::uint32_t retryConstant(const RetryLimit& limit, const SharePosition& position) noexcept
{
    if (position.count == 0)
        return 0;
    const auto all = static_cast<std::uint64_t>(std::max(limit.slack, 0.0) * internal::dividedSlackShare);
    return static_cast<std::uint32_t>(all / position.count + (position.index < all % position.count ? 1 : 0));
}

routing::RouterOptions directRouterOptions(
    const std::string& instance, const base::ZoneId& zone, const RetryLimit& retries)
{
    routing::RouterOptions options { .entry = instance, .zone = zone };
    options.useSubset = false;
    options.useAffinity = false;
    options.compareAll = true;
    options.spill.onlyWithoutLocalCapacity = false;
    options.retryBudget.share = retries.share;
    options.retryBudget.window = retries.window;
    options.retryBudget.constant = retryConstant(retries, {});
    // The limit must hold in every window, including one that begins with many retries and has few requests afterwards.
    // In the known deployments, the slack covers the requests of the burst time and of the wait for a target.
    options.retryBudget.burst = std::chrono::milliseconds { 1'500 };
    return options;
}

std::chrono::milliseconds StreamTimeout::stallTimeout(const Route& route) const noexcept
{
    const auto streamTimeout = std::max({ this->minimum, internal::scale(route.latencyObjective, this->latencyFactor),
        internal::scale(route.pauseObjective, this->pauseFactor) });
    return std::max(streamTimeout - this->margin, std::chrono::milliseconds { 0 });
}

watch::WatchOptions configurationWatch(const ChangeBounds& bounds)
{
    // A peer that reads from this process has rows that are at most as old as the wait here plus the wait of the relay.
    // The rest of the bound is for a call of its own that gets no answer, and the next one on another connection.
    return { .wait = std::min(internal::longestWait(bounds), internal::scale(bounds.configuration, 0.3)),
        .maxAge = internal::scale(bounds.configuration, 0.55) };
}

watch::WatchOptions targetsWatch(const ChangeBounds& bounds)
{
    // Where targets report, the list changes continuously, and the pause collects the changes. The rest of the bound
    // covers the store's answer and requests already in transit.
    // If all targets report at the same time, there are no changes in between. An empty answer after the short wait
    // then confirms contact with the store to the peers that read from this process.
    return { .wait = std::min(internal::longestWait(bounds), internal::scale(bounds.leaving, 0.1)),
        .maxAge = internal::scale(bounds.leaving, 0.7),
        .pause = internal::scale(bounds.leaving, 0.35) };
}

membership::ListedTargetsOptions listedTargets(const ChangeBounds& bounds)
{
    // The rest of the bound covers the tick that removes the target, and requests already in transit.
    return { .maxKeepTime = internal::scale(bounds.contact, 0.9) };
}

std::chrono::milliseconds strikeLearnTime(const ChangeBounds& bounds)
{
    // The rest of the bound covers a trial on its way to the target.
    return internal::scale(bounds.contact, 0.8);
}

relay::RelayOptions zoneRelayOptions(
    const std::string& instance, const base::ZoneId& zone, const settings::Endpoint& listen, const ChangeBounds& bounds)
{
    // The peer that reads the store gets an answer every 0.45 of the bound (pause plus wait of the targets).
    const auto bound = std::min(bounds.leaving, bounds.configuration);
    return { .instance = instance,
        .zone = zone,
        .listen = listen,
        .wait = internal::scale(bound, 0.2),
        .slack = internal::scale(bound, 0.1),
        .maxAge = internal::scale(bound, 0.55) };
}

suspect::StrikeOptions directStrikeOptions() noexcept
{
    // A lost answer looks like a crash, and equal requests share a fingerprint. A block therefore requires several
    // crashes, and trials can lift it.
    return {
        .expiry = std::chrono::hours { 1 }, .strikesToBlock = 3, .restartTime = std::chrono::milliseconds { 250 }
    };
}

} // namespace chivewinch::gateway
