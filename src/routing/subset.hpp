#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace chivewinch::routing {

/**
 * Indices of the `size` candidates with the largest rendezvous hash for the key, in ascending order of index.
 * Adding or removing one candidate changes at most one member of the subset.
 *
 * @param candidates Hashes of the candidates.
 */
[[nodiscard]] std::vector<std::size_t> chooseSubset(
    std::uint64_t key, std::span<const std::uint64_t> candidates, std::size_t size);

/**
 * Like chooseSubset, but limits the number of entries that have the same candidate in their subset to slack times the
 * mean, provided that all entries use the same lists of entries and candidates. O(entries * candidates).
 *
 * @param entries Hashes of all entries, in ascending order; key is one of them.
 */
[[nodiscard]] std::vector<std::size_t> chooseEvenSubset(std::uint64_t key, std::span<const std::uint64_t> entries,
    std::span<const std::uint64_t> candidates, std::size_t size, double slack);

} // namespace chivewinch::routing
