#pragma once

#include "base/clock.hpp"
#include "base/id.hpp"
#include "usage/key.hpp"

#include <optional>
#include <string>

namespace chivewinch::daemon {

/** Incarnation of a process that starts at the clock's current wall time. */
[[nodiscard]] base::Incarnation makeIncarnation(const base::Clock& clock) noexcept;

/**
 * Signing key for usage segments, from the seed in the settings. If the seed is empty, generates a new key and logs its
 * public part, because the segments cannot be verified without it. nullopt and a reason if the seed is malformed.
 */
[[nodiscard]] std::optional<usage::SigningKey> usageKey(const std::string& seed, std::string& reason);

} // namespace chivewinch::daemon
