#include "expert/even_split_plan.hpp"

#include <algorithm>
#include <functional>
#include <numeric>
#include <optional>
#include <utility>

namespace chivewinch::expert {

namespace internal {

// Number of busiest ranks whose experts the search tries to move. It tries them one after the other and stops at the
// first rank with a worthwhile change, since moving load off the remaining ranks does not lower the peak. Always trying
// all four took twice as long and gave the same skew.
constexpr std::size_t maxBusiestRanks = 4;
// Number of least loaded ranks that are considered as destinations. Considering all 72 ranks of a large group took four
// times as long.
constexpr std::size_t maxIdlestRanks = 16;

/** One change of the placement. */
struct Change {
    std::optional<std::uint16_t> add; ///< Expert that the rank gets.
    std::uint32_t rank = 0;
    std::optional<std::uint16_t> evict; ///< Expert that the rank loses.
    std::optional<std::uint32_t> dropFrom; ///< Rank that loses the added expert.
};

/**
 * Contribution of one rank to the objective. The sum of eighth powers is a smooth approximation of the largest load
 * that also rewards lowering the second largest.
 */
double penaltyOf(double load) noexcept
{
    const auto square = load * load;
    const auto fourth = square * square;
    return fourth * fourth;
}

class Search {
public:
    /** @param copies Number of experts that each rank loads in all layers together; must outlive the search. */
    Search(const LayerPlacement& placement, std::span<const double> loads, const EvenSplitOptions& options,
        std::vector<std::uint32_t>& copies)
        : options { options }
        , copies { copies }
        , original { placement }
        , held { placement }
        , loads { loads.begin(), loads.end() }
        , holders(loads.size())
        , added(placement.size())
        , ranks(placement.size())
        , penalties(placement.size())
        , deltas(placement.size())
        , mean { std::accumulate(loads.begin(), loads.end(), 0.0) / static_cast<double>(placement.size()) }
    {
        for (std::uint32_t rank = 0; rank < this->held.size(); ++rank) {
            for (const auto expert : this->held[rank])
                this->holders[expert].push_back(rank);
        }
        if (this->options.paces.size() != this->held.size())
            this->options.paces.assign(this->held.size(), 1.0);
        this->sumLoads();
    }

    [[nodiscard]] double skew() const { return this->mean <= 0 ? 1 : std::ranges::max(this->ranks) / this->mean; }

    /** Applies the best change. Returns false if no change improves the objective enough. */
    bool improve()
    {
        const auto now = this->objective;
        std::optional<Change> best;
        double bestObjective = now;
        const auto consider = [&](const Change& change) {
            const auto value = this->objectiveAfter(change);
            const bool loads = change.add && !this->heldOriginally(*change.add, change.rank);
            const auto needed = loads ? now * (1 - this->options.minImprovement) : now * (1 - 1e-9);
            if (value < bestObjective && value < needed) {
                bestObjective = value;
                best = change;
            }
        };
        const auto idlest = this->ranksBy(std::less {}, maxIdlestRanks);
        for (const auto busy : this->ranksBy(std::greater {}, maxBusiestRanks)) {
            this->considerRank(busy, idlest, consider);
            if (best)
                break;
        }
        if (!best)
            return false;
        this->apply(*best);
        return true;
    }

    [[nodiscard]] const LayerPlacement& placement() const { return this->held; }

    [[nodiscard]] std::uint32_t loaded() const { return std::accumulate(this->added.begin(), this->added.end(), 0U); }

private:
    EvenSplitOptions options;
    std::vector<std::uint32_t>& copies;
    LayerPlacement original;
    LayerPlacement held;
    std::vector<double> loads;
    std::vector<std::vector<std::uint32_t>> holders; ///< Ranks by expert.
    std::vector<std::uint32_t> added; ///< Number of experts that each rank must load.
    std::vector<double> ranks; ///< Load by rank.
    std::vector<double> penalties; ///< Penalty of the load, by rank.
    std::vector<double> deltas; ///< Load differences of the change being evaluated, by rank; all 0 between two calls.
    std::vector<std::uint32_t> changedRanks; ///< Ranks with a load difference.
    double objective = 0; ///< Sum of the penalties.
    double mean;

    [[nodiscard]] std::size_t replicas(std::uint16_t expert) const { return this->holders[expert].size(); }

    [[nodiscard]] double part(std::uint16_t expert, std::size_t count) const
    {
        return this->loads[expert] / static_cast<double>(count);
    }

    /** Time that a rank needs for its part of an expert that `count` ranks hold. */
    [[nodiscard]] double timeOf(std::uint32_t rank, std::uint16_t expert, std::size_t count) const
    {
        return this->part(expert, count) * this->options.paces[rank];
    }

    [[nodiscard]] static bool contains(const std::vector<std::uint16_t>& experts, std::uint16_t expert)
    {
        return std::ranges::binary_search(experts, expert);
    }

    [[nodiscard]] bool canLoad(std::uint32_t rank) const
    {
        const auto most = this->options.maxCopiesPerRank;
        return this->added[rank] < this->options.maxNewPerRank && (most == 0 || this->copies[rank] < most);
    }

    [[nodiscard]] bool heldOriginally(std::uint16_t expert, std::uint32_t rank) const
    {
        return contains(this->original[rank], expert);
    }

    template <typename Order> [[nodiscard]] std::vector<std::uint32_t> ranksBy(Order before, std::size_t limit) const
    {
        std::vector<std::uint32_t> order(this->ranks.size());
        std::iota(order.begin(), order.end(), 0U);
        const auto count = std::min(limit, order.size());
        std::ranges::partial_sort(order, order.begin() + static_cast<std::ptrdiff_t>(count),
            [this, before](auto left, auto right) { return before(this->ranks[left], this->ranks[right]); });
        order.resize(count);
        return order;
    }

    template <typename Consider>
    void considerRank(std::uint32_t busy, const std::vector<std::uint32_t>& places, const Consider& consider)
    {
        for (const auto expert : this->held[busy]) {
            if (this->replicas(expert) > 1)
                consider(Change { .rank = busy, .evict = expert });
            for (const auto rank : places) {
                if (!contains(this->held[rank], expert))
                    this->considerPlace(expert, rank, busy, consider);
            }
        }
    }

    template <typename Consider>
    void considerPlace(std::uint16_t expert, std::uint32_t rank, std::uint32_t busy, const Consider& consider)
    {
        if (!this->heldOriginally(expert, rank) && !this->canLoad(rank))
            return;
        if (this->held[rank].size() < this->options.slotsPerRank) {
            consider(Change { .add = expert, .rank = rank });
            consider(Change { .add = expert, .rank = rank, .dropFrom = busy });
        }
        for (const auto evictable : this->held[rank]) {
            if (this->replicas(evictable) < 2)
                continue;
            consider(Change { .add = expert, .rank = rank, .evict = evictable });
            consider(Change { .add = expert, .rank = rank, .evict = evictable, .dropFrom = busy });
        }
    }

    void addDelta(std::uint32_t rank, double difference)
    {
        if (this->deltas[rank] == 0)
            this->changedRanks.push_back(rank);
        this->deltas[rank] += difference;
    }

    /** Adds the load differences of the ranks that hold the expert when its number of replicas becomes `count`. */
    void rescale(std::uint16_t expert, std::size_t count)
    {
        const auto difference = this->part(expert, count) - this->part(expert, this->replicas(expert));
        for (const auto rank : this->holders[expert])
            this->addDelta(rank, difference * this->options.paces[rank]);
    }

    /** Returns the objective after the change. Evaluates only the ranks whose load the change affects. */
    [[nodiscard]] double objectiveAfter(const Change& change)
    {
        if (change.add) {
            const auto after = this->replicas(*change.add) + (change.dropFrom ? 0 : 1);
            this->rescale(*change.add, after);
            this->addDelta(change.rank, this->timeOf(change.rank, *change.add, after));
            if (change.dropFrom)
                this->addDelta(*change.dropFrom, -this->timeOf(*change.dropFrom, *change.add, after));
        }
        if (change.evict) {
            const auto after = this->replicas(*change.evict) - 1;
            this->rescale(*change.evict, after);
            this->addDelta(change.rank, -this->timeOf(change.rank, *change.evict, after));
        }
        auto value = this->objective;
        for (const auto rank : this->changedRanks) {
            const auto difference = std::exchange(this->deltas[rank], 0.0);
            if (difference != 0)
                value += penaltyOf(this->ranks[rank] + difference) - this->penalties[rank];
        }
        this->changedRanks.clear();
        return value;
    }

    void insert(std::uint32_t rank, std::uint16_t expert)
    {
        auto& experts = this->held[rank];
        experts.insert(std::ranges::lower_bound(experts, expert), expert);
        this->holders[expert].push_back(rank);
        if (this->heldOriginally(expert, rank))
            return;
        ++this->added[rank];
        ++this->copies[rank];
    }

    void erase(std::uint32_t rank, std::uint16_t expert)
    {
        auto& experts = this->held[rank];
        experts.erase(std::ranges::lower_bound(experts, expert));
        std::erase(this->holders[expert], rank);
        if (this->heldOriginally(expert, rank))
            return;
        --this->added[rank];
        --this->copies[rank];
    }

    void apply(const Change& change)
    {
        if (change.evict)
            this->erase(change.rank, *change.evict);
        if (change.add)
            this->insert(change.rank, *change.add);
        if (change.add && change.dropFrom)
            this->erase(*change.dropFrom, *change.add);
        this->sumLoads();
    }

    void sumLoads()
    {
        this->objective = 0;
        for (std::uint32_t rank = 0; rank < this->held.size(); ++rank) {
            this->ranks[rank] = 0;
            for (const auto expert : this->held[rank])
                this->ranks[rank] += this->timeOf(rank, expert, this->replicas(expert));
            this->penalties[rank] = penaltyOf(this->ranks[rank]);
            this->objective += this->penalties[rank];
        }
    }
};

} // namespace internal

double evenSplitSkew(const LayerPlacement& placement, std::span<const double> loads, const std::vector<double>& paces)
{
    std::vector<std::uint32_t> copies(placement.size());
    return internal::Search { placement, loads, { .paces = paces }, copies }.skew();
}

std::vector<EvenSplitPlan> planEvenSplitLayers(
    const std::vector<LayerPlacement>& placements, std::span<const double> loads, const EvenSplitOptions& options)
{
    if (placements.empty())
        return {};
    const auto experts = loads.size() / placements.size();
    std::vector<std::uint32_t> copies(placements.front().size());
    std::vector<internal::Search> searches;
    std::vector<EvenSplitPlan> plans;
    searches.reserve(placements.size());
    for (std::size_t layer = 0; layer < placements.size(); ++layer) {
        searches.emplace_back(placements[layer], loads.subspan(layer * experts, experts), options, copies);
        plans.push_back({ .skewBefore = searches.back().skew() });
    }
    std::vector<bool> isDone(placements.size());
    for (std::uint32_t change = 0; change < options.maxChanges; ++change) {
        for (std::size_t layer = 0; layer < searches.size(); ++layer)
            isDone[layer] = isDone[layer] || !searches[layer].improve();
    }
    for (std::size_t layer = 0; layer < searches.size(); ++layer) {
        plans[layer].placement = searches[layer].placement();
        plans[layer].skewAfter = searches[layer].skew();
        plans[layer].loaded = searches[layer].loaded();
    }
    return plans;
}

EvenSplitPlan planEvenSplit(
    const LayerPlacement& placement, std::span<const double> loads, const EvenSplitOptions& options)
{
    return planEvenSplitLayers({ placement }, loads, options).front();
}

} // namespace chivewinch::expert
