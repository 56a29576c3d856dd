#include "expert/layer_balance.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace chivewinch::expert {

namespace internal {

/** Divides shareUnit into integers in proportion to the loads. Units left by rounding go to the largest fractions. */
std::vector<std::uint32_t> roundShares(const std::vector<LayerBalance::Part>& parts)
{
    double total = 0;
    for (const auto& part : parts)
        total += part.load;
    std::vector<std::uint32_t> shares(parts.size());
    std::vector<double> fractions(parts.size());
    std::uint32_t left = shareUnit;
    for (std::size_t i = 0; i < parts.size(); ++i) {
        const auto exact = shareUnit * (total > 0 ? parts[i].load / total : 1.0 / static_cast<double>(parts.size()));
        shares[i] = std::min(left, static_cast<std::uint32_t>(exact));
        fractions[i] = exact - shares[i];
        left -= shares[i];
    }
    std::vector<std::size_t> order(parts.size());
    std::iota(order.begin(), order.end(), 0);
    std::ranges::stable_sort(order, [&](auto a, auto b) { return fractions[a] > fractions[b]; });
    for (std::size_t i = 0; left > 0; i = (i + 1) % order.size(), --left)
        ++shares[order[i]];
    return shares;
}

} // namespace internal

LayerBalance::LayerBalance(const GroupShape& shape, std::span<const double> loads)
    : slots { shape.slotsPerRank }
    , expertLoads { loads.begin(), loads.end() }
    , experts(shape.experts)
    , expertsByRank(shape.ranks)
    , ranks(shape.ranks)
{
}

LayerBalance::LayerBalance(const GroupShape& shape, const LayerMap& layer, std::span<const double> loads)
    : LayerBalance { shape, loads }
{
    for (const auto& replica : layer) {
        const auto part = this->expertLoads[replica.expert] * replica.share / shareUnit;
        this->experts[replica.expert].push_back({ .rank = replica.rank, .load = part });
        this->expertsByRank[replica.rank].push_back(replica.expert);
        this->ranks[replica.rank] += part;
    }
}

double LayerBalance::skew() const
{
    const auto total = std::accumulate(this->ranks.begin(), this->ranks.end(), 0.0);
    return total > 0 ? *std::ranges::max_element(this->ranks) * static_cast<double>(this->ranks.size()) / total : 1;
}

void LayerBalance::splitEqually()
{
    for (std::uint32_t expert = 0; expert < this->experts.size(); ++expert) {
        auto& parts = this->experts[expert];
        for (auto& part : parts) {
            this->ranks[part.rank] -= part.load;
            part.load = this->expertLoads[expert] / static_cast<double>(parts.size());
            this->ranks[part.rank] += part.load;
        }
    }
}

void LayerBalance::balanceShares(std::uint32_t sweeps)
{
    // Convergence is measured by the moved load, not by the largest rank load: load first spreads through a large set
    // of hot ranks before the largest load falls.
    constexpr double converged = 1e-4;
    for (std::uint32_t sweep = 0; sweep < sweeps; ++sweep) {
        double changed = 0;
        for (std::uint32_t expert = 0; expert < this->experts.size(); ++expert)
            changed += this->waterFill(expert);
        if (changed < converged)
            return;
    }
}

double LayerBalance::waterFill(std::uint32_t expert)
{
    auto& parts = this->experts[expert];
    if (parts.size() < 2) {
        if (parts.size() == 1) {
            this->ranks[parts[0].rank] += this->expertLoads[expert] - parts[0].load;
            parts[0].load = this->expertLoads[expert];
        }
        return 0;
    }
    this->levels.clear();
    for (auto& part : parts) {
        this->ranks[part.rank] -= part.load;
        this->levels.push_back(this->ranks[part.rank]);
    }
    std::ranges::sort(this->levels);
    auto level = this->levels[0] + this->expertLoads[expert];
    double sum = this->levels[0];
    for (std::size_t i = 1; i < this->levels.size() && level > this->levels[i]; ++i) {
        sum += this->levels[i];
        level = (sum + this->expertLoads[expert]) / static_cast<double>(i + 1);
    }
    double changed = 0;
    for (auto& part : parts) {
        const auto load = std::max(0.0, level - this->ranks[part.rank]);
        changed += std::abs(load - part.load);
        part.load = load;
        this->ranks[part.rank] += load;
    }
    return changed;
}

bool LayerBalance::holds(std::uint32_t expert, std::uint32_t rank) const
{
    return std::ranges::find(this->expertsByRank[rank], expert) != this->expertsByRank[rank].end();
}

std::uint32_t LayerBalance::freeSlots(std::uint32_t rank) const
{
    return this->slots - std::min(this->slots, static_cast<std::uint32_t>(this->expertsByRank[rank].size()));
}

void LayerBalance::addReplica(std::uint32_t expert, std::uint32_t rank)
{
    this->experts[expert].push_back({ .rank = rank, .load = 0 });
    this->expertsByRank[rank].push_back(static_cast<std::uint16_t>(expert));
}

void LayerBalance::removeReplica(std::uint32_t expert, std::uint32_t rank)
{
    auto& parts = this->experts[expert];
    const auto place = std::ranges::find(parts, rank, &Part::rank);
    this->ranks[rank] -= place->load;
    parts.erase(place);
    std::erase(this->expertsByRank[rank], expert);
    (void)this->waterFill(expert);
}

LayerMap LayerBalance::toLayer() const
{
    LayerMap layer;
    for (std::uint32_t expert = 0; expert < this->experts.size(); ++expert) {
        const auto shares = internal::roundShares(this->experts[expert]);
        for (std::size_t i = 0; i < shares.size(); ++i)
            layer.push_back({ .expert = static_cast<std::uint16_t>(expert),
                .rank = static_cast<std::uint16_t>(this->experts[expert][i].rank),
                .share = shares[i] });
    }
    std::ranges::sort(layer);
    return layer;
}

} // namespace chivewinch::expert
