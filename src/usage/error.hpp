#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace chivewinch::usage {

enum class ErrorCode : std::uint8_t {
    None,
    StoreUnavailable, ///< The store gave no usable answer; the write is repeated.
    ChainConflict, ///< Another process has written a segment of this chain.
    Malformed, ///< Stored bytes are not in the canonical form.
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
