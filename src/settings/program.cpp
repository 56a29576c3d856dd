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
    return exitDone;
}

std::variant<Values, int> parseProgram(Definition& definition, int argumentCount, char** arguments)
{
    return parseProgram(definition, std::vector<std::string> { arguments + 1, arguments + argumentCount });
}

std::variant<Values, int> parseProgram(Definition& definition, std::vector<std::string> given)
{
    if (internal::removeFlag(given, "--help")) {
        std::cout << definition.help();
        return exitDone;
    }
    // A program may define a setting of that name, such as a bundle version; the setting then takes precedence.
    if (!definition.defines("version") && internal::removeFlag(given, "--version"))
        return printVersion();
    if (internal::removeFlag(given, "--settings-markdown")) {
        std::cout << definition.markdown();
        return exitDone;
    }
    const bool checkOnly = internal::removeFlag(given, "--check-config");
    auto values = definition.parse(given, processEnvironment());
    if (!values) {
        std::cerr << definition.lastReason().detail << "\n";
        return exitWrongUse;
    }
    if (checkOnly) {
        std::cout << "settings are valid\n";
        return exitDone;
    }
    return std::move(*values);
}

} // namespace chivewinch::settings
