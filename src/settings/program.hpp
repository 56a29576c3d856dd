#pragma once

#include "settings/definition.hpp"

#include <optional>
#include <variant>

namespace chivewinch::settings {

/** Exit codes of all programs. */
inline constexpr int exitDone = 0;
inline constexpr int exitFailed = 1;
inline constexpr int exitWrongUse = 2;

/** Prints the version of chivewinch; returns exitDone. */
int printVersion();

/**
 * Handles --help, --version, --settings-markdown and --check-config and reports wrong settings on standard error.
 * Returns the values to run with, or the exit code to leave with.
 */
[[nodiscard]] std::variant<Values, int> parseProgram(Definition& definition, int argumentCount, char** arguments);
/** The same for arguments without the name of the program. */
[[nodiscard]] std::variant<Values, int> parseProgram(Definition& definition, std::vector<std::string> given);

} // namespace chivewinch::settings
