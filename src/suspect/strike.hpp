#pragma once

#include "base/id.hpp"

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace chivewinch::suspect {

/** States that a fingerprint was in flight on a target when this incarnation of the target crashed. */
struct Strike {
    std::uint64_t fingerprint = 0;
    base::TargetId target;
    base::Incarnation incarnation {};
    /** Distinguishes the crashes of one incarnation, for targets that restart under the same incarnation; else 0. */
    std::uint64_t crash = 0;

    auto operator<=>(const Strike&) const = default;
};

/** A strike as it is sent to other processes of the zone. */
struct StrikeReport {
    Strike strike;
    std::chrono::milliseconds age {}; ///< Time since the crash; as a duration, it needs no synchronized clocks.
    bool cleared = false; ///< The fingerprint has completed a run since the crash; the strike no longer counts.
    bool trial = false; ///< The run was a trial of a blocked fingerprint.

    bool operator==(const StrikeReport&) const = default;
};

using StrikeList = std::vector<StrikeReport>;

/** Hash of team, model and request body. For a plain service, model is its name, method and path. */
[[nodiscard]] std::uint64_t fingerprint(std::string_view team, std::string_view model, std::string_view body) noexcept;

/** The fingerprint as hexadecimal digits, for logs. */
[[nodiscard]] std::string fingerprintText(std::uint64_t fingerprint);

} // namespace chivewinch::suspect
