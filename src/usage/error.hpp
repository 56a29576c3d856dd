#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace chivewinch::usage {

enum class ErrorCode : std::uint8_t {
    None,
    StoreUnavailable, ///< The store did not return a usable result. The ledger repeats the write.
    ChainConflict, ///< Another process wrote different bytes under the name of the object to write.
    Malformed, ///< Stored bytes are not in the canonical encoding.
    BadKey, ///< Key text or key bytes are invalid.
    BadSignature,
};

/** Why an operation on usage data failed. */
struct Error {
    ErrorCode code = ErrorCode::None;
    std::string detail;

    bool operator==(const Error&) const = default;
};

[[nodiscard]] std::string_view toString(ErrorCode code) noexcept;

} // namespace chivewinch::usage
