#pragma once

#include "base/reason.hpp"

#include <chrono>
#include <compare>

namespace chivewinch::limit {

/** Admission, or a refusal as "not run" that the caller is to be told at once. */
struct Decision {
    base::RefusalReason reason = base::RefusalReason::None; ///< None when admitted.
    std::chrono::milliseconds retryAfter { 0 }; ///< For the Retry-After header, to be rounded up to seconds.

    auto operator<=>(const Decision&) const = default;
    [[nodiscard]] bool admitted() const noexcept { return this->reason == base::RefusalReason::None; }
};

} // namespace chivewinch::limit
