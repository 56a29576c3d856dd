#pragma once

#include "settings/definition.hpp"
#include "settings/program.hpp"

#include <string>
#include <vector>

namespace chivewinch::ctl {

/** Exit codes in addition to those that all programs share; see settings/program.hpp. */
inline constexpr int exitLostRace = 3;
inline constexpr int exitStoreUnavailable = 4;

/** One command, e.g. "bundle propose". */
struct Command {
    std::string name;
    std::string summary;
    std::vector<settings::Setting> settings;
    int (*run)(const settings::Values&);
    /** Settings accepted as positional arguments, in this order. The last one takes all remaining ones, one per line.
     */
    std::vector<std::string> positional {};
};

[[nodiscard]] std::vector<Command> bundleCommands();
[[nodiscard]] std::vector<Command> expertCommands();
[[nodiscard]] std::vector<Command> explainCommands();
[[nodiscard]] std::vector<Command> keyCommands();
[[nodiscard]] std::vector<Command> statusCommands();
[[nodiscard]] std::vector<Command> usageCommands();

/** Setting "output", which selects the output format. The first format is the default. */
[[nodiscard]] settings::Setting outputSetting(std::vector<std::string> forms = { "table", "json" });

} // namespace chivewinch::ctl
