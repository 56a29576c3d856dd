#pragma once

#include "base/clock.hpp"
#include "base/id.hpp"
#include "usage/key.hpp"

#include <optional>
#include <string>

namespace chivewinch::daemon {

/** Incarnation of a process that starts now. */
[[nodiscard]] base::Incarnation startIncarnation(const base::Clock& clock) noexcept;

/**
 * Key for usage segments from its setting. For an empty seed a new key is made and its public part is logged, since
 * the segments cannot be verified without it. nullopt and a reason for a malformed seed.
 */
[[nodiscard]] std::optional<usage::SigningKey> usageKey(const std::string& seed, std::string& reason);

} // namespace chivewinch::daemon
