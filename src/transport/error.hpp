#pragma once

#include <cstdint>
#include <string>

namespace chivewinch::transport {

enum class ErrorCode : std::uint8_t {
    None,
    ConnectionLost, ///< The TCP connection failed or was closed by the peer.
    Protocol, ///< The peer violated HTTP/2 or the message framing.
    StreamReset, ///< Only this stream was reset; the session stays open.
    Closed, ///< This side closed the session.
    IdleTimeout, ///< Nothing was received within the idle timeout.
};

/** Reason why a stream or a session ended early. */
struct Error {
    ErrorCode code = ErrorCode::None;
    std::string detail;

    bool operator==(const Error&) const = default;
};

} // namespace chivewinch::transport
