#pragma once

#include "bundle/bundle.hpp"

#include <optional>
#include <string>

namespace chivewinch::ctl {

/** Reads a bundle file. Prints all errors to stderr and returns nullopt if the file is unreadable or invalid. */
[[nodiscard]] std::optional<bundle::Bundle> readBundle(const std::string& path);

} // namespace chivewinch::ctl
