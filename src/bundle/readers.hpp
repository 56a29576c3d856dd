#pragma once

#include "base/id.hpp"

#include <cstddef>
#include <string>
#include <vector>

namespace chivewinch::bundle {

/**
 * Selects the entries of a zone that poll the store: the ones with the largest rendezvous hashes. Adding or removing
 * one entry changes at most one reader.
 */
[[nodiscard]] std::vector<std::string> selectReaders(
    const base::ZoneId& zone, std::vector<std::string> liveEntries, std::size_t count);

} // namespace chivewinch::bundle
