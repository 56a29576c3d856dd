#pragma once

#include "http/message.hpp"

#include <functional>
#include <string>

namespace chivewinch::http {

/**
 * Runs a task until it returns. If an exception leaves it, the task is begun again after a pause, so that what one
 * message leads to does not end the process.
 * @param name For the log.
 */
[[nodiscard]] Task<void> keepRunning(std::string name, std::function<Task<void>()> task);

} // namespace chivewinch::http
