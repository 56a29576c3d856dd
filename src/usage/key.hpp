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

/** Link of a segment or summary: a hash of its payload digest and its signature. */
[[nodiscard]] Digest linkOf(const Digest& payload, const Signature& signature);

[[nodiscard]] std::string toHex(std::string_view bytes);
[[nodiscard]] std::string toHex(const Digest& bytes);

/** Ed25519 key of one process. */
class SigningKey {
public:
    /** Generates a key from the operating system's entropy source. Throws std::runtime_error if that fails. */
    [[nodiscard]] static SigningKey generate();
    /** Returns nullopt with ErrorCode::BadKey unless the text is 64 hexadecimal digits. */
    [[nodiscard]] static std::optional<SigningKey> fromHex(std::string_view seed, Error& reason);
    [[nodiscard]] static SigningKey fromSeed(const KeyBytes& seed);

    [[nodiscard]] Signature sign(const Digest& digest) const;
    [[nodiscard]] const KeyBytes& publicKey() const noexcept { return this->publicBytes; }
    /** Seed as 64 hexadecimal digits. Keep it secret. */
    [[nodiscard]] std::string seedHex() const;

private:
    SigningKey() = default;

    KeyBytes seed {};
    KeyBytes publicBytes {};
    std::shared_ptr<void> handle;
};

/** Public keys of the processes that may write segments. The list is independent of bundles. */
class KeyList {
public:
    /** Registers a key. An instance may have several keys, for example after a key replacement. */
    void add(std::string instance, Side side, const KeyBytes& publicKey);

    /** Whether the signature is valid under a key that is registered for this instance and side. */
    [[nodiscard]] bool verify(
        const std::string& instance, Side side, const Digest& digest, const Signature& signature) const;

    /** JSON array of objects with the fields "instance", "side" and "key". */
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
