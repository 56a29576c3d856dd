#pragma once

#include "base/id.hpp"

#include <cstdint>
#include <vector>

namespace chivewinch::expert {

/** Settings of one owner from the bundle, and the owner's usage of the group since the last map change. */
struct OwnerPolicy {
    base::OwnerId owner;
    /** Value of lowering the mean skew by 1 for one interval; 1 is the step time for the mean rank load. */
    std::uint32_t skewWeight = 1;
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
 * Divides moved bytes between owners in proportion to usage, in integer arithmetic (largest remainder method). Each
 * owner is charged its exact part, rounded down. The remaining bytes go one each to the owners with the largest
 * remainders; ties are broken by owner name. The charges sum exactly to the bytes. If no owner has usage, all owners
 * count equally. The result is ordered by owner name and does not depend on the order of the input.
 */
[[nodiscard]] std::vector<OwnerCharge> attributeCost(std::uint64_t bytes, std::vector<OwnerPolicy> owners);

} // namespace chivewinch::expert
