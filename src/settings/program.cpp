#include "settings/program.hpp"

#include <algorithm>
#include <iostream>

namespace chivewinch::settings {

namespace internal {

constexpr const char* version = "0.1.0";

bool removeFlag(std::vector<std::string>& arguments, const std::string& flag)
{
    return std::erase(arguments, flag) > 0;
}

} // namespace internal

int printVersion()
{
    std::cout << internal::version << "\n";
    return exitSuccess;
}

std::variant<Values, int> parseCommandLine(Definition& definition, int argumentCount, char** arguments)
{
    return parseCommandLine(definition, std::vector<std::string> { arguments + 1, arguments + argumentCount });
}

std::variant<Values, int> parseCommandLine(Definition& definition, std::vector<std::string> argumentList)
{
    if (internal::removeFlag(argumentList, "--help")) {
        std::cout << definition.help();
        return exitSuccess;
    }
    // A program may define a setting of that name, such as a bundle version; the setting then takes precedence.
    if (!definition.defines("version") && internal::removeFlag(argumentList, "--version"))
        return printVersion();
    if (internal::removeFlag(argumentList, "--settings-markdown")) {
        std::cout << definition.markdown();
        return exitSuccess;
    }
    const bool checkOnly = internal::removeFlag(argumentList, "--check-config");
    auto values = definition.parse(argumentList, processEnvironment());
    if (!values) {
        std::cerr << definition.lastReason().detail << "\n";
        return exitUsageError;
    }
    if (checkOnly) {
        std::cout << "settings are valid\n";
        return exitSuccess;
    }
    return std::move(*values);
}

} // namespace chivewinch::settings
