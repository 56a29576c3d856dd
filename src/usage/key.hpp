#pragma once

#include "usage/error.hpp"
#include "usage/record.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chivewinch::usage {

using Digest = std::array<std::uint8_t, 32>; ///< SHA-256
using Signature = std::array<std::uint8_t, 64>; ///< Ed25519
using KeyBytes = std::array<std::uint8_t, 32>; ///< Ed25519 seed or public key

[[nodiscard]] Digest sha256(std::string_view bytes);

/** Link of a segment or summary: fixes both its payload and its signature. */
[[nodiscard]] Digest linkOf(const Digest& payload, const Signature& signature);

[[nodiscard]] std::string toHex(std::string_view bytes);
[[nodiscard]] std::string toHex(const Digest& bytes);

/** Ed25519 key of one process. */
class SigningKey {
public:
    /** New key from the operating system's entropy source. */
    [[nodiscard]] static SigningKey generate();
    /** nullopt with ErrorCode::BadKey unless the text is 64 hexadecimal digits. */
    [[nodiscard]] static std::optional<SigningKey> fromHex(std::string_view seed, Error& reason);
    [[nodiscard]] static SigningKey fromSeed(const KeyBytes& seed);

    [[nodiscard]] Signature sign(const Digest& digest) const;
    [[nodiscard]] const KeyBytes& publicKey() const noexcept { return this->publicBytes; }
    /** Seed as 64 hexadecimal digits, to be kept secret. */
    [[nodiscard]] std::string seedHex() const;

private:
    SigningKey() = default;

    KeyBytes seed {};
    KeyBytes publicBytes {};
    std::shared_ptr<void> handle;
};

/** Public keys of the processes that may write segments. It does not depend on any bundle. */
class KeyList {
public:
    /** Registers a key; an instance may have several, e.g. after a replacement. */
    void add(std::string instance, Side side, const KeyBytes& publicKey);

    /** Whether a key registered for this instance and side made the signature. */
    [[nodiscard]] bool verify(
        const std::string& instance, Side side, const Digest& digest, const Signature& signature) const;

    /** JSON array of {"instance", "side", "key"}. */
    [[nodiscard]] std::string toJson() const;
    [[nodiscard]] static std::optional<KeyList> fromJson(std::string_view text, Error& reason);

private:
    struct Entry {
        KeyBytes bytes {};
        std::shared_ptr<void> handle;
    };
    std::map<std::pair<std::string, Side>, std::vector<Entry>> keys;
};

} // namespace chivewinch::usage
