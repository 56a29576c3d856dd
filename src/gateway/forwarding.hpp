#pragma once

#include "gateway/header_names.hpp"
#include "http/message.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chivewinch::gateway {

/** Header fields of a request, parsed. The views refer to the request and must not outlive it. */
struct RequestHead {
    std::string_view id;
    std::string host; ///< In lower case, without the port.
    std::string_view path;
    std::string_view key;
    std::optional<std::chrono::milliseconds> timeLeft;
    std::optional<std::uint64_t> lastEventId;
    /** IDs of the parts of the prompt that other requests can share, that is, without the last one. */
    std::vector<std::string_view> sharedParts;
};

[[nodiscard]] RequestHead parseRequestHead(const http::Request& request, const HeaderNames& names);

/** Values that the gateway sets in a forwarded request. */
struct ForwardOptions {
    std::string_view team; ///< Empty for none.
    std::string_view target;
    std::chrono::milliseconds timeLeft {};
    std::optional<std::uint64_t> lastEventId;
    std::optional<std::uint32_t> targetPriority;
};

/**
 * Copies the head of the caller's request for a target: same method, path and query, without connection header fields.
 * The body is not copied; the client sends that of the caller's request.
 */
[[nodiscard]] http::Request forwardRequest(
    const http::Request& request, const HeaderNames& names, const ForwardOptions& options);

/** Header fields of a target's answer that the caller gets; without connection and framing fields. */
[[nodiscard]] http::Headers forwardHeaders(const http::Headers& headers);

/** Parses an unsigned decimal number; nullopt for any other text. */
[[nodiscard]] std::optional<std::uint64_t> parseNumber(std::string_view text) noexcept;

} // namespace chivewinch::gateway
