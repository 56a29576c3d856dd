#pragma once

#include "bundle/proof.hpp"

#include <optional>
#include <string_view>

namespace chivewinch::bundle {

/** Reads "owner=key,owner=key"; an owner may occur several times. Invalid with a detail for any other text. */
[[nodiscard]] std::optional<TrustedKeys> parseTrustedKeys(std::string_view text, Error& reason);

} // namespace chivewinch::bundle
