#pragma once

#include "group/group_port.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <vector>

namespace chivewinch::group {

/** Change of the experts that one rank holds in one layer. */
struct PlacementChange {
    std::uint32_t layer = 0;
    std::uint32_t rank = 0;
    std::vector<std::uint16_t> removed;
    std::vector<std::uint16_t> added;

    auto operator<=>(const PlacementChange&) const = default;
};

/** Dimensions of a map. */
struct MapShape {
    std::uint32_t layers = 0;
    std::uint32_t experts = 0; ///< Per layer.
    std::uint32_t ranks = 0;

    auto operator<=>(const MapShape&) const = default;
};

/** A map, encoded either as the difference from a base map that the receiver may hold, or in full. */
struct MapUpdate {
    std::uint64_t version = 0; ///< Version of the resulting map.
    std::uint64_t base = 0; ///< Version of the base map.
    MapShape initial; ///< If layers > 0, the base is the initial map with these dimensions.
    std::vector<PlacementChange> changes;
    GroupMap fullMap; ///< The resulting map in full; empty if the changes describe it.
    std::uint64_t digest = 0; ///< Digest of the resulting map.

    /** True if the update contains no map. */
    [[nodiscard]] bool empty() const noexcept { return this->version == 0; }
    bool operator==(const MapUpdate&) const = default;
};

/** The map with which engines form a group: the experts of each layer are assigned to the ranks round-robin. */
[[nodiscard]] GroupMap initialMap(const MapShape& shape);

/** Hash of a map. Equal maps have equal digests; different maps practically never do. */
[[nodiscard]] std::uint64_t digestOf(const GroupMap& map);

/** Update that contains the map in full. */
[[nodiscard]] MapUpdate fullUpdate(const GroupMap& map, std::uint64_t version);

/** Maps of a group that one agent holds, by version. A version identifies exactly one map. */
class MapCache {
public:
    using Map = std::shared_ptr<const GroupMap>;

    /** Room for the map in use, the map being prepared, and the map of an abandoned change. */
    static constexpr std::size_t maxMaps = 3;

    void remember(std::uint64_t version, GroupMap map);
    /**
     * Returns the map that the update describes, and stores it. Returns nullptr if the base is not held here or the
     * digest of the result does not match.
     */
    [[nodiscard]] Map resolve(const MapUpdate& update);
    /**
     * Returns the shortest update from the map in use to the next map. The base is the initial map if that is in use,
     * otherwise the map in use, identified by its version. The update contains the next map in full if the map in use
     * has version 0 and is not the initial map, or if the dimensions of the two maps differ.
     */
    [[nodiscard]] static MapUpdate difference(const GroupMap& inUse, std::uint64_t inUseVersion, const GroupMap& next,
        std::uint64_t version, std::uint32_t experts);

private:
    std::map<std::uint64_t, Map> maps;
};

} // namespace chivewinch::group
