#pragma once

#include "base/hash.hpp"

#include <array>
#include <cstdint>
#include <cstdio>
#include <string>
#include <string_view>

namespace chivewinch::standin {

/**
 * Returns the token at a zero-based index of the answer to a prompt. The answer is a pure function of the prompt, so
 * that a client can check that it received the complete answer to its own request.
 */
[[nodiscard]] inline std::string tokenAt(std::string_view prompt, std::uint64_t index)
{
    std::array<char, 8> text {};
    std::snprintf(text.data(), text.size(), " %04x", static_cast<unsigned>(base::hash64(prompt, index) & 0xFFFFU));
    return text.data();
}

} // namespace chivewinch::standin
