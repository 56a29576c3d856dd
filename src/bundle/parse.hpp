#pragma once

#include "bundle/bundle.hpp"
#include "bundle/error.hpp"

#include <optional>
#include <string_view>
#include <vector>

namespace chivewinch::bundle {

/**
 * Reads a bundle from TOML. Lists are sorted by key. All errors of syntax, type, range, uniqueness and reference are
 * appended to errors; the result is nullopt if there is any.
 */
[[nodiscard]] std::optional<Bundle> parse(std::string_view text, std::vector<ConfigError>& errors);

/** Errors of range, uniqueness and reference; empty for a valid bundle. */
[[nodiscard]] std::vector<ConfigError> check(const Bundle& bundle);

} // namespace chivewinch::bundle
