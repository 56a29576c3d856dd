#pragma once

#include "base/clock.hpp"
#include "base/id.hpp"
#include "settings/value_type.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace chivewinch::membership {

/** A target as the platform's list shows it. */
struct ListedTarget {
    base::TargetId id;
    std::string pool; ///< Pool that the target belongs to.
    settings::Endpoint endpoint;
    base::ZoneId zone;
    base::Incarnation incarnation {}; ///< Start of the target; changes when it restarts under the same identity.
    std::uint32_t capacity = 0; ///< Requests that run at once; 0 if unknown.
    bool leaving = false; ///< Finishes its work and takes nothing new.

    auto operator<=>(const ListedTarget&) const = default;
};

struct ListedTargetsOptions {
    /**
     * Targets whose entries lapsed during an outage of the list are listed again within this time of its return; an
     * entry that is missing afterwards is gone. The platform states about 2 s.
     */
    std::chrono::milliseconds returnTime { 2'300 };
    /** A shorter silence of the list lets no entry lapse. */
    std::chrono::milliseconds minOutage { 700 };
    /** Off: a removal counts at once, also right after an outage. */
    bool keepLapsed = true;

    bool operator==(const ListedTargetsOptions&) const = default;
};

/** Targets by the platform's list, which can be away for a while. Not thread-safe. */
class ListedTargets {
public:
    explicit ListedTargets(ListedTargetsOptions options = {}) noexcept
        : options { options }
    {
    }

    /** Replaces the list by one that was read whole. */
    void replace(const std::vector<ListedTarget>& listed, base::SteadyTime now);
    void put(const ListedTarget& target, base::SteadyTime now);
    void remove(const base::TargetId& target, base::SteadyTime now);

    void lostContact(base::SteadyTime now) noexcept;
    void regainedContact(base::SteadyTime now) noexcept;

    /** Drops entries that were missing for too long after an outage. */
    void advance(base::SteadyTime now);

    /** All targets that are listed or may return, by identity. */
    [[nodiscard]] std::vector<ListedTarget> snapshot() const;
    [[nodiscard]] const ListedTarget* find(const base::TargetId& target) const;

    /** Changes whenever the snapshot changes. */
    [[nodiscard]] std::uint64_t version() const noexcept { return this->changes; }

private:
    struct Entry {
        ListedTarget target;
        std::optional<base::SteadyTime> goneAt; ///< Set while the entry is missing but may return.

        bool operator==(const Entry&) const = default;
    };

    ListedTargetsOptions options;
    std::map<base::TargetId, Entry> entries;
    std::optional<base::SteadyTime> lostAt;
    base::SteadyTime returnsUntil {};
    std::uint64_t changes = 0;
};

} // namespace chivewinch::membership
