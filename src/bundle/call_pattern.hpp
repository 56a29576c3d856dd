#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace chivewinch::bundle {

/**
 * Path without query, empty segments and percent-encoding. nullopt for a path that a service may read in more than
 * one way: dot segments, an encoded slash or a malformed escape.
 */
[[nodiscard]] std::optional<std::string> normalizePath(std::string_view path);

/** Whether a call matches "METHOD /pattern"; the path must be normalized. */
[[nodiscard]] bool matchesCall(std::string_view pattern, std::string_view method, std::string_view path);

} // namespace chivewinch::bundle
