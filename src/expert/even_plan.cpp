#include "expert/even_plan.hpp"

#include <algorithm>
#include <numeric>
#include <optional>

namespace chivewinch::expert {

namespace internal {

// Ranks whose experts are considered for another place; relief of the others does not lower the peak.
constexpr std::size_t busiestRanks = 4;

/** One step of the search. */
struct Change {
    std::optional<std::uint16_t> add; ///< Expert that the rank gets.
    std::uint32_t rank = 0;
    std::optional<std::uint16_t> evict; ///< Expert that the rank loses.
    std::optional<std::uint32_t> dropFrom; ///< Rank that loses the added expert.
};

class Search {
public:
    Search(const LayerHolding& holding, std::span<const double> loads, const EvenPlanOptions& options)
        : options { options }
        , original { holding }
        , held { holding }
        , loads { loads.begin(), loads.end() }
        , replicas(loads.size())
        , ranks(holding.size())
        , mean { std::accumulate(loads.begin(), loads.end(), 0.0) / static_cast<double>(holding.size()) }
    {
        for (const auto& experts : this->held) {
            for (const auto expert : experts)
                ++this->replicas[expert];
        }
        if (this->options.paces.size() != this->held.size())
            this->options.paces.assign(this->held.size(), 1.0);
        this->sumLoads();
    }

    [[nodiscard]] double skew() const { return this->mean <= 0 ? 1 : std::ranges::max(this->ranks) / this->mean; }

    /** Carries out the best change; false if none is worth it. */
    bool improve()
    {
        const auto now = objective(this->ranks);
        std::optional<Change> best;
        double bestValue = now;
        const auto consider = [&](const Change& change) {
            const auto value = this->valueOf(change);
            const bool loads = change.add && !this->hadBefore(*change.add, change.rank);
            const auto needed = loads ? now * (1 - this->options.minImprovement) : now * (1 - 1e-9);
            if (value < bestValue && value < needed) {
                bestValue = value;
                best = change;
            }
        };
        for (const auto busy : this->busiest())
            this->considerRank(busy, consider);
        if (!best)
            return false;
        this->apply(*best);
        return true;
    }

    [[nodiscard]] const LayerHolding& holding() const { return this->held; }

    [[nodiscard]] std::uint32_t loaded() const
    {
        std::uint32_t count = 0;
        for (std::uint32_t rank = 0; rank < this->held.size(); ++rank)
            count += this->newOn(rank);
        return count;
    }

private:
    EvenPlanOptions options;
    LayerHolding original;
    LayerHolding held;
    std::vector<double> loads;
    std::vector<std::uint32_t> replicas;
    std::vector<double> ranks;
    double mean;

    [[nodiscard]] double part(std::uint16_t expert, std::uint32_t count) const
    {
        return this->loads[expert] / static_cast<double>(count);
    }

    /** Smooth stand-in for the largest load, which also rewards relief of the second largest. */
    [[nodiscard]] static double objective(const std::vector<double>& ranks)
    {
        double sum = 0;
        for (const auto load : ranks) {
            const auto square = load * load;
            const auto fourth = square * square;
            sum += fourth * fourth;
        }
        return sum;
    }

    [[nodiscard]] static bool contains(const std::vector<std::uint16_t>& experts, std::uint16_t expert)
    {
        return std::ranges::binary_search(experts, expert);
    }

    [[nodiscard]] bool hadBefore(std::uint16_t expert, std::uint32_t rank) const
    {
        return contains(this->original[rank], expert);
    }

    [[nodiscard]] std::uint32_t newOn(std::uint32_t rank) const
    {
        return static_cast<std::uint32_t>(
            std::ranges::count_if(this->held[rank], [&](auto expert) { return !this->hadBefore(expert, rank); }));
    }

    [[nodiscard]] std::vector<std::uint32_t> busiest() const
    {
        std::vector<std::uint32_t> order(this->ranks.size());
        std::iota(order.begin(), order.end(), 0U);
        const auto count = std::min(busiestRanks, order.size());
        std::ranges::partial_sort(order, order.begin() + static_cast<std::ptrdiff_t>(count),
            [this](auto left, auto right) { return this->ranks[left] > this->ranks[right]; });
        order.resize(count);
        return order;
    }

    template <typename Consider> void considerRank(std::uint32_t busy, const Consider& consider) const
    {
        for (const auto expert : this->held[busy]) {
            if (this->replicas[expert] > 1)
                consider(Change { .rank = busy, .evict = expert });
            for (std::uint32_t rank = 0; rank < this->held.size(); ++rank) {
                if (!contains(this->held[rank], expert))
                    this->considerPlace(expert, rank, busy, consider);
            }
        }
    }

    template <typename Consider>
    void considerPlace(std::uint16_t expert, std::uint32_t rank, std::uint32_t busy, const Consider& consider) const
    {
        if (!this->hadBefore(expert, rank) && this->newOn(rank) >= this->options.maxNewPerRank)
            return;
        if (this->held[rank].size() < this->options.slotsPerRank) {
            consider(Change { .add = expert, .rank = rank });
            consider(Change { .add = expert, .rank = rank, .dropFrom = busy });
        }
        for (const auto other : this->held[rank]) {
            if (this->replicas[other] < 2)
                continue;
            consider(Change { .add = expert, .rank = rank, .evict = other });
            consider(Change { .add = expert, .rank = rank, .evict = other, .dropFrom = busy });
        }
    }

    /** Changes the loads of all ranks that hold the expert as its replicas change in number. */
    void rescale(std::vector<double>& result, std::uint16_t expert, std::uint32_t from, std::uint32_t to) const
    {
        const auto difference = this->part(expert, to) - this->part(expert, from);
        for (std::uint32_t rank = 0; rank < this->held.size(); ++rank) {
            if (contains(this->held[rank], expert))
                result[rank] += difference * this->options.paces[rank];
        }
    }

    [[nodiscard]] double valueOf(const Change& change) const
    {
        auto result = this->ranks;
        if (change.add) {
            const auto count = this->replicas[*change.add];
            const auto after = change.dropFrom ? count : count + 1;
            this->rescale(result, *change.add, count, after);
            result[change.rank] += this->timeOf(change.rank, *change.add, after);
            if (change.dropFrom)
                result[*change.dropFrom] -= this->timeOf(*change.dropFrom, *change.add, after);
        }
        if (change.evict) {
            const auto count = this->replicas[*change.evict];
            this->rescale(result, *change.evict, count, count - 1);
            result[change.rank] -= this->timeOf(change.rank, *change.evict, count - 1);
        }
        return objective(result);
    }

    void insert(std::uint32_t rank, std::uint16_t expert)
    {
        auto& experts = this->held[rank];
        experts.insert(std::ranges::lower_bound(experts, expert), expert);
        ++this->replicas[expert];
    }

    void erase(std::uint32_t rank, std::uint16_t expert)
    {
        auto& experts = this->held[rank];
        experts.erase(std::ranges::lower_bound(experts, expert));
        --this->replicas[expert];
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
        std::ranges::fill(this->ranks, 0.0);
        for (std::uint32_t rank = 0; rank < this->held.size(); ++rank) {
            for (const auto expert : this->held[rank])
                this->ranks[rank] += this->timeOf(rank, expert, this->replicas[expert]);
        }
    }

    /** Time of a rank for its part of an expert that this many ranks hold. */
    [[nodiscard]] double timeOf(std::uint32_t rank, std::uint16_t expert, std::uint32_t count) const
    {
        return this->part(expert, count) * this->options.paces[rank];
    }
};

} // namespace internal

double evenSkew(const LayerHolding& holding, std::span<const double> loads, const std::vector<double>& paces)
{
    return internal::Search { holding, loads, { .paces = paces } }.skew();
}

EvenPlan improveEvenly(const LayerHolding& holding, std::span<const double> loads, const EvenPlanOptions& options)
{
    internal::Search search { holding, loads, options };
    EvenPlan plan { .skewBefore = search.skew() };
    for (std::uint32_t change = 0; change < options.maxChanges; ++change) {
        if (!search.improve())
            break;
    }
    plan.holding = search.holding();
    plan.skewAfter = search.skew();
    plan.loaded = search.loaded();
    return plan;
}

} // namespace chivewinch::expert
