#pragma once

#include <string>
#include <string_view>

namespace chivewinch::bundle {

/** SHA-256 as 64 lower-case hexadecimal digits. */
[[nodiscard]] std::string sha256Hex(std::string_view bytes);

[[nodiscard]] std::string toHex(std::string_view bytes);
/** Inverse of toHex; empty unless the text is an even number of hexadecimal digits. */
[[nodiscard]] std::string fromHex(std::string_view text);

} // namespace chivewinch::bundle
