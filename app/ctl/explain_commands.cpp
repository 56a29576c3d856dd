#include "ctl/command.hpp"
#include "ctl/explanation.hpp"

#include <nlohmann/json.hpp>

#include <fstream>
#include <iostream>
#include <sstream>

namespace chivewinch::ctl {

namespace {

/** Appends the log lines of a file. Returns false if the file cannot be opened. */
bool readLines(const std::string& path, std::vector<logging::Line>& lines)
{
    std::ifstream file { path };
    if (!file) {
        std::cerr << "cannot read " << path << "\n";
        return false;
    }
    std::string text;
    while (std::getline(file, text)) {
        if (auto line = logging::parseLine(text))
            lines.push_back(std::move(*line));
    }
    return true;
}

void printText(const Explanation& explanation)
{
    for (std::size_t i = 0; i < explanation.lines.size(); ++i)
        std::cout << (explanation.deciding == i ? "> " : "  ") << explanation.lines[i].text << "\n";
    std::cout << "outcome: " << (explanation.outcome.empty() ? "not logged" : explanation.outcome) << "\n";
    if (!explanation.deciding) {
        std::cout << "no line decided against the request\n";
        return;
    }
    const auto& line = explanation.lines[*explanation.deciding];
    std::cout << "decided by: event=" << line.field("event") << " reason=" << line.field("reason") << " at "
              << line.field("time") << " in " << line.field("instance") << "\n";
}

void printJson(const Explanation& explanation)
{
    nlohmann::ordered_json result { { "outcome", explanation.outcome }, { "deciding", nullptr } };
    if (explanation.deciding)
        result["deciding"] = *explanation.deciding;
    for (const auto& line : explanation.lines)
        result["lines"].push_back(line.fields);
    std::cout << result.dump(2) << "\n";
}

int showRequest(const settings::Values& values)
{
    std::vector<logging::Line> lines;
    std::istringstream paths { values.text("logs") };
    std::string path;
    while (std::getline(paths, path, '\n')) {
        if (!readLines(path, lines))
            return settings::exitUsageError;
    }
    const auto explanation = explain(values.text("request"), lines);
    if (!explanation) {
        std::cerr << "no line of " << lines.size() << " names request " << values.text("request") << "\n";
        return settings::exitFailure;
    }
    if (values.text("output") == "json")
        printJson(*explanation);
    else
        printText(*explanation);
    return settings::exitSuccess;
}

} // namespace

std::vector<Command> explainCommands()
{
    const settings::Setting request { "request", "Identity of the request", settings::ValueType::text(), std::nullopt };
    const settings::Setting logs { "logs", "Log files, one path per line", settings::ValueType::text(), std::nullopt };
    return { { .name = "explain",
        .summary = "collects the log lines of a request and names the one that decided its outcome",
        .settings = { request, logs, outputSetting({ "text", "json" }) },
        .run = &showRequest,
        .positional = { "request", "logs" } } };
}

} // namespace chivewinch::ctl
