#include "expert/map.hpp"

#include "base/hash.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace chivewinch::expert {

namespace internal {

using Code = MapError::Code;

constexpr std::uint32_t maxIndex = std::numeric_limits<std::uint16_t>::max();
constexpr std::size_t headerBytes = 16;
constexpr std::size_t replicaBytes = 8;
constexpr std::size_t countBytes = 4;

bool validShape(const GroupShape& shape)
{
    const auto inRange = [](std::uint32_t value) { return value > 0 && value <= maxIndex; };
    return inRange(shape.ranks) && inRange(shape.experts) && inRange(shape.layers) && inRange(shape.slotsPerRank);
}

MapError checkReplicas(const GroupShape& shape, const LayerMap& layer)
{
    std::vector<std::uint32_t> used(shape.ranks);
    for (std::size_t i = 0; i < layer.size(); ++i) {
        const auto& replica = layer[i];
        if (replica.expert >= shape.experts)
            return { Code::UnknownExpert, "expert " + std::to_string(replica.expert) };
        if (replica.rank >= shape.ranks)
            return { Code::UnknownRank, "rank " + std::to_string(replica.rank) };
        if (i > 0 && layer[i - 1].expert == replica.expert && layer[i - 1].rank == replica.rank)
            return { Code::Duplicate, "expert " + std::to_string(replica.expert) + " twice on one rank" };
        if (++used[replica.rank] > shape.slotsPerRank)
            return { Code::MemoryLimit, "rank " + std::to_string(replica.rank) };
    }
    return {};
}

MapError checkShares(const GroupShape& shape, const LayerMap& layer)
{
    std::vector<std::uint64_t> sums(shape.experts);
    std::vector<bool> present(shape.experts);
    for (const auto& replica : layer) {
        sums[replica.expert] += replica.share;
        present[replica.expert] = true;
    }
    for (std::uint32_t expert = 0; expert < shape.experts; ++expert) {
        if (!present[expert])
            return { Code::NoReplica, "expert " + std::to_string(expert) };
        if (sums[expert] != shareUnit)
            return { Code::BadShares, "expert " + std::to_string(expert) };
    }
    return {};
}

MapError checkLayer(const GroupShape& shape, const LayerMap& layer)
{
    auto error = checkReplicas(shape, layer);
    return error.code == Code::None ? checkShares(shape, layer) : error;
}

void append(std::string& out, std::uint64_t value, std::size_t bytes)
{
    for (std::size_t i = 0; i < bytes; ++i)
        out.push_back(static_cast<char>((value >> (8 * i)) & 0xFFU));
}

/** Reads little-endian integers; reading past the end sets `failed`. */
struct Reader {
    std::string_view bytes;
    bool failed = false;

    std::uint32_t take(std::size_t count)
    {
        if (this->bytes.size() < count) {
            this->failed = true;
            return 0;
        }
        std::uint32_t value = 0;
        for (std::size_t i = 0; i < count; ++i)
            value |= static_cast<std::uint32_t>(static_cast<unsigned char>(this->bytes[i])) << (8 * i);
        this->bytes.remove_prefix(count);
        return value;
    }
};

LayerMap readLayer(Reader& reader)
{
    const auto count = reader.take(countBytes);
    LayerMap layer;
    if (reader.bytes.size() / replicaBytes < count) {
        reader.failed = true;
        return layer;
    }
    layer.reserve(count);
    for (std::uint32_t i = 0; i < count; ++i) {
        Replica replica;
        replica.expert = static_cast<std::uint16_t>(reader.take(2));
        replica.rank = static_cast<std::uint16_t>(reader.take(2));
        replica.share = reader.take(4);
        layer.push_back(replica);
    }
    return layer;
}

} // namespace internal

ExpertMap::ExpertMap(const GroupShape& shape, std::vector<LayerMap> layers)
    : groupShape { shape }
    , layerMaps { std::move(layers) }
{
}

std::optional<ExpertMap> ExpertMap::create(const GroupShape& shape, std::vector<LayerMap> layers, MapError& reason)
{
    reason = {};
    if (!internal::validShape(shape) || layers.size() != shape.layers) {
        reason = { MapError::Code::BadShape, "shape is empty, too large or does not match the layers" };
        return std::nullopt;
    }
    for (std::size_t index = 0; index < layers.size(); ++index) {
        std::ranges::sort(layers[index]);
        reason = internal::checkLayer(shape, layers[index]);
        if (reason.code != MapError::Code::None) {
            reason.detail = "layer " + std::to_string(index) + ": " + reason.detail;
            return std::nullopt;
        }
    }
    return ExpertMap { shape, std::move(layers) };
}

std::optional<ExpertMap> ExpertMap::decode(std::string_view bytes, MapError& reason)
{
    internal::Reader reader { .bytes = bytes };
    GroupShape shape;
    shape.ranks = reader.take(4);
    shape.experts = reader.take(4);
    shape.layers = reader.take(4);
    shape.slotsPerRank = reader.take(4);
    std::vector<LayerMap> layers;
    for (std::uint32_t i = 0; i < shape.layers && !reader.failed; ++i)
        layers.push_back(internal::readLayer(reader));
    if (reader.failed || !reader.bytes.empty()) {
        reason = { MapError::Code::BadEncoding, "length does not match the content" };
        return std::nullopt;
    }
    return create(shape, std::move(layers), reason);
}

std::string ExpertMap::encode() const
{
    std::string out;
    out.reserve(internal::headerBytes + this->layerMaps.size() * internal::countBytes);
    for (const auto value :
        { this->groupShape.ranks, this->groupShape.experts, this->groupShape.layers, this->groupShape.slotsPerRank })
        internal::append(out, value, 4);
    for (const auto& layer : this->layerMaps) {
        internal::append(out, layer.size(), internal::countBytes);
        for (const auto& replica : layer) {
            internal::append(out, replica.expert, 2);
            internal::append(out, replica.rank, 2);
            internal::append(out, replica.share, 4);
        }
    }
    return out;
}

std::uint64_t ExpertMap::digest() const { return base::hash64(this->encode()); }

std::uint32_t countMoves(const LayerMap& before, const LayerMap& after)
{
    const auto place = [](const Replica& replica) { return std::pair { replica.expert, replica.rank }; };
    std::uint32_t moves = 0;
    auto old = before.begin();
    for (const auto& replica : after) {
        while (old != before.end() && place(*old) < place(replica))
            ++old;
        if (old == before.end() || place(*old) != place(replica))
            ++moves;
    }
    return moves;
}

std::uint64_t countMoves(const ExpertMap& before, const ExpertMap& after)
{
    std::uint64_t moves = 0;
    const auto layers = std::min(before.layers().size(), after.layers().size());
    for (std::size_t index = 0; index < layers; ++index)
        moves += countMoves(before.layers()[index], after.layers()[index]);
    return moves;
}

} // namespace chivewinch::expert
