#pragma once

#include "group/group_port.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <vector>

namespace chivewinch::group {

/** Change of the experts that one rank holds in one layer. */
struct ChangedPlace {
    std::uint32_t layer = 0;
    std::uint32_t rank = 0;
    std::vector<std::uint16_t> removed;
    std::vector<std::uint16_t> added;

    auto operator<=>(const ChangedPlace&) const = default;
};

/** Measures of a map. */
struct MapShape {
    std::uint32_t layers = 0;
    std::uint32_t experts = 0; ///< Per layer.
    std::uint32_t ranks = 0;

    auto operator<=>(const MapShape&) const = default;
};

/** A map, stated by its differences from another one that the receiver may know, or whole. */
struct MapUpdate {
    std::uint64_t version = 0; ///< Of the map that results.
    std::uint64_t base = 0; ///< Version of the map that is changed.
    MapShape initial; ///< If it has layers, the base is the initial map of this shape.
    std::vector<ChangedPlace> changes;
    GroupMap whole; ///< The resulting map itself; empty if the changes state it.
    std::uint64_t digest = 0; ///< Of the resulting map.

    /** True if no map is stated. */
    [[nodiscard]] bool empty() const noexcept { return this->version == 0; }
    bool operator==(const MapUpdate&) const = default;
};

/** The map with which engines form a group: the experts of each layer are dealt to the ranks in turn. */
[[nodiscard]] GroupMap initialMap(const MapShape& shape);

/** Equal for equal maps, and practically never for others. */
[[nodiscard]] std::uint64_t digestOf(const GroupMap& map);

/** Update that states the map whole. */
[[nodiscard]] MapUpdate wholeUpdate(const GroupMap& map, std::uint64_t version);

/** Maps of a group that one agent knows by their versions. Versions are never given to two maps. */
class KnownMaps {
public:
    using Map = std::shared_ptr<const GroupMap>;

    /** The map in use, the one that is prepared, and one whose change was given up. */
    static constexpr std::size_t maxMaps = 3;

    void remember(std::uint64_t version, GroupMap map);
    /** The map of an update; nullptr if its base is not known here or the result differs from the sender's map. */
    [[nodiscard]] Map resolve(const MapUpdate& update);
    /** Shortest update to a map from the one in use, which is the initial one of the shape or known by its version. */
    [[nodiscard]] static MapUpdate difference(const GroupMap& inUse, std::uint64_t inUseVersion, const GroupMap& next,
        std::uint64_t version, std::uint32_t experts);

private:
    std::map<std::uint64_t, Map> maps;
};

} // namespace chivewinch::group
