#pragma once

#include "http/message.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <vector>

namespace chivewinch::group {

/**
 * Runs tasks concurrently on one executor; completes when all tasks have ended. Exceptions of the tasks are ignored.
 */
[[nodiscard]] http::Task<void> runAll(boost::asio::any_io_executor executor, std::vector<http::Task<void>> tasks);

} // namespace chivewinch::group
