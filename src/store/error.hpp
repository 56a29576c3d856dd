#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace chivewinch::store {

enum class ErrorCode : std::uint8_t {
    None,
    Unavailable, ///< The service refused or could not be reached: nothing took effect.
    Ambiguous, ///< A write may have taken effect; only a read can tell.
    TimedOut, ///< A read got no answer before its deadline.
    BudgetExhausted, ///< The process has spent its operation budget: nothing was sent.
    Invalid, ///< The service rejected the request as malformed.
};

/** Why a store operation gave no result. */
struct Error {
    ErrorCode code = ErrorCode::None;
    std::string detail;

    bool operator==(const Error&) const = default;
};

[[nodiscard]] std::string_view toString(ErrorCode code) noexcept;

} // namespace chivewinch::store
