#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace chivewinch::bundle {

/** One error in a configuration, reported to the operator who wrote it. */
struct ConfigError {
    std::string path; ///< For example "team.wax-hall.rate".
    std::string value; ///< Value that was found; empty if the value is missing.
    std::string fix; ///< What to change.

    bool operator==(const ConfigError&) const = default;
};

enum class ErrorCode : std::uint8_t {
    None,
    Invalid, ///< The input violates the format.
    MissingSignature, ///< An owner has not signed.
    BadSignature, ///< A signature does not match its owner's key.
    Altered, ///< Content does not match its hash.
    Older, ///< The version is not newer than the one in force.
    MissingPart, ///< A content-addressed part is absent.
    LostRace, ///< Another operator changed the state first.
    WrongState, ///< The life cycle does not allow the operation.
    NotFound, ///< No such version.
    StoreUnavailable, ///< The store did not answer, so the result is unknown.
};

/** Reason why a bundle operation failed. */
struct Error {
    ErrorCode code = ErrorCode::None;
    std::string detail;

    bool operator==(const Error&) const = default;
};

[[nodiscard]] std::string_view toString(ErrorCode code) noexcept;

} // namespace chivewinch::bundle
