#pragma once

#include "base/id.hpp"

#include <cstddef>
#include <string>
#include <vector>

namespace chivewinch::bundle {

/**
 * The entries of a zone that poll the store: those with the largest rendezvous hash. One entry that comes or goes
 * changes at most one of them.
 */
[[nodiscard]] std::vector<std::string> readersOf(
    const base::ZoneId& zone, std::vector<std::string> liveEntries, std::size_t count);

} // namespace chivewinch::bundle
