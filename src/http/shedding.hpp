#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace chivewinch::http {

/** What a connection is doing, in the order in which connections are closed to make room for others. */
enum class ConnectionState : std::uint8_t {
    Idle, ///< No byte of a request has arrived.
    Receiving, ///< A request has begun to arrive.
    Blocked, ///< The caller does not read its answer.
    Serving, ///< The request is being served; such a connection is not closed.
};

/** What a server knows of one of its connections. */
struct ConnectionView {
    std::uint64_t source = 0; ///< Identifies the address of the caller.
    ConnectionState state = ConnectionState::Idle;
    std::chrono::steady_clock::time_point since {}; ///< Begin of the state.
    std::size_t bytes = 0; ///< Memory of the unfinished request.
};

/** Time for which a write makes no progress until its caller counts as not reading. */
constexpr std::chrono::seconds blockedWriteTime { 1 };

/**
 * Index of the connection to close so that another one can be accepted: of the source with the most connections that
 * are not being served, the idle ones first and the one that is longest in its state. Returns nullopt if all are being
 * served.
 */
[[nodiscard]] std::optional<std::size_t> connectionToClose(std::span<const ConnectionView> connections);

/**
 * Index of the connection to close so that a request finds the given bytes: the one whose unfinished request holds the
 * most memory, but at least twice these bytes. Requests of similar size therefore do not displace each other. Returns
 * nullopt if there is none.
 */
[[nodiscard]] std::optional<std::size_t> unfinishedRequestToClose(
    std::span<const ConnectionView> connections, std::size_t bytes);

/**
 * Upper bound of the memory of a request's head: the bytes as they were read, its fields, once more for the copy that
 * is forwarded, and that copy as it is sent. Fields grow by doubling. Heads of many short fields take many times their
 * size.
 */
[[nodiscard]] constexpr std::size_t headMemory(std::size_t bytes, std::size_t lines) noexcept
{
    constexpr std::size_t fieldBytes = 112;
    constexpr std::size_t growth = 2;
    constexpr std::size_t copies = 2;
    return 2 * bytes + copies * (growth * bytes + lines * fieldBytes);
}

} // namespace chivewinch::http
