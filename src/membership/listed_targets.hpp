#pragma once

#include "base/clock.hpp"
#include "base/id.hpp"
#include "settings/value_type.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace chivewinch::membership {

/** A target in the platform's list. */
struct ListedTarget {
    base::TargetId id;
    std::string pool; ///< Pool that the target belongs to.
    settings::Endpoint endpoint;
    base::ZoneId zone;
    base::Incarnation incarnation {}; ///< One start of the target; changes with each restart under the same id.
    std::uint32_t capacity = 0; ///< Requests that the target runs at the same time; 0 if unknown.
    bool leaving = false; ///< The target finishes its running work and gets no new work.
    std::string group; ///< Group of targets that run their requests together; empty if the target is in none.
    /** Time for which the target remains cold, as of its report; it tolerates fewer requests until then. */
    std::chrono::milliseconds coldFor { 0 };

    auto operator<=>(const ListedTarget&) const = default;
};

struct ListedTargetsOptions {
    /**
     * Time after an outage of the list in which the targets whose entries expired during the outage register again.
     * An entry that is still missing afterwards is removed. The platform states about 2 s.
     */
    std::chrono::milliseconds recoveryTime { 2'300 };
    /**
     * Longest time for which a missing entry is kept after a moment at which the list was still unavailable. From the
     * outside, an outage of the list and a cut of this process look the same, and a target that has left in the
     * meantime must not get work from a process that is in contact again.
     */
    std::chrono::milliseconds maxKeepTime { 2'700 };
    /** Shortest outage of the list during which entries can expire. */
    std::chrono::milliseconds minOutage { 700 };
    /** Off: every removal takes effect at once, even right after an outage. */
    bool keepExpired = true;

    bool operator==(const ListedTargetsOptions&) const = default;
};

/** The targets in the platform's list, which can be unavailable for a while. Not thread-safe. */
class ListedTargets {
public:
    explicit ListedTargets(ListedTargetsOptions options = {}) noexcept
        : options { options }
    {
    }

    /** Applies a completely read list: calls put for its targets and remove for all others. */
    void replace(const std::vector<ListedTarget>& listed, base::SteadyTime now);
    void put(const ListedTarget& target, base::SteadyTime now);
    void remove(const base::TargetId& target, base::SteadyTime now);

    /** Starts an outage of the list; has no effect during an outage. */
    void markDisconnected(base::SteadyTime now) noexcept;
    /**
     * Ends an outage of the list. Removals are delayed from now on until the recovery time has passed.
     * @param unavailableAt Last moment at which the list is known to have been unavailable.
     * Returns the begin of the outage, or nullopt if there was none.
     */
    std::optional<base::SteadyTime> markReconnected(base::SteadyTime now, base::SteadyTime unavailableAt) noexcept;

    /** Removes the entries that are still missing at the end of the recovery time. */
    void advance(base::SteadyTime now);

    /** Zones of the targets whose removal is delayed. */
    [[nodiscard]] std::set<base::ZoneId> zonesWithMissing() const;
    /**
     * Removes the targets of the zone whose removal is delayed: the list was available to their zone, so that their
     * entries have not expired. Returns their number.
     */
    std::size_t removeMissing(const base::ZoneId& zone);

    /** All targets that are listed or may be listed again after an outage, ordered by id. */
    [[nodiscard]] std::vector<ListedTarget> snapshot() const;
    [[nodiscard]] const ListedTarget* find(const base::TargetId& target) const;

    /** Changes whenever the snapshot changes. */
    [[nodiscard]] std::uint64_t version() const noexcept { return this->changes; }

private:
    struct Entry {
        ListedTarget target;
        std::optional<base::SteadyTime> removeAt; ///< Time of removal; set while the entry is missing after an outage.

        bool operator==(const Entry&) const = default;
    };

    ListedTargetsOptions options;
    std::map<base::TargetId, Entry> entries;
    std::optional<base::SteadyTime> disconnectedAt;
    base::SteadyTime recoveryEnd {};
    std::uint64_t changes = 0;
};

} // namespace chivewinch::membership
