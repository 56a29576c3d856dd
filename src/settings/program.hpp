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
 * Handles --help, --version, --settings-markdown and --check-config, and reports invalid settings on standard error.
 * Returns the values, or the exit code if the process has to exit.
 */
[[nodiscard]] std::variant<Values, int> parseProgram(Definition& definition, int argumentCount, char** arguments);
/** Same as above, for arguments without the program name. */
[[nodiscard]] std::variant<Values, int> parseProgram(Definition& definition, std::vector<std::string> given);

} // namespace chivewinch::settings
