#pragma once

#include "base/clock.hpp"
#include "base/id.hpp"
#include "base/random.hpp"
#include "base/reason.hpp"
#include "membership/target_table.hpp"
#include "quota/target_limits.hpp"
#include "routing/options.hpp"
#include "routing/request.hpp"
#include "routing/retry_budget.hpp"
#include "routing/share_budget.hpp"
#include "routing/target_slot.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace chivewinch::routing {

/** Chooses a target for each attempt. Not thread-safe. */
class Router {
public:
    Router(RouterOptions options, base::RandomSource& random);

    /** Replaces the pools by those of a bundle. Pools that remain keep their retry and spill-over budgets. */
    void setPools(std::span<const PoolSpec> specs);

    /** Sets the live entries of this zone, so that their subsets use the targets evenly. This entry may be omitted. */
    void setPeers(std::span<const std::string> entries);

    /** Keeps the attempts within the request limits that targets state; the limits must outlive the router. */
    void setTargetLimits(quota::TargetLimits& targetLimits) noexcept { this->limits = &targetLimits; }

    /** Updates the state, zone, incarnation and held flag of the targets. Call it when TargetTable::version changes. */
    void setTargets(std::span<const membership::TargetView> views);

    /** Chooses a target for the attempt; returns nullopt if no target is available now, see lastReason. */
    [[nodiscard]] std::optional<Choice> choose(const RouteRequest& request, base::SteadyTime now);

    /**
     * Reason why choose last returned nullopt: UnknownModel (no such pool), NoTarget (no target is usable), TargetLimit
     * (all usable targets have used up their request limit) or TargetBusy (all usable targets are full; the request may
     * wait in an AdmissionQueue).
     */
    [[nodiscard]] base::RefusalReason lastReason() const noexcept { return this->reason; }

    /** Records that the attempt is being sent to the chosen target. */
    void started(const RouteRequest& request, const Choice& choice, base::SteadyTime now);

    /** Records the end of a started attempt. The load is nullopt if the target did not report it. */
    void finished(
        const base::TargetId& target, Result result, const std::optional<LoadReport>& load, base::SteadyTime now);

    /** Updates the load of a target from a heartbeat. */
    void reported(const base::TargetId& target, const LoadReport& load, base::SteadyTime now);

    /** Sends no attempts to the target before the given time, because it asked for that. Not counted as a failure. */
    void closeUntil(const base::TargetId& target, base::SteadyTime until);
    /**
     * Time at which a target accepts the attempt after `index` others, if all targets of the pool are closed (see
     * closeUntil) or have used up their request limit; nullopt if the pool is unknown, has no targets or has a target
     * that accepts attempts without a limit.
     * @param onlyOwn Takes limited targets into account only if this process owns a share of their limit.
     */
    [[nodiscard]] std::optional<base::SteadyTime> opensAt(
        const RouteRequest& request, std::size_t index, bool onlyOwn, base::SteadyTime now) const;

    /** True if a target of the pool has a request limit. */
    [[nodiscard]] bool hasLimitedTargets(const RouteRequest& request) const;

    /** Sets the number of retries per window in addition to the share, for current and future pools. */
    void setRetryConstant(std::uint32_t constant);
    /** Takes one retry from the pool's budget; returns false if the budget is exhausted or the pool is unknown. */
    [[nodiscard]] bool allowRetry(std::string_view pool, base::SteadyTime now);

    /** Subset of the pool's live targets in this entry's zone from which the router chooses. */
    [[nodiscard]] std::vector<base::TargetId> subset(std::string_view pool) const;

    [[nodiscard]] bool isEjected(const base::TargetId& target, base::SteadyTime now) const;
    /** Number of attempts started with this kind of choice, for metrics. */
    [[nodiscard]] std::uint64_t startedCount(ChoiceKind kind) const noexcept
    {
        return this->starts[static_cast<std::size_t>(kind)];
    }
    [[nodiscard]] std::uint64_t ejections() const noexcept { return this->ejectionCount; }

private:
    using Slot = internal::TargetSlot;

    struct Pool {
        Pool(std::string name, const RouterOptions& options);

        std::string name;
        std::vector<base::TargetId> targets;
        bool hasLocalTargets = true;
        std::vector<Slot*> local; ///< Live targets of this zone.
        std::vector<Slot*> remote; ///< Live targets of other zones.
        std::vector<Slot*> suspect; ///< Suspect targets of this zone.
        RetryBudget retries;
        internal::ShareBudget spillBudget;
    };

    struct Candidate {
        Slot* slot = nullptr;
        double load = 0; ///< Share of the capacity, including the failure penalty.
        std::uint64_t score = 0; ///< Rendezvous hash for the prefix.
    };

    struct StringHash {
        using is_transparent = void;
        std::size_t operator()(std::string_view text) const noexcept { return std::hash<std::string_view> {}(text); }
    };

    template <typename Value> using Table = std::unordered_map<std::string, Value, StringHash, std::equal_to<>>;

    RouterOptions options;
    base::RandomSource& random;
    quota::TargetLimits* limits = nullptr;
    std::uint64_t entryHash;
    std::vector<std::uint64_t> entryHashes; ///< Hashes of all entries of the zone, in ascending order.
    double inverseReportHalfWeightAge; ///< 1 / reportHalfWeightAge, per nanosecond.
    double inverseAssumedCapacity;
    Table<Slot> slots;
    Table<std::unique_ptr<Pool>> pools;
    std::vector<Candidate> candidates;
    std::array<std::uint64_t, static_cast<std::size_t>(ChoiceKind::Count)> starts {};
    std::uint64_t ejectionCount = 0;
    base::RefusalReason reason = base::RefusalReason::None;

    void rebuild(Pool& pool);
    void limitToSubset(std::vector<Slot*>& members, std::span<const std::uint64_t> entries) const;
    [[nodiscard]] double loadOf(const Slot& slot, base::SteadyTime now) const;
    [[nodiscard]] bool isFull(const Slot& slot, double limit) const;
    [[nodiscard]] bool isOpen(const Slot& slot, const RouteRequest& request, base::SteadyTime now) const;
    [[nodiscard]] static bool isExcluded(const Slot& slot, const RouteRequest& request);
    /** True if the target accepts an attempt, as far as it has stated itself. */
    [[nodiscard]] bool acceptsAttempt(const Slot& slot, base::SteadyTime now) const;
    [[nodiscard]] bool collectCandidates(
        std::span<Slot* const> members, const RouteRequest& request, double limit, base::SteadyTime now);
    [[nodiscard]] Slot* pickByPrefix(std::uint64_t prefixHash);
    [[nodiscard]] double affinityBoundFor(double meanLoad) const noexcept;
    [[nodiscard]] Slot* pickByTwoChoices();
    [[nodiscard]] Slot* pickLeastLoaded();
    [[nodiscard]] std::optional<Choice> chooseLocal(const RouteRequest& request);
    [[nodiscard]] std::optional<Choice> chooseRemote(Pool& pool, const RouteRequest& request, base::SteadyTime now);
    [[nodiscard]] std::optional<Choice> chooseLastResort(
        const Pool& pool, const RouteRequest& request, base::SteadyTime now);
    [[nodiscard]] bool mayEject(const Slot& slot, base::SteadyTime now) const;
};

} // namespace chivewinch::routing
