#pragma once

#include "http/message.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <vector>

namespace chivewinch::group {

/** Runs tasks side by side on one executor; completes when all have ended. */
[[nodiscard]] http::Task<void> runAll(boost::asio::any_io_executor executor, std::vector<http::Task<void>> tasks);

} // namespace chivewinch::group
