#include "gateway/options.hpp"

#include <algorithm>
#include <cstdint>

namespace chivewinch::gateway {

namespace internal {

// The rest of the slack covers the retries for the requests of the burst time before a window, and entries that were
// added since the others were counted.
constexpr double dividedSlack = 0.25;

std::chrono::milliseconds share(std::chrono::milliseconds time, double part)
{
    return std::chrono::milliseconds { static_cast<std::int64_t>(static_cast<double>(time.count()) * part) };
}

/** Longest wait in one call. A silent connection goes unnoticed for as long, and must be noticed within both bounds. */
std::chrono::milliseconds longestWait(const ChangeBounds& bounds)
{
    return std::min(share(bounds.contact, 0.5), share(bounds.configuration, 0.75));
}

} // namespace internal

std::uint32_t retryConstant(const RetryLimit& limit, const SharePlace& place) noexcept
{
    if (place.count == 0)
        return 0;
    const auto all = static_cast<std::uint64_t>(std::max(limit.slack, 0.0) * internal::dividedSlack);
    return static_cast<std::uint32_t>(all / place.count + (place.index < all % place.count ? 1 : 0));
}

routing::RouterOptions directRouter(const std::string& instance, const base::ZoneId& zone, const RetryLimit& retries)
{
    routing::RouterOptions options { .entry = instance, .zone = zone };
    options.useSubset = false;
    options.useAffinity = false;
    options.compareAll = true;
    options.spill.onlyWithoutLocalCapacity = false;
    options.retryBudget.share = retries.share;
    options.retryBudget.window = retries.window;
    options.retryBudget.constant = retryConstant(retries, {});
    // The limit holds in every window, also in one that begins with many retries at once and has few requests
    // afterwards. The slack of the known sites covers the requests of this time and of the wait for a target.
    options.retryBudget.burst = std::chrono::milliseconds { 1'500 };
    return options;
}

std::chrono::milliseconds StreamPatience::silenceLimit(const Route& route) const noexcept
{
    const auto patience = std::max({ this->minimum, internal::share(route.latencyObjective, this->objectives),
        internal::share(route.pauseObjective, this->pauses) });
    return std::max(patience - this->margin, std::chrono::milliseconds { 0 });
}

watch::WatchOptions configurationWatch(const ChangeBounds& bounds) { return { .wait = internal::longestWait(bounds) }; }

watch::WatchOptions targetsWatch(const ChangeBounds& bounds)
{
    // The list changes all the time where targets report. The rest of the bound is for the store's answer and for
    // requests that are on their way.
    // All targets may report at the same moments; an answer without changes is a proof of contact for the peers that
    // read here.
    return { .wait = std::min(internal::longestWait(bounds), internal::share(bounds.leaving, 0.1)),
        .pause = internal::share(bounds.leaving, 0.35) };
}

relay::RelayOptions zoneRelay(
    const std::string& instance, const base::ZoneId& zone, const settings::Endpoint& listen, const ChangeBounds& bounds)
{
    // The reading peer hears from the store each 0.45 of the bound, pause and wait. What a process knows is at most as
    // old as the largest age and its own wait; the rest of the bound is for the own reading that follows.
    const auto bound = std::min(bounds.leaving, bounds.configuration);
    return { .instance = instance,
        .zone = zone,
        .listen = listen,
        .wait = internal::share(bound, 0.2),
        .slack = internal::share(bound, 0.1),
        .maxAge = internal::share(bound, 0.55) };
}

suspect::StrikeOptions directStrikes() noexcept
{
    // A lost answer looks like a crash, and equal requests share a fingerprint: a block must need several targets and
    // end soon. Without a completed run nothing else would lift it.
    return { .expiry = std::chrono::seconds { 30 }, .sendMargin = std::chrono::seconds { 0 }, .strikesToBlock = 3 };
}

} // namespace chivewinch::gateway
