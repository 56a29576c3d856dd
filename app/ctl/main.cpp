#include "ctl/command.hpp"

#include <iostream>

namespace chivewinch::ctl {

settings::Setting outputSetting(std::vector<std::string> forms)
{
    auto first = forms.front();
    return { "output", "Form of the result", settings::ValueType::choice(std::move(forms)), std::move(first) };
}

namespace {

std::vector<Command> allCommands()
{
    std::vector<Command> all;
    for (const auto& group : { keyCommands(), bundleCommands(), statusCommands(), usageCommands(), expertCommands() })
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

int runCommand(const Command& command, int argumentCount, char** arguments)
{
    // All commands share the variables CHIVEWINCH_CTL_...
    settings::Definition definition { "chivewinch-ctl", command.name + ": " + command.summary, command.settings };
    auto parsed = settings::parseProgram(definition, argumentCount, arguments);
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
            return runCommand(command, argumentCount - words, arguments + words);
    }
    if (argumentCount == 2 && std::string { arguments[1] } == "--version")
        return settings::printVersion();
    const bool asked = argumentCount < 2 || std::string { arguments[1] } == "--help";
    return printCommands(asked ? settings::exitDone : settings::exitWrongUse);
}

} // namespace

} // namespace chivewinch::ctl

int main(int argumentCount, char** arguments) { return chivewinch::ctl::run(argumentCount, arguments); }
