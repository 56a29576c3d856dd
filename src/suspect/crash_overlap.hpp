#pragma once

#include "suspect/strike_table.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>

namespace chivewinch::suspect {

/** Crashes that a feature has in common with others that are blocked and can be the cause. */
class CrashOverlap {
public:
    /** True if the other feature explains a crash better, even if it has strikes of fewer crashes. */
    using IsPreferred = std::function<bool(std::uint64_t other)>;

    CrashOverlap(const StrikeTable& table, std::uint64_t feature, const IsPreferred& isPreferred = {});

    /** Crashes of which neither a feature with strikes of more crashes nor a preferred one has a strike. */
    [[nodiscard]] std::size_t unexplained() const noexcept { return this->unexplainedCount; }
    /** Crashes of which no other blocked feature has a strike. */
    [[nodiscard]] std::size_t unshared() const noexcept { return this->unsharedCount; }

private:
    std::size_t unexplainedCount = 0;
    std::size_t unsharedCount = 0;
};

} // namespace chivewinch::suspect
