#pragma once

#include "http/message.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace chivewinch::entry {

/** Encodes an answer as CBOR to store it with its claim. */
[[nodiscard]] std::string encodeAnswer(const http::Response& answer);
[[nodiscard]] std::optional<http::Response> decodeAnswer(std::string_view bytes);

} // namespace chivewinch::entry
