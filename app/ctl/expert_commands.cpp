#include "ctl/bundle_file.hpp"
#include "ctl/command.hpp"
#include "ctl/expert_input.hpp"
#include "expert/planner.hpp"
#include "expert/render.hpp"

#include <nlohmann/json.hpp>

#include <fstream>
#include <iostream>

namespace chivewinch::ctl {

namespace {

using settings::ValueType;

constexpr std::uint64_t bytesPerMib = 1ULL << 20;

/** Model group of a bundle and the load estimated from its reports. */
struct PlannerInput {
    bundle::Bundle content;
    GroupInput input;
    expert::LoadEstimator estimator;
};

std::optional<PlannerInput> readPlannerInput(const settings::Values& values)
{
    auto content = readBundle(values.text("file"));
    if (!content)
        return std::nullopt;
    std::string reason;
    auto input = buildGroupInput(*content, values.text("group"), reason);
    if (!input) {
        std::cerr << "setting group: " << reason << "\n";
        return std::nullopt;
    }
    expert::LoadEstimator estimator { input->map.shape() };
    if (!readReports(values.text("reports"), input->map, estimator, reason)) {
        std::cerr << "setting reports: " << reason << "\n";
        return std::nullopt;
    }
    return PlannerInput {
        .content = std::move(*content), .input = std::move(*input), .estimator = std::move(estimator)
    };
}

/**
 * Weights of the owners that share the group. All owners get the same usage, since report files contain no usage per
 * owner.
 */
std::vector<expert::OwnerPolicy> ownerPolicies(const PlannerInput& plannerInput)
{
    std::vector<expert::OwnerPolicy> policies;
    for (const auto& owner : plannerInput.content.owners) {
        const auto& exclusiveOwner = plannerInput.input.group.owner;
        if (exclusiveOwner.empty() || exclusiveOwner == owner.id) {
            policies.push_back({ .owner = owner.id,
                .skewWeight = static_cast<std::uint32_t>(owner.skewWeight),
                .costWeight = static_cast<std::uint32_t>(owner.rebalancingWeight) });
        }
    }
    return policies;
}

nlohmann::ordered_json toJson(const expert::Decision& decision)
{
    auto charges = nlohmann::ordered_json::array();
    for (const auto& charge : decision.charges)
        charges.push_back({ { "owner", charge.owner }, { "bytes", charge.bytes } });
    return { { "reason", expert::toString(decision.reason) }, { "skew_now", decision.skewNow },
        { "skew_proposed", decision.skewProposed }, { "gain", decision.gain }, { "cost", decision.cost },
        { "moves", decision.moves }, { "bytes", decision.bytes },
        { "transfer_seconds", std::chrono::duration<double>(decision.transferTime).count() }, { "charges", charges } };
}

int plan(const settings::Values& values)
{
    const auto plannerInput = readPlannerInput(values);
    if (!plannerInput)
        return settings::exitUsageError;
    expert::PlannerOptions plannerOptions;
    plannerOptions.bytesPerExpert = plannerInput->input.group.expertSizeMib * bytesPerMib;
    expert::WeightPacer pacer { { .bytesPerSecond
        = static_cast<std::uint64_t>(values.integer("weight-store-mib")) * bytesPerMib } };
    const auto decision = expert::Planner { plannerOptions }.decide(
        plannerInput->input.map, plannerInput->estimator, ownerPolicies(*plannerInput), pacer, base::SteadyTime {});
    if (values.text("output") == "json")
        std::cout << toJson(decision).dump(2) << "\n";
    else
        std::cout << expert::planReport(decision);
    return settings::exitSuccess;
}

int showExperts(const settings::Values& values)
{
    const auto plannerInput = readPlannerInput(values);
    if (!plannerInput)
        return settings::exitUsageError;
    const auto loads = expert::rankLoads(plannerInput->input.map, plannerInput->estimator);
    std::cout << expert::renderBars(loads);
    if (values.text("svg").empty())
        return settings::exitSuccess;
    const expert::PlotOptions options {
        .title = "Load per rank of " + values.text("group"), .xLabel = "rank", .yLabel = "load / mean"
    };
    std::ofstream file { values.text("svg") };
    file << expert::renderSvg(loads, options);
    if (file.flush())
        return settings::exitSuccess;
    std::cerr << "setting svg: file " << values.text("svg") << " cannot be written\n";
    return settings::exitFailure;
}

} // namespace

std::vector<Command> expertCommands()
{
    const std::vector<settings::Setting> common {
        { "file", "Bundle in TOML", ValueType::text(), std::nullopt },
        { "group", "Model group", ValueType::text(), std::nullopt },
        { "reports", "Load reports, one JSON object per line", ValueType::text(), std::nullopt },
    };
    auto planSettings = common;
    planSettings.push_back({ "weight-store-mib", "MiB per second that rebalancing may read from the weight store",
        ValueType::integer(1, 1'000'000), "1000" });
    planSettings.push_back(outputSetting());
    auto showSettings = common;
    showSettings.push_back({ "svg", "File for the chart as SVG; empty for none", ValueType::text(), "" });
    return {
        { "experts plan", "shows the gain and cost of a new expert map without applying it", planSettings, &plan },
        { "experts show", "draws the load per rank under the map of a bundle", showSettings, &showExperts },
    };
}

} // namespace chivewinch::ctl
