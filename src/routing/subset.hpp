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

/**
 * Like chooseSubset, but no candidate is in the subsets of more than slack times the mean number of entries, provided
 * that all entries use the same list of entries and candidates. O(entries * candidates).
 *
 * @param entries Hashes of all entries, in ascending order; key is one of them.
 */
[[nodiscard]] std::vector<std::size_t> chooseEvenSubset(std::uint64_t key, std::span<const std::uint64_t> entries,
    std::span<const std::uint64_t> candidates, std::size_t size, double slack);

} // namespace chivewinch::routing
