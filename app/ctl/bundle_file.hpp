#pragma once

#include "bundle/bundle.hpp"

#include <optional>
#include <string>

namespace chivewinch::ctl {

/** Bundle of a file, or nullopt after all its errors have been printed. */
[[nodiscard]] std::optional<bundle::Bundle> readBundle(const std::string& path);

} // namespace chivewinch::ctl
