#include "membership/zone_evacuations.hpp"

namespace chivewinch::membership {

void ZoneEvacuations::replace(const std::set<base::ZoneId>& zones)
{
    const auto before = this->evacuated;
    for (const auto& zone : before) {
        if (!zones.contains(zone))
            this->set(zone, false);
    }
    for (const auto& zone : zones)
        this->set(zone, true);
}

void ZoneEvacuations::set(const base::ZoneId& zone, bool isEvacuated)
{
    const bool isChanged = isEvacuated ? this->evacuated.insert(zone).second : this->evacuated.erase(zone) > 0;
    if (isChanged)
        this->changes.push_back({ .zone = zone, .isEvacuated = isEvacuated });
}

} // namespace chivewinch::membership
