#pragma once

#include "base/reason.hpp"

#include <chrono>
#include <compare>

namespace chivewinch::limit {

/** Admission of a request, or its refusal as "not run", which is reported to the caller at once. */
struct Decision {
    base::RefusalReason reason = base::RefusalReason::None; ///< None if admitted.
    std::chrono::milliseconds retryAfter { 0 }; ///< For the Retry-After header; rounded up to seconds there.

    auto operator<=>(const Decision&) const = default;
    [[nodiscard]] bool admitted() const noexcept { return this->reason == base::RefusalReason::None; }
};

} // namespace chivewinch::limit
