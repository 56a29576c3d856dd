#pragma once

#include "base/id.hpp"

#include <cstdint>
#include <vector>

namespace chivewinch::expert {

/** Settings of one owner from the bundle and its use of the group since the last change. */
struct OwnerPolicy {
    base::OwnerId owner;
    std::uint32_t skewWeight = 1; ///< Value of one interval whose steps are shorter by the mean rank load.
    std::uint32_t costWeight = 1; ///< Cost of loading all weights of the group once.
    std::uint64_t usageTokens = 0;

    bool operator==(const OwnerPolicy&) const = default;
};

struct OwnerCharge {
    base::OwnerId owner;
    std::uint64_t bytes = 0;

    auto operator<=>(const OwnerCharge&) const = default;
};

/**
 * Divides moved bytes between owners in proportion to usage, in integers. Each owner is charged the rounded-down
 * part; the bytes left over go one each to the owners with the largest remainders, ties by owner name. Charges sum to
 * the bytes exactly. Without any usage the owners share equally by the same rule. The result is ordered by owner name
 * and does not depend on the order of the input.
 */
[[nodiscard]] std::vector<OwnerCharge> attributeCost(std::uint64_t bytes, std::vector<OwnerPolicy> owners);

} // namespace chivewinch::expert
