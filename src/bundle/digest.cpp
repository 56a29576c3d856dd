#include "bundle/digest.hpp"

#include <openssl/evp.h>

#include <array>
#include <charconv>
#include <stdexcept>

namespace chivewinch::bundle {

std::string toHex(std::string_view bytes)
{
    constexpr std::string_view digits { "0123456789abcdef" };
    std::string text;
    text.reserve(2 * bytes.size());
    for (const auto byte : bytes) {
        const auto value = static_cast<unsigned char>(byte);
        text.push_back(digits[value >> 4]);
        text.push_back(digits[value & 15]);
    }
    return text;
}

std::string fromHex(std::string_view text)
{
    std::string bytes;
    for (std::size_t at = 0; at < text.size(); at += 2) {
        unsigned value = 0;
        const auto* first = text.data() + at;
        const auto* last = first + 2;
        if (at + 2 > text.size() || std::from_chars(first, last, value, 16).ptr != last)
            return {};
        bytes.push_back(static_cast<char>(value));
    }
    return bytes;
}

std::string sha256Hex(std::string_view bytes)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    unsigned size = 0;
    if (EVP_Digest(bytes.data(), bytes.size(), digest.data(), &size, EVP_sha256(), nullptr) != 1)
        throw std::runtime_error { "SHA-256 is not available in this OpenSSL" };
    return toHex({ reinterpret_cast<const char*>(digest.data()), size });
}

} // namespace chivewinch::bundle
