#include "ctl/command.hpp"

#include <algorithm>
#include <iostream>

namespace chivewinch::ctl {

settings::Setting outputSetting(std::vector<std::string> forms)
{
    auto first = forms.front();
    return { "output", "Output format", settings::ValueType::choice(std::move(forms)), std::move(first) };
}

namespace {

std::vector<Command> allCommands()
{
    std::vector<Command> all;
    for (const auto& group :
        { keyCommands(), bundleCommands(), statusCommands(), explainCommands(), usageCommands(), expertCommands() })
        all.insert(all.end(), group.begin(), group.end());
    return all;
}

int printCommands(int exitCode)
{
    std::cout << "usage: chivewinch-ctl COMMAND [flags]; see chivewinch-ctl COMMAND --help\n\n";
    for (const auto& command : allCommands())
        std::cout << "  " << command.name << ": " << command.summary << "\n";
    std::cout << "\nexit codes: 0 done, 1 failed, 2 wrong use or input, 3 lost a race, 4 store unavailable\n";
    return exitCode;
}

/** Converts positional arguments to flags. */
std::vector<std::string> expandPositional(
    const Command& command, const settings::Definition& definition, const std::vector<std::string>& given)
{
    if (command.positional.empty())
        return given;
    std::vector<std::string> result;
    std::vector<std::string> values(command.positional.size());
    std::size_t position = 0;
    for (std::size_t i = 0; i < given.size(); ++i) {
        if (given[i].starts_with("--")) {
            result.push_back(given[i]);
            // The value of a flag may be the next argument.
            if (definition.defines(given[i].substr(2)) && i + 1 < given.size())
                result.push_back(given[++i]);
            continue;
        }
        auto& value = values[std::min(position++, values.size() - 1)];
        value += (value.empty() ? "" : "\n") + given[i];
    }
    for (std::size_t i = 0; i < values.size(); ++i) {
        if (!values[i].empty())
            result.push_back("--" + command.positional[i] + "=" + values[i]);
    }
    return result;
}

int runCommand(const Command& command, const std::vector<std::string>& given)
{
    // All commands use the same environment variables, CHIVEWINCH_CTL_...
    settings::Definition definition { "chivewinch-ctl", command.name + ": " + command.summary, command.settings };
    auto parsed = settings::parseCommandLine(definition, expandPositional(command, definition, given));
    if (const auto* code = std::get_if<int>(&parsed))
        return *code;
    return command.run(std::get<settings::Values>(parsed));
}

int run(int argumentCount, char** arguments)
{
    for (const auto& command : allCommands()) {
        const bool twoWords = command.name.find(' ') != std::string::npos;
        const int words = twoWords ? 2 : 1;
        if (argumentCount <= words)
            continue;
        const auto given = std::string { arguments[1] } + (twoWords ? " " + std::string { arguments[2] } : "");
        if (given == command.name)
            return runCommand(command, { arguments + words + 1, arguments + argumentCount });
    }
    if (argumentCount == 2 && std::string { arguments[1] } == "--version")
        return settings::printVersion();
    const bool helpRequested = argumentCount < 2 || std::string { arguments[1] } == "--help";
    return printCommands(helpRequested ? settings::exitSuccess : settings::exitUsageError);
}

} // namespace

} // namespace chivewinch::ctl

int main(int argumentCount, char** arguments) { return chivewinch::ctl::run(argumentCount, arguments); }
