#pragma once

#include "gateway/header_names.hpp"
#include "http/message.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace chivewinch::gateway {

/** What a request says about itself. The views belong to the request. */
struct RequestHead {
    std::string_view id;
    std::string host; ///< In lower case, without the port.
    std::string_view path;
    std::string_view key;
    std::optional<std::chrono::milliseconds> timeLeft;
    std::optional<std::uint64_t> lastEventId;
};

[[nodiscard]] RequestHead readHead(const http::Request& request, const HeaderNames& names);

/** What this process states to the target. */
struct Forwarding {
    std::string_view team; ///< Empty for none.
    std::string_view target;
    std::chrono::milliseconds timeLeft {};
    std::optional<std::uint64_t> lastEventId;
    std::optional<std::uint32_t> targetPriority;
};

/** Copy of the caller's request for a target: same method, path, query and body, without fields of the connection. */
[[nodiscard]] http::Request forwardRequest(
    const http::Request& request, const HeaderNames& names, const Forwarding& forwarding);

/** Fields of a target's answer that go to the caller; without fields of the connection and of the framing. */
[[nodiscard]] http::Headers forwardHeaders(const http::Headers& headers);

/** Decimal number without sign; nullopt for anything else. */
[[nodiscard]] std::optional<std::uint64_t> parseNumber(std::string_view text) noexcept;

} // namespace chivewinch::gateway
