#pragma once

#include "base/id.hpp"

#include <compare>
#include <cstddef>
#include <span>
#include <string>
#include <vector>

namespace chivewinch::quota {

/** Process that sends requests to targets. */
struct Member {
    std::string instance;
    base::ZoneId zone;

    auto operator<=>(const Member&) const = default;
};

/**
 * Number of members that divide the limit among them, if there are as many. Each owner may send one request at once, so
 * the number of owners bounds the burst at the target.
 */
[[nodiscard]] std::size_t ownerCount(double limit) noexcept;

/**
 * The members that own a share of the target's limit; the same for all processes that know the same members. One half,
 * rounded up, is chosen from the zone of the target, which can serve on when it is cut off from the other zones. Adding
 * a member replaces one owner at most.
 */
[[nodiscard]] std::vector<std::string> chooseOwners(
    const base::TargetId& target, const base::ZoneId& zone, std::span<const Member> members, std::size_t count);

} // namespace chivewinch::quota
