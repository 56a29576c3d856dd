#include "bundle/schema.hpp"

namespace chivewinch::bundle {

namespace internal {

// The limits on counts are at least four times the two-year design scale.
constexpr std::uint64_t maxIdLength = 64;
constexpr std::uint64_t maxTextLength = 200;
constexpr std::uint64_t maxListLength = 64;
constexpr std::uint64_t maxRate = 1'000'000;
constexpr std::uint64_t maxRanks = 1024;
constexpr std::uint64_t maxLayers = 256;
constexpr std::uint64_t maxExperts = 1024;
constexpr std::uint64_t maxMemoryMib = 4'000'000;
constexpr std::uint64_t maxSlots = 65'536;
constexpr std::uint64_t hexDigits256 = 64;
constexpr std::uint32_t teamParts = 256;
constexpr std::uint32_t targetParts = 64;
constexpr std::uint32_t expertLayerParts = 64;

template <typename Record> std::string idOf(const Record& record) { return record.id; }

std::string layerKey(const ExpertLayer& layer)
{
    return layer.group.empty() ? std::string {} : layer.group + "/" + std::to_string(layer.layer);
}

template <typename Record> Field<Record> idField(std::string_view meaning)
{
    return { .name = "id",
        .member = &Record::id,
        .required = true,
        .rule = TextRule::Id,
        .min = 1,
        .max = maxIdLength,
        .unit = "",
        .meaning = meaning };
}

template <typename Record> Field<Record> ownerField(std::string_view meaning)
{
    return {
        .name = "owner", .member = &Record::owner, .rule = TextRule::OptionalId, .max = maxIdLength, .meaning = meaning
    };
}

template <typename Record>
Field<Record> reference(std::string_view name, std::string Record::*member, bool required, std::string_view meaning)
{
    return { .name = name,
        .member = member,
        .required = required,
        .rule = required ? TextRule::Id : TextRule::OptionalId,
        .min = required ? 1U : 0U,
        .max = maxIdLength,
        .meaning = meaning };
}

template <typename Record>
Field<Record> number(std::string_view name, std::uint64_t Record::*member, bool required, std::uint64_t min,
    std::uint64_t max, std::string_view unit, std::string_view meaning)
{
    return {
        .name = name, .member = member, .required = required, .min = min, .max = max, .unit = unit, .meaning = meaning
    };
}

} // namespace internal

using namespace internal;

template <> const Schema<Owner>& schema<Owner>()
{
    static const Schema<Owner> value { .table = "owner",
        .records = &Bundle::owners,
        .key = idOf<Owner>,
        .fields = { idField<Owner>("name used by all other tables"),
            { .name = "name",
                .member = &Owner::name,
                .required = true,
                .rule = TextRule::Text,
                .min = 1,
                .max = maxTextLength,
                .meaning = "name shown to people" },
            { .name = "public_key",
                .member = &Owner::publicKey,
                .required = true,
                .rule = TextRule::Hex256,
                .min = hexDigits256,
                .max = hexDigits256,
                .meaning = "Ed25519 key that verifies this owner" },
            number("skew_weight", &Owner::skewWeight, false, 1, 1000, "weight", "weight of step-time skew"),
            number("rebalancing_weight", &Owner::rebalancingWeight, false, 1, 1000, "weight",
                "weight of rebalancing cost"),
            number("admission_weight", &Owner::admissionWeight, false, 1, 1000, "weight",
                "share of capacity under overload") } };
    return value;
}

template <> const Schema<Zone>& schema<Zone>()
{
    static const Schema<Zone> value { .table = "zone",
        .records = &Bundle::zones,
        .key = idOf<Zone>,
        .fields = { idField<Zone>("availability zone"), reference("region", &Zone::region, true, "region of the zone"),
            number("expected_entries", &Zone::expectedEntries, false, 1, 1000, "entries",
                "entry instances in normal operation; the divisor of team limits") } };
    return value;
}

template <> const Schema<Model>& schema<Model>()
{
    static const Schema<Model> value { .table = "model",
        .records = &Bundle::models,
        .key = idOf<Model>,
        .fields = { idField<Model>("model name in requests"), ownerField<Model>("owner; empty if shared"),
            { .name = "version",
                .member = &Model::version,
                .rule = TextRule::Id,
                .min = 1,
                .max = maxIdLength,
                .meaning = "version that engines load" } } };
    return value;
}

template <> const Schema<ModelGroup>& schema<ModelGroup>()
{
    static const Schema<ModelGroup> value { .table = "group",
        .records = &Bundle::groups,
        .key = idOf<ModelGroup>,
        .fields = { idField<ModelGroup>("model group"), ownerField<ModelGroup>("owner; empty if shared"),
            reference("model", &ModelGroup::model, true, "model that the group runs"),
            number("ranks", &ModelGroup::ranks, true, 1, maxRanks, "ranks", "ranks in lock-step"),
            number("layers", &ModelGroup::layers, true, 1, maxLayers, "layers", "layers with experts"),
            number("experts", &ModelGroup::experts, true, 1, maxExperts, "experts", "experts per layer"),
            number("rank_memory_mib", &ModelGroup::rankMemoryMib, true, 1, maxMemoryMib, "MiB",
                "memory of one rank for expert weights"),
            number("expert_size_mib", &ModelGroup::expertSizeMib, true, 1, maxMemoryMib, "MiB",
                "weights of one expert in one layer") } };
    return value;
}

template <> const Schema<ExpertLayer>& schema<ExpertLayer>()
{
    static const Schema<ExpertLayer> value { .table = "expert_layer",
        .records = &Bundle::expertLayers,
        .key = layerKey,
        .parts = expertLayerParts,
        .fields = { reference("group", &ExpertLayer::group, true, "model group"),
            number("layer", &ExpertLayer::layer, true, 0, maxLayers - 1, "index", "layer, from 0"),
            { .name = "slots",
                .member = &ExpertLayer::slots,
                .required = true,
                .min = 1,
                .max = maxSlots,
                .unit = "expert numbers",
                .meaning = "expert in each slot, rank by rank" } } };
    return value;
}

template <> const Schema<Target>& schema<Target>()
{
    static const Schema<Target> value {
        .table = "target",
        .records = &Bundle::targets,
        .key = idOf<Target>,
        .parts = targetParts,
        .fields = { idField<Target>("target"), ownerField<Target>("owner; empty if shared"),
            { .name = "kind", .member = &Target::kind, .required = true, .meaning = "kind of back end" },
            reference("model", &Target::model, false, "model of an engine"),
            reference("service", &Target::service, false, "service of a plain service"),
            reference("zone", &Target::zone, true, "availability zone"),
            { .name = "address",
                .member = &Target::address,
                .required = true,
                .rule = TextRule::Address,
                .min = 2,
                .max = 45,
                .meaning = "IP address of the agent" },
            number("port", &Target::port, true, 1, 65'535, "TCP port", "port of the agent"),
            number("capacity", &Target::capacity, false, 1, 100'000, "requests", "requests in flight"),
            { .name = "checks_fencing",
                .member = &Target::checksFencing,
                .meaning = "refuses commands with an old fencing number" },
            { .name = "can_resume", .member = &Target::canResume, .meaning = "resumes a stream from a token count" } }
    };
    return value;
}

template <> const Schema<Service>& schema<Service>()
{
    static const Schema<Service> value { .table = "service",
        .records = &Bundle::services,
        .key = idOf<Service>,
        .fields = { idField<Service>("service name in request paths"), ownerField<Service>("owner; empty if shared"),
            { .name = "non_repeatable",
                .member = &Service::nonRepeatable,
                .rule = TextRule::Call,
                .max = maxListLength,
                .unit = "calls",
                .meaning = "calls that run at most once" } } };
    return value;
}

template <> const Schema<Team>& schema<Team>()
{
    static const Schema<Team> value { .table = "team",
        .records = &Bundle::teams,
        .key = idOf<Team>,
        .parts = teamParts,
        .fields = { idField<Team>("team"), reference("owner", &Team::owner, true, "owner of the team"),
            { .name = "key_hash",
                .member = &Team::keyHash,
                .required = true,
                .rule = TextRule::Hex256,
                .min = hexDigits256,
                .max = hexDigits256,
                .meaning = "SHA-256 of the team key" },
            number("rate", &Team::rate, false, 1, maxRate, "requests/s", "request rate over all entries"),
            number("concurrency", &Team::concurrency, false, 1, maxRate, "requests",
                "requests in flight over all entries"),
            number("priority", &Team::priority, false, 0, 9, "level", "0 is shed first, 9 last"),
            { .name = "models",
                .member = &Team::models,
                .rule = TextRule::IdOrAll,
                .max = maxListLength,
                .unit = "models",
                .meaning = "allowed models; \"*\" for all of the owner and all shared" },
            { .name = "services",
                .member = &Team::services,
                .rule = TextRule::IdOrAll,
                .max = maxListLength,
                .unit = "services",
                .meaning = "allowed services; \"*\" as above" } } };
    return value;
}

template <> const Schema<CostAttribution>& schema<CostAttribution>()
{
    static const Schema<CostAttribution> value { .table = "cost",
        .key = [](const CostAttribution&) { return std::string { "cost" }; },
        .fields = { { .name = "shared_targets",
                        .member = &CostAttribution::sharedTargets,
                        .meaning = "division of shared targets" },
            { .name = "rebalancing",
                .member = &CostAttribution::rebalancing,
                .meaning = "division of rebalancing of shared groups" },
            { .name = "spill_over",
                .member = &CostAttribution::spillOver,
                .meaning = "division of cross-zone spill-over" } } };
    return value;
}

std::uint64_t slotsPerRank(const ModelGroup& group) noexcept
{
    const auto perSlot = group.expertSizeMib * group.layers;
    return perSlot == 0 ? 0 : group.rankMemoryMib / perSlot;
}

} // namespace chivewinch::bundle
