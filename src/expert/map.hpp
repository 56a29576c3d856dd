#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chivewinch::expert {

/** Sum of the shares of all replicas of one expert. */
inline constexpr std::uint32_t shareUnit = 1U << 16;

/** Size of a model group. Every rank holds at most slotsPerRank replicas of each layer. */
struct GroupShape {
    std::uint32_t ranks = 0;
    std::uint32_t experts = 0; ///< Per layer.
    std::uint32_t layers = 0;
    std::uint32_t slotsPerRank = 0; ///< Per layer; the memory limit of a rank divided by the bytes of an expert.

    auto operator<=>(const GroupShape&) const = default;
};

/** One copy of an expert's weights and the part of the expert's tokens that it receives. */
struct Replica {
    std::uint16_t expert = 0;
    std::uint16_t rank = 0;
    std::uint32_t share = 0; ///< In units of 1 / shareUnit.

    auto operator<=>(const Replica&) const = default;
};

/** Replicas of one layer, ordered by expert and rank. */
using LayerMap = std::vector<Replica>;

struct MapError {
    enum class Code : std::uint8_t {
        None,
        BadShape,
        BadEncoding,
        UnknownExpert,
        UnknownRank,
        NoReplica,
        Duplicate,
        MemoryLimit,
        BadShares
    };
    Code code = Code::None;
    std::string detail;

    bool operator==(const MapError&) const = default;
};

/** Placement and shares of all experts of a group. Immutable; every instance is valid. */
class ExpertMap {
public:
    /**
     * Nullopt when a layer does not fit the shape, an expert has no replica, or the shares of an expert do not sum to
     * shareUnit; `reason` then tells the error.
     */
    [[nodiscard]] static std::optional<ExpertMap> create(
        const GroupShape& shape, std::vector<LayerMap> layers, MapError& reason);

    /** Inverse of encode. Nullopt and `reason` as for create, also for malformed bytes. */
    [[nodiscard]] static std::optional<ExpertMap> decode(std::string_view bytes, MapError& reason);

    /** Returns the canonical little-endian encoding: equal maps have equal bytes. */
    [[nodiscard]] std::string encode() const;

    [[nodiscard]] const GroupShape& shape() const noexcept { return this->groupShape; }
    [[nodiscard]] const LayerMap& layer(std::uint32_t index) const { return this->layerMaps.at(index); }
    [[nodiscard]] const std::vector<LayerMap>& layers() const noexcept { return this->layerMaps; }
    /** XXH3 hash of the canonical encoding. */
    [[nodiscard]] std::uint64_t digest() const;

    bool operator==(const ExpertMap&) const = default;

private:
    ExpertMap(const GroupShape& shape, std::vector<LayerMap> layers);

    GroupShape groupShape;
    std::vector<LayerMap> layerMaps;
};

/** Number of replicas in `after` whose rank does not hold the expert in `before`, so that it must load the weights. */
[[nodiscard]] std::uint32_t countMoves(const LayerMap& before, const LayerMap& after);

/** Sum of countMoves over all layers. */
[[nodiscard]] std::uint64_t countMoves(const ExpertMap& before, const ExpertMap& after);

} // namespace chivewinch::expert
