#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace chivewinch::routing {

/**
 * Indices of the `size` candidates with the largest rendezvous hash for the key, in ascending order of index.
 * A candidate that comes or goes changes at most one member. Candidates are given by their own hashes.
 */
[[nodiscard]] std::vector<std::size_t> chooseSubset(
    std::uint64_t key, std::span<const std::uint64_t> candidates, std::size_t size);

} // namespace chivewinch::routing
