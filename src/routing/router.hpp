#pragma once

#include "base/clock.hpp"
#include "base/id.hpp"
#include "base/random.hpp"
#include "base/reason.hpp"
#include "membership/target_table.hpp"
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

    /** Replaces the pools by those of a bundle. Budgets of pools that stay are kept. */
    void setPools(std::span<const PoolSpec> specs);

    /** Identities of the live entries of this zone, for an even use of the targets; this entry may be left out. */
    void setPeers(std::span<const std::string> entries);

    /** Takes over liveness and addresses; to be called when TargetTable::version changes. */
    void setTargets(std::span<const membership::TargetView> views);

    /** Target for the attempt; nullopt when none can take it now, see lastReason. */
    [[nodiscard]] std::optional<Choice> choose(const RouteRequest& request, base::SteadyTime now);

    /**
     * Why the last choose returned nothing: UnknownModel (no such pool), NoTarget (none is usable) or
     * TargetBusy (all are full: the request may wait in an AdmissionQueue).
     */
    [[nodiscard]] base::RefusalReason lastReason() const noexcept { return this->reason; }

    /** The attempt is being sent to the chosen target. */
    void started(const RouteRequest& request, const Choice& choice, base::SteadyTime now);

    /** A started attempt has ended. The load is nullopt when the target did not state it. */
    void finished(
        const base::TargetId& target, Result result, const std::optional<LoadReport>& load, base::SteadyTime now);

    /** Load from a heartbeat. */
    void reported(const base::TargetId& target, const LoadReport& load, base::SteadyTime now);

    /** The target has asked for no attempts before this time. It is passed over and does not count as failing. */
    void closeUntil(const base::TargetId& target, base::SteadyTime until);
    /** When the first target of a pool opens whose targets are all closed; nullopt if one is open. */
    [[nodiscard]] std::optional<base::SteadyTime> reopensAt(std::string_view pool, base::SteadyTime now) const;

    /** Retries in each window on top of the share, of all pools and of those that are set later. */
    void setRetryConstant(std::uint32_t constant);
    /** Takes one retry from the pool's budget; false when it is spent. */
    [[nodiscard]] bool allowRetry(std::string_view pool, base::SteadyTime now);

    /** Targets of this entry's zone among which the pool chooses. */
    [[nodiscard]] std::vector<base::TargetId> subset(std::string_view pool) const;

    [[nodiscard]] bool isEjected(const base::TargetId& target, base::SteadyTime now) const;
    /** Attempts started so far by kind, for metrics. */
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
        internal::ShareBudget spills;
    };

    struct Candidate {
        Slot* slot = nullptr;
        double load = 0; ///< As a share of the capacity.
        std::uint64_t score = 0; ///< Rendezvous hash for the prefix.
    };

    struct StringHash {
        using is_transparent = void;
        std::size_t operator()(std::string_view text) const noexcept { return std::hash<std::string_view> {}(text); }
    };

    template <typename Value> using Table = std::unordered_map<std::string, Value, StringHash, std::equal_to<>>;

    RouterOptions options;
    base::RandomSource& random;
    std::uint64_t entryHash;
    std::vector<std::uint64_t> entryHashes; ///< Of all entries of the zone, in ascending order.
    double perReportMemory; ///< Per nanosecond.
    double perAssumedCapacity;
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
    [[nodiscard]] bool gather(
        std::span<Slot* const> members, const RouteRequest& request, double limit, base::SteadyTime now);
    [[nodiscard]] Slot* pickByPrefix(std::uint64_t prefixHash);
    [[nodiscard]] double affinityBoundFor(double meanLoad) const noexcept;
    [[nodiscard]] Slot* pickOfTwo();
    [[nodiscard]] Slot* pickLeastLoaded();
    [[nodiscard]] std::optional<Choice> chooseLocal(const RouteRequest& request);
    [[nodiscard]] std::optional<Choice> chooseRemote(Pool& pool, const RouteRequest& request, base::SteadyTime now);
    [[nodiscard]] std::optional<Choice> chooseLastResort(
        const Pool& pool, const RouteRequest& request, base::SteadyTime now);
    [[nodiscard]] bool mayEject(const Slot& slot, base::SteadyTime now) const;
};

} // namespace chivewinch::routing
