#include "group/map_update.hpp"

#include "base/hash.hpp"

#include <algorithm>
#include <iterator>
#include <string_view>
#include <utility>

namespace chivewinch::group {

namespace internal {

/** Applies a change. Returns false if the map does not contain the layer or rank. */
bool apply(const PlacementChange& change, GroupMap& map)
{
    if (change.layer >= map.size() || change.rank >= map[change.layer].size())
        return false;
    auto& held = map[change.layer][change.rank];
    std::erase_if(
        held, [&change](auto expert) { return std::ranges::find(change.removed, expert) != change.removed.end(); });
    held.insert(held.end(), change.added.begin(), change.added.end());
    std::ranges::sort(held);
    return true;
}

PlacementChange changeOf(const std::vector<std::uint16_t>& before, const std::vector<std::uint16_t>& after)
{
    PlacementChange change;
    std::ranges::set_difference(before, after, std::back_inserter(change.removed));
    std::ranges::set_difference(after, before, std::back_inserter(change.added));
    return change;
}

// Bounds the memory that a small message can make the receiver allocate.
constexpr std::uint64_t maxMapEntries = std::uint64_t { 4 } << 20;

bool isWithinLimits(const MapShape& shape)
{
    return shape.ranks > 0 && std::uint64_t { shape.layers } * shape.experts <= maxMapEntries
        && std::uint64_t { shape.layers } * shape.ranks <= maxMapEntries;
}

} // namespace internal

GroupMap initialMap(const MapShape& shape)
{
    GroupMap map(shape.layers, expert::LayerPlacement(shape.ranks));
    if (shape.ranks == 0)
        return map;
    for (auto& layer : map) {
        for (std::uint32_t expert = 0; expert < shape.experts; ++expert)
            layer[expert % shape.ranks].push_back(static_cast<std::uint16_t>(expert));
    }
    return map;
}

std::uint64_t digestOf(const GroupMap& map)
{
    base::StreamHash hash;
    const auto add = [&hash](const std::vector<std::uint16_t>& numbers) {
        const auto count = static_cast<std::uint32_t>(numbers.size());
        hash.update({ reinterpret_cast<const char*>(&count), sizeof count });
        hash.update({ reinterpret_cast<const char*>(numbers.data()), numbers.size() * sizeof(std::uint16_t) });
    };
    for (const auto& layer : map) {
        for (const auto& experts : layer)
            add(experts);
    }
    return hash.digest();
}

MapUpdate fullUpdate(const GroupMap& map, std::uint64_t version)
{
    return { .version = version, .fullMap = map, .digest = digestOf(map) };
}

void MapCache::remember(std::uint64_t version, GroupMap map)
{
    this->maps[version] = std::make_shared<const GroupMap>(std::move(map));
    while (this->maps.size() > maxMaps)
        this->maps.erase(this->maps.begin());
}

MapCache::Map MapCache::resolve(const MapUpdate& update)
{
    if (update.empty())
        return nullptr;
    if (const auto known = this->maps.find(update.version); known != this->maps.end())
        return digestOf(*known->second) == update.digest ? known->second : nullptr;
    GroupMap map = update.fullMap;
    if (map.empty() && update.initial.layers > 0) {
        if (!internal::isWithinLimits(update.initial))
            return nullptr;
        map = initialMap(update.initial);
    } else if (map.empty()) {
        const auto base = this->maps.find(update.base);
        if (base == this->maps.end())
            return nullptr;
        map = *base->second;
    }
    for (const auto& change : update.changes) {
        if (!internal::apply(change, map))
            return nullptr;
    }
    if (digestOf(map) != update.digest)
        return nullptr;
    this->remember(update.version, std::move(map));
    return this->maps.at(update.version);
}

MapUpdate MapCache::difference(const GroupMap& inUse, std::uint64_t inUseVersion, const GroupMap& next,
    std::uint64_t version, std::uint32_t experts)
{
    MapUpdate update { .version = version, .base = inUseVersion, .digest = digestOf(next) };
    const MapShape shape { .layers = static_cast<std::uint32_t>(next.size()),
        .experts = experts,
        .ranks = next.empty() ? 0 : static_cast<std::uint32_t>(next.front().size()) };
    if (inUse.size() != next.size())
        return fullUpdate(next, version);
    if (inUse == initialMap(shape))
        update.initial = shape;
    else if (inUseVersion == 0)
        return fullUpdate(next, version);
    for (std::size_t layer = 0; layer < next.size(); ++layer) {
        if (inUse[layer].size() != next[layer].size())
            return fullUpdate(next, version);
        for (std::size_t rank = 0; rank < next[layer].size(); ++rank) {
            if (inUse[layer][rank] == next[layer][rank])
                continue;
            auto change = internal::changeOf(inUse[layer][rank], next[layer][rank]);
            change.layer = static_cast<std::uint32_t>(layer);
            change.rank = static_cast<std::uint32_t>(rank);
            update.changes.push_back(std::move(change));
        }
    }
    return update;
}

} // namespace chivewinch::group
