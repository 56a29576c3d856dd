#include "bundle/parse.hpp"
#include "bundle/schema.hpp"

#include <map>
#include <set>
#include <unordered_map>

namespace chivewinch::bundle {

namespace internal {

using Errors = std::vector<ConfigError>;

std::string rangeText(std::uint64_t min, std::uint64_t max, std::string_view unit)
{
    return std::to_string(min) + " to " + std::to_string(max) + (unit.empty() ? "" : " ") + std::string { unit };
}

/** Checks one member against the range and the rule of its field. */
template <typename Record> struct FieldCheck {
    const Field<Record>& field;
    const std::string& path;
    Errors& errors;

    void operator()(const std::string& text) const
    {
        if (this->field.required && text.empty())
            this->add("", "add a value");
        else if (text.size() < this->field.min || text.size() > this->field.max)
            this->add(text, "use " + rangeText(this->field.min, this->field.max, "characters"));
        else if (!matchesRule(this->field.rule, text))
            this->add(text, "use " + std::string { describe(this->field.rule) });
    }

    void operator()(std::uint64_t number) const
    {
        if (number < this->field.min || number > this->field.max)
            this->add(std::to_string(number), "use " + rangeText(this->field.min, this->field.max, this->field.unit));
    }

    void operator()(const std::vector<std::string>& texts) const
    {
        this->checkCount(texts.size());
        std::set<std::string_view> seen;
        for (const auto& text : texts) {
            if (!matchesRule(this->field.rule, text))
                this->add(text, "use " + std::string { describe(this->field.rule) });
            if (!seen.insert(text).second)
                this->add(text, "list this value once");
        }
    }

    void operator()(const std::vector<std::uint32_t>& numbers) const { this->checkCount(numbers.size()); }
    void operator()(bool) const { }
    void operator()(TargetKind) const { }
    void operator()(CostRule) const { }

private:
    void checkCount(std::size_t count) const
    {
        if (count < this->field.min || count > this->field.max)
            this->add(std::to_string(count), "use " + rangeText(this->field.min, this->field.max, "entries"));
    }

    void add(std::string_view value, std::string_view fix) const
    {
        this->errors.push_back({ .path = this->path + "." + std::string { this->field.name },
            .value = std::string { value },
            .fix = std::string { fix } });
    }
};

template <typename Record>
void checkRecord(const Schema<Record>& schema, const Record& record, std::size_t index, Errors& errors)
{
    const auto path = recordPath(schema, record, index);
    for (const auto& field : schema.fields) {
        const FieldCheck<Record> checker { field, path, errors };
        std::visit([&](auto member) { checker(record.*member); }, field.member);
    }
}

template <typename Record> void checkList(const Schema<Record>& schema, const Bundle& bundle, Errors& errors)
{
    std::set<std::string> keys;
    const auto& records = bundle.*schema.records;
    for (std::size_t index = 0; index < records.size(); ++index) {
        checkRecord(schema, records[index], index, errors);
        auto key = schema.key(records[index]);
        if (!key.empty() && !keys.insert(key).second)
            errors.push_back({ .path = recordPath(schema, records[index], index),
                .value = std::move(key),
                .fix = "rename or remove one of the two " + std::string { schema.table } + " records" });
    }
}

/** Checks references between records. */
class ReferenceChecker {
public:
    ReferenceChecker(const Bundle& bundle, Errors& errors)
        : bundle { bundle }
        , errors { errors }
    {
        for (const auto& owner : bundle.owners)
            this->owners.insert(owner.id);
        for (const auto& zone : bundle.zones)
            this->zones.insert(zone.id);
        for (const auto& model : bundle.models)
            this->modelOwners.emplace(model.id, model.owner);
        for (const auto& service : bundle.services)
            this->serviceOwners.emplace(service.id, service.owner);
        for (const auto& group : bundle.groups)
            this->groups.emplace(group.id, &group);
    }

    void check()
    {
        if (this->bundle.owners.empty())
            this->add("owner", "", "add at least one [[owner]]");
        this->checkUnique(this->bundle.owners, "owner.", ".public_key", &Owner::publicKey);
        this->checkUnique(this->bundle.teams, "team.", ".key_hash", &Team::keyHash);
        for (const auto& model : this->bundle.models)
            this->requireOwner("model." + model.id, model.owner);
        for (const auto& service : this->bundle.services)
            this->requireOwner("service." + service.id, service.owner);
        for (const auto& group : this->bundle.groups)
            this->checkGroup(group);
        for (const auto& layer : this->bundle.expertLayers)
            this->checkLayer(layer);
        for (const auto& target : this->bundle.targets)
            this->checkTarget(target);
        for (const auto& team : this->bundle.teams)
            this->checkTeam(team);
    }

private:
    using Owners = std::unordered_map<std::string, base::OwnerId>;

    const Bundle& bundle;
    Errors& errors;
    std::set<std::string> owners;
    std::set<std::string> zones;
    Owners modelOwners;
    Owners serviceOwners;
    std::map<std::string, const ModelGroup*> groups;
    std::map<std::string, std::string> addresses;

    void add(std::string path, std::string value, std::string fix)
    {
        this->errors.push_back({ .path = std::move(path), .value = std::move(value), .fix = std::move(fix) });
    }

    template <typename Record>
    void checkUnique(const std::vector<Record>& records, const std::string& prefix, const std::string& suffix,
        std::string Record::*member)
    {
        std::map<std::string, std::string> first;
        for (const auto& record : records) {
            const auto [found, inserted] = first.emplace(record.*member, record.id);
            if (inserted || (record.*member).empty())
                continue;
            std::string path { prefix };
            path.append(record.id).append(suffix);
            this->add(std::move(path), record.*member, "use another one; " + found->second + " has it already");
        }
    }

    void requireOwner(const std::string& path, const base::OwnerId& owner)
    {
        if (!owner.empty() && !this->owners.contains(owner))
            this->add(path + ".owner", owner, "use the id of an [[owner]]");
    }

    /** The named record must exist and be shared or belong to the given owner. */
    void requireUsable(
        const std::string& path, const std::string& name, const Owners& known, const base::OwnerId& owner)
    {
        const auto found = known.find(name);
        if (found == known.end())
            this->add(path, name, "use an id that the bundle defines");
        else if (!found->second.empty() && found->second != owner)
            this->add(path, name, "use one that is shared or belongs to " + (owner.empty() ? "no owner" : owner));
    }

    void checkGroup(const ModelGroup& group)
    {
        const auto path = "group." + group.id;
        this->requireOwner(path, group.owner);
        this->requireUsable(path + ".model", group.model, this->modelOwners, group.owner);
        if (slotsPerRank(group) * group.ranks < group.experts)
            this->add(path + ".rank_memory_mib", std::to_string(group.rankMemoryMib),
                "use more memory or ranks: all ranks together must hold each expert of each layer once");
    }

    void checkLayer(const ExpertLayer& layer)
    {
        const auto path = recordPath(schema<ExpertLayer>(), layer, 0);
        const auto found = this->groups.find(layer.group);
        if (found == this->groups.end()) {
            this->add(path + ".group", layer.group, "use the id of a [[group]]");
            return;
        }
        const auto& group = *found->second;
        if (layer.layer >= group.layers)
            this->add(
                path + ".layer", std::to_string(layer.layer), "use a layer below " + std::to_string(group.layers));
        const auto slots = slotsPerRank(group) * group.ranks;
        if (layer.slots.size() != slots)
            this->add(path + ".slots", std::to_string(layer.slots.size()) + " slots",
                "use " + std::to_string(slots) + " slots");
        this->checkSlots(path + ".slots", layer, group.experts);
    }

    void checkSlots(const std::string& path, const ExpertLayer& layer, std::uint64_t experts)
    {
        std::set<std::uint32_t> placed { layer.slots.begin(), layer.slots.end() };
        if (!placed.empty() && *placed.rbegin() >= experts)
            this->add(path, std::to_string(*placed.rbegin()), "use expert numbers below " + std::to_string(experts));
        else if (placed.size() < experts)
            this->add(path, std::to_string(placed.size()) + " experts",
                "place each of the " + std::to_string(experts) + " experts at least once");
    }

    void checkTarget(const Target& target)
    {
        const auto path = "target." + target.id;
        this->requireOwner(path, target.owner);
        if (!this->zones.contains(target.zone))
            this->add(path + ".zone", target.zone, "use the id of a [[zone]]");
        const bool engine = target.kind == TargetKind::Engine;
        if (engine)
            this->requireUsable(path + ".model", target.model, this->modelOwners, target.owner);
        else
            this->requireUsable(path + ".service", target.service, this->serviceOwners, target.owner);
        const auto& unused = engine ? target.service : target.model;
        if (!unused.empty())
            this->add(path + (engine ? ".service" : ".model"), unused, "remove this field or change kind");
        const auto endpoint = target.address + " port " + std::to_string(target.port);
        const auto [found, inserted] = this->addresses.emplace(endpoint, target.id);
        if (!inserted)
            this->add(path + ".port", endpoint, "use another address or port; " + found->second + " has it already");
    }

    void checkTeam(const Team& team)
    {
        const auto path = "team." + team.id;
        this->requireOwner(path, team.owner);
        for (const auto& model : team.models) {
            if (model != "*")
                this->requireUsable(path + ".models", model, this->modelOwners, team.owner);
        }
        for (const auto& service : team.services) {
            if (service != "*")
                this->requireUsable(path + ".services", service, this->serviceOwners, team.owner);
        }
        if (team.models.empty() && team.services.empty())
            this->add(path + ".models", "", "allow at least one model or service");
    }
};

} // namespace internal

std::vector<ConfigError> check(const Bundle& bundle)
{
    std::vector<ConfigError> errors;
    forEachList([&](const auto& list) { internal::checkList(list, bundle, errors); });
    internal::checkRecord(schema<CostAttribution>(), bundle.cost, 0, errors);
    internal::ReferenceChecker { bundle, errors }.check();
    return errors;
}

} // namespace chivewinch::bundle
