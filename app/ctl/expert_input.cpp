#include "ctl/expert_input.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <map>
#include <utility>
#include <vector>

namespace chivewinch::ctl {

namespace {

using Slots = std::vector<std::uint32_t>;

expert::GroupShape shapeOf(const bundle::ModelGroup& group)
{
    return {
        .ranks = static_cast<std::uint32_t>(group.ranks),
        .experts = static_cast<std::uint32_t>(group.experts),
        .layers = static_cast<std::uint32_t>(group.layers),
        .slotsPerRank = static_cast<std::uint32_t>(bundle::slotsPerRank(group)),
    };
}

/** Returns the expert in each slot of a layer. Assigns experts round-robin if the bundle does not list the layer. */
Slots expertSlots(const bundle::Bundle& content, const bundle::ModelGroup& group, std::uint64_t layer)
{
    for (const auto& entry : content.expertLayers) {
        if (entry.group == group.id && entry.layer == layer)
            return entry.slots;
    }
    Slots slots(group.ranks * bundle::slotsPerRank(group));
    for (std::size_t slot = 0; slot < slots.size(); ++slot)
        slots[slot] = static_cast<std::uint32_t>(slot % group.experts);
    return slots;
}

/**
 * Builds a layer map in which the replicas of an expert have equal shares. A second copy on the same rank adds nothing
 * and is skipped.
 */
expert::LayerMap buildLayerMap(const Slots& slots, std::uint32_t slotsPerRank)
{
    std::map<std::uint32_t, std::vector<std::uint16_t>> ranksByExpert;
    for (std::size_t slot = 0; slot < slots.size(); ++slot) {
        const auto rank = static_cast<std::uint16_t>(slot / slotsPerRank);
        auto& ranks = ranksByExpert[slots[slot]];
        if (std::ranges::find(ranks, rank) == ranks.end())
            ranks.push_back(rank);
    }
    expert::LayerMap layer;
    for (const auto& [index, ranks] : ranksByExpert) {
        const auto count = static_cast<std::uint32_t>(ranks.size());
        std::uint32_t remainder = expert::shareUnit % count;
        for (const auto rank : ranks) {
            const auto extra = remainder > 0 ? 1U : 0U;
            remainder -= extra;
            layer.push_back({ .expert = static_cast<std::uint16_t>(index),
                .rank = rank,
                .share = expert::shareUnit / count + extra });
        }
    }
    std::ranges::sort(layer);
    return layer;
}

std::optional<expert::LoadReport> parseReport(const std::string& line)
{
    const auto json = nlohmann::json::parse(line, nullptr, false);
    if (!json.is_object())
        return std::nullopt;
    try {
        expert::LoadReport report;
        report.rank = json.at("rank").get<std::uint32_t>();
        report.layer = json.at("layer").get<std::uint32_t>();
        report.interval = json.at("interval").get<std::uint64_t>();
        report.tokens = json.at("tokens").get<std::vector<std::uint64_t>>();
        return report;
    } catch (const nlohmann::json::exception&) {
        return std::nullopt;
    }
}

} // namespace

std::optional<GroupInput> buildGroupInput(const bundle::Bundle& content, const std::string& name, std::string& reason)
{
    const auto found = std::ranges::find(content.groups, name, &bundle::ModelGroup::id);
    if (found == content.groups.end()) {
        reason = "the bundle has no group \"" + name + "\"";
        return std::nullopt;
    }
    const auto shape = shapeOf(*found);
    std::vector<expert::LayerMap> layers;
    for (std::uint64_t layer = 0; layer < found->layers; ++layer)
        layers.push_back(buildLayerMap(expertSlots(content, *found, layer), shape.slotsPerRank));
    expert::MapError error;
    auto map = expert::ExpertMap::create(shape, std::move(layers), error);
    if (!map) {
        reason = "group \"" + name + "\": " + error.detail;
        return std::nullopt;
    }
    return GroupInput { .group = *found, .map = std::move(*map) };
}

bool readReports(
    const std::string& path, const expert::ExpertMap& map, expert::LoadEstimator& estimator, std::string& reason)
{
    std::ifstream file { path };
    if (!file) {
        reason = "file " + path + " cannot be read";
        return false;
    }
    std::string line;
    std::optional<std::uint64_t> interval;
    for (std::size_t number = 1; std::getline(file, line); ++number) {
        const auto report = parseReport(line);
        if (report && interval && report->interval > *interval)
            estimator.close(*interval);
        if (!report || estimator.add(*report, map) == expert::ReportResult::Malformed) {
            reason = path + ":" + std::to_string(number) + ": not a load report of this group";
            return false;
        }
        interval = std::max(interval.value_or(0), report->interval);
    }
    estimator.flush();
    return true;
}

} // namespace chivewinch::ctl
