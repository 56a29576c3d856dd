#include "bundle/snapshot.hpp"

#include "bundle/call_pattern.hpp"
#include "bundle/digest.hpp"

#include <algorithm>

namespace chivewinch::bundle {

namespace internal {

/** Finds a record by id in a list sorted by id. */
template <typename Record> const Record* findById(const std::vector<Record>& records, std::string_view id)
{
    const auto found
        = std::ranges::lower_bound(records, id, {}, [](const Record& r) { return std::string_view { r.id }; });
    return found != records.end() && found->id == id ? &*found : nullptr;
}

template <typename Index> const std::vector<const Target*>& targetsIn(const Index& index, std::string_view name)
{
    static const std::vector<const Target*> none;
    const auto found = index.find(name);
    return found == index.end() ? none : found->second;
}

template <typename Record>
bool allows(const std::vector<std::string>& names, const Record* record, const base::OwnerId& owner)
{
    if (record == nullptr || (!record->owner.empty() && record->owner != owner))
        return false;
    return std::ranges::any_of(names, [&](const auto& name) { return name == "*" || name == record->id; });
}

} // namespace internal

Snapshot::Snapshot(Bundle bundle, base::BundleVersion version, std::string contentHash)
    : value { std::move(bundle) }
    , number { version }
    , hash { std::move(contentHash) }
{
    this->teams.reserve(this->value.teams.size());
    for (const auto& team : this->value.teams)
        this->teams.emplace(team.keyHash, &team);
    for (const auto& target : this->value.targets) {
        if (target.kind == TargetKind::Engine)
            this->models[target.model].push_back(&target);
        else
            this->targetsByServiceId[target.service].push_back(&target);
    }
    for (const auto& zone : this->value.zones)
        this->entries += zone.expectedEntries;
}

const Team* Snapshot::teamByKey(std::string_view key) const { return this->teamByKeyHash(sha256Hex(key)); }

const Team* Snapshot::teamByKeyHash(std::string_view keyHash) const
{
    const auto found = this->teams.find(keyHash);
    return found == this->teams.end() ? nullptr : found->second;
}

const Owner* Snapshot::owner(std::string_view id) const { return internal::findById(this->value.owners, id); }
const Zone* Snapshot::zone(std::string_view id) const { return internal::findById(this->value.zones, id); }
const Model* Snapshot::model(std::string_view id) const { return internal::findById(this->value.models, id); }
const ModelGroup* Snapshot::group(std::string_view id) const { return internal::findById(this->value.groups, id); }
const Service* Snapshot::service(std::string_view id) const { return internal::findById(this->value.services, id); }
const Target* Snapshot::target(std::string_view id) const { return internal::findById(this->value.targets, id); }

const std::vector<const Target*>& Snapshot::targetsByModel(std::string_view model) const
{
    return internal::targetsIn(this->models, model);
}

const std::vector<const Target*>& Snapshot::targetsByService(std::string_view service) const
{
    return internal::targetsIn(this->targetsByServiceId, service);
}

bool Snapshot::allowsModel(const Team& team, std::string_view model) const
{
    return internal::allows(team.models, this->model(model), team.owner);
}

bool Snapshot::allowsService(const Team& team, std::string_view service) const
{
    return internal::allows(team.services, this->service(service), team.owner);
}

bool Snapshot::isRepeatable(std::string_view service, std::string_view method, std::string_view path) const
{
    const auto* found = this->service(service);
    const auto normal = normalizePath(path);
    if (found == nullptr || !normal)
        return false;
    return std::ranges::none_of(
        found->nonRepeatable, [&](const auto& pattern) { return matchesCall(pattern, method, *normal); });
}

} // namespace chivewinch::bundle
