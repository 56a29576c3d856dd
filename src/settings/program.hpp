#pragma once

#include "settings/definition.hpp"

#include <optional>
#include <variant>

namespace chivewinch::settings {

/** Exit codes of all programs. */
inline constexpr int exitSuccess = 0;
inline constexpr int exitFailure = 1;
inline constexpr int exitUsageError = 2;

/** Prints the version of chivewinch; returns exitSuccess. */
int printVersion();

/**
 * Handles --help, --version, --settings-markdown and --check-config, and reports invalid settings on standard error.
 * Returns the values, or the exit code if the process has to exit.
 */
[[nodiscard]] std::variant<Values, int> parseCommandLine(Definition& definition, int argumentCount, char** arguments);
/** Same as above, for arguments without the program name. */
[[nodiscard]] std::variant<Values, int> parseCommandLine(Definition& definition, std::vector<std::string> argumentList);

} // namespace chivewinch::settings
