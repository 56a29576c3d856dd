#pragma once

#include <compare>
#include <cstdint>

namespace chivewinch::relay {

/**
 * State of one TableCopy. It is independent of the versions of the store: two processes that have read the same version
 * may have received different rows on the way to it, and a store that was restored issues versions again.
 */
struct CopyPosition {
    std::uint64_t copy = 0; ///< Identifies the copy; differs for each process and each of its starts.
    std::uint64_t revision = 0; ///< Number of updates that the copy had received.

    auto operator<=>(const CopyPosition&) const = default;
};

} // namespace chivewinch::relay
