#include "gateway/options.hpp"

#include <algorithm>

namespace chivewinch::gateway {

routing::RouterOptions directRouter(const std::string& instance, const base::ZoneId& zone, const RetryLimit& retries)
{
    routing::RouterOptions options { .entry = instance, .zone = zone };
    options.useSubset = false;
    options.useAffinity = false;
    options.compareAll = true;
    options.spill.onlyWithoutLocalCapacity = false;
    options.retryBudget.share = retries.share;
    options.retryBudget.window = retries.window;
    // The slack belongs to all entries together, and each takes a part that is safe for 64 of them.
    constexpr double entries = 64;
    options.retryBudget.constant = static_cast<std::uint32_t>(std::max(retries.slack / entries, 1.0));
    // The limit holds in every window, also in one that begins with many retries at once and has few requests
    // afterwards. The slack of the known sites covers the requests of this time and of the wait for a target.
    options.retryBudget.burst = std::chrono::milliseconds { 1'500 };
    return options;
}

suspect::StrikeOptions directStrikes() noexcept
{
    // A lost answer looks like a crash, and equal requests share a fingerprint: a block must need several targets and
    // end soon. Without a completed run nothing else would lift it.
    return { .expiry = std::chrono::seconds { 30 }, .sendMargin = std::chrono::seconds { 0 }, .strikesToBlock = 3 };
}

} // namespace chivewinch::gateway
