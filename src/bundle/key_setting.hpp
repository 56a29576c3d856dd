#pragma once

#include "bundle/proof.hpp"

#include <optional>
#include <string_view>

namespace chivewinch::bundle {

/** Parses "owner=key,owner=key"; an owner may occur several times. Any other text fails with Invalid and a detail. */
[[nodiscard]] std::optional<TrustedKeys> parseTrustedKeys(std::string_view text, Error& reason);

} // namespace chivewinch::bundle
