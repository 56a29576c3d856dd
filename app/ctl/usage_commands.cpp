#include "ctl/command.hpp"
#include "ctl/platform.hpp"
#include "usage/collector.hpp"
#include "usage/verifier.hpp"

#include <fstream>
#include <iostream>
#include <sstream>

namespace chivewinch::ctl {

namespace {

using settings::ValueType;

constexpr const char* usagePrefix = "usage/";

std::optional<usage::KeyList> readKeys(const std::string& path)
{
    std::ifstream file { path };
    std::ostringstream text;
    text << file.rdbuf();
    usage::Error reason { .code = usage::ErrorCode::BadKey, .detail = "file cannot be read" };
    auto keys = file ? usage::KeyList::fromJson(text.str(), reason) : std::nullopt;
    if (!keys)
        std::cerr << "setting process-keys: " << path << ": " << reason.detail << "\n";
    return keys;
}

usage::Grouping groupingOf(const settings::Values& values)
{
    usage::Grouping grouping;
    const auto by = settings::splitList(values.text("by"));
    const auto has = [&by](const char* name) { return std::ranges::find(by, name) != by.end(); };
    grouping.owner = has("owner");
    grouping.team = has("team");
    grouping.model = has("model");
    grouping.hour = has("hour");
    return grouping;
}

std::string render(const usage::Report& report, const settings::Values& values)
{
    const auto grouping = groupingOf(values);
    if (values.text("output") == "json")
        return usage::renderJson(report, grouping) + "\n";
    if (values.text("output") == "csv")
        return usage::renderCsv(report, grouping);
    return usage::renderTable(report, grouping);
}

/** Verifies all stored segments. Returns the report, or an exit code if the keys or segments cannot be read. */
std::variant<usage::Report, int> verifySegments(const settings::Values& values)
{
    auto keys = readKeys(values.text("process-keys"));
    if (!keys)
        return settings::exitUsageError;
    Platform platform { values };
    usage::Verifier verifier { {}, std::move(*keys) };
    usage::Collector collector { platform.objects() };
    const auto [done, error] = platform.wait<bool, usage::Error>([&](auto callback) {
        collector.collect(
            { usagePrefix }, [&](const std::string& name, std::string_view bytes) { verifier.add(name, bytes); },
            [callback](const usage::Error& failure) { callback(true, failure); });
    });
    if (!done || error.code != usage::ErrorCode::None) {
        std::cerr << "the segments cannot be read: " << error.detail << "\n";
        return exitStoreUnavailable;
    }
    return verifier.finish();
}

int showUsage(const settings::Values& values)
{
    const auto result = verifySegments(values);
    if (const auto* code = std::get_if<int>(&result))
        return *code;
    std::cout << render(std::get<usage::Report>(result), values);
    return settings::exitSuccess;
}

int verify(const settings::Values& values)
{
    const auto result = verifySegments(values);
    if (const auto* code = std::get_if<int>(&result))
        return *code;
    const auto& report = std::get<usage::Report>(result);
    std::cout << render(report, values);
    for (const auto& finding : report.findings)
        std::cerr << usage::toString(finding) << "\n";
    std::cerr << report.segments << " segments, " << report.records
              << " records: " << (report.clean() ? "no defect" : "DEFECTS FOUND") << "\n";
    return report.clean() ? settings::exitSuccess : settings::exitFailure;
}

} // namespace

std::vector<Command> usageCommands()
{
    auto common = platformSettings();
    common.push_back(
        { "process-keys", "File with the public keys of the processes, as JSON", ValueType::text(), std::nullopt });
    common.push_back({ "by", "Grouping: any of owner,team,model,hour", ValueType::text(), "owner" });
    common.push_back(outputSetting({ "table", "json", "csv" }));
    return {
        { "usage show", "recomputes the usage from the stored segments", common, &showUsage },
        { "usage verify",
            "like usage show, but lists each defect with its segment and record, and fails if there is one", common,
            &verify },
    };
}

} // namespace chivewinch::ctl
