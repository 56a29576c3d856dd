#include "ctl/command.hpp"

namespace chivewinch::ctl {

std::vector<Command> expertCommands() { return {}; }

} // namespace chivewinch::ctl
