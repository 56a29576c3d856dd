#pragma once

#include "base/id.hpp"

#include <compare>
#include <set>
#include <utility>
#include <vector>

namespace chivewinch::membership {

/** Begin or end of an evacuation. */
struct ZoneChange {
    base::ZoneId zone;
    bool isEvacuated = false;

    auto operator<=>(const ZoneChange&) const = default;
};

/**
 * Zones that the operator evacuates: their targets get no new requests until the evacuation ends, while the requests
 * that they run are finished. Not thread-safe.
 */
class ZoneEvacuations {
public:
    /** Replaces all evacuations by those of a completely read table. */
    void replace(const std::set<base::ZoneId>& zones);
    void set(const base::ZoneId& zone, bool isEvacuated);

    [[nodiscard]] const std::set<base::ZoneId>& zones() const noexcept { return this->evacuated; }

    /** Changes since the last call, in order. */
    [[nodiscard]] std::vector<ZoneChange> takeChanges() { return std::exchange(this->changes, {}); }

private:
    std::set<base::ZoneId> evacuated;
    std::vector<ZoneChange> changes;
};

} // namespace chivewinch::membership
