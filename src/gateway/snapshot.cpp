#include "gateway/snapshot.hpp"

#include <algorithm>
#include <numeric>
#include <utility>

namespace chivewinch::gateway {

Snapshot::Snapshot(Configuration configuration)
    : content { std::move(configuration) }
{
    for (const auto& route : this->content.routes)
        this->byHost[route.host].push_back(&route);
    for (auto& [host, routes] : this->byHost) {
        std::ranges::stable_sort(routes,
            [](const auto* left, const auto* right) { return left->pathPrefix.size() > right->pathPrefix.size(); });
    }
    for (const auto& team : this->content.teams) {
        for (const auto& key : team.keys)
            this->byKey.emplace(key, &team);
    }
}

const Route* Snapshot::route(std::string_view host, std::string_view path) const
{
    const auto found = this->byHost.find(host);
    if (found == this->byHost.end())
        return nullptr;
    const auto match = std::ranges::find_if(
        found->second, [path](const auto* candidate) { return path.starts_with(candidate->pathPrefix); });
    return match == found->second.end() ? nullptr : *match;
}

const Team* Snapshot::teamOf(std::string_view key) const
{
    const auto found = this->byKey.find(key);
    return found == this->byKey.end() ? nullptr : found->second;
}

std::string_view Snapshot::pickPool(const Route& route, double fraction) noexcept
{
    const auto total = std::accumulate(route.pools.begin(), route.pools.end(), 0.0,
        [](double sum, const auto& item) { return sum + static_cast<double>(item.weight); });
    auto left = fraction * total;
    for (const auto& item : route.pools) {
        left -= static_cast<double>(item.weight);
        if (left < 0)
            return item.pool;
    }
    // Because of rounding, the loop can pass the last pool without a match. Pools without weight get no requests.
    const auto last = std::ranges::find_if(
        route.pools.rbegin(), route.pools.rend(), [](const auto& item) { return item.weight > 0; });
    return last == route.pools.rend() ? std::string_view {} : std::string_view { last->pool };
}

bool SnapshotHolder::replaceIfNewer(Configuration configuration)
{
    if (this->snapshot && configuration.version <= this->snapshot->version())
        return false;
    this->snapshot = std::make_shared<const Snapshot>(std::move(configuration));
    return true;
}

} // namespace chivewinch::gateway
