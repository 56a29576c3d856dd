#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace chivewinch::bundle {

/**
 * Returns the percent-decoded path without its query and without empty segments. Returns nullopt for a path that
 * services may interpret differently: dot segments, an encoded slash or a malformed escape.
 */
[[nodiscard]] std::optional<std::string> normalizePath(std::string_view path);

/** Whether a call matches "METHOD /pattern"; the path must be normalized. */
[[nodiscard]] bool matchesCall(std::string_view pattern, std::string_view method, std::string_view path);

} // namespace chivewinch::bundle
