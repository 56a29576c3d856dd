#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace chivewinch::store {

enum class ErrorCode : std::uint8_t {
    None,
    Unavailable, ///< The service refused the request or could not be reached; it has no effect.
    Ambiguous, ///< A write may have taken effect; only a read can show whether it did.
    TimedOut, ///< A read got no answer in time.
    BudgetExhausted, ///< The operation budget of the process is spent; nothing was sent.
    Invalid, ///< The service rejected the request as malformed.
};

/** Reason why a store operation has no result. */
struct Error {
    ErrorCode code = ErrorCode::None;
    std::string detail;

    bool operator==(const Error&) const = default;
};

[[nodiscard]] std::string_view toString(ErrorCode code) noexcept;

} // namespace chivewinch::store
