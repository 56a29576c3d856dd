#pragma once

#include "bundle/error.hpp"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace chivewinch::bundle {

/** Ed25519 private key of an owner; copies share one key. */
class PrivateKey {
public:
    /** Generates a key with the random number generator of OpenSSL. */
    [[nodiscard]] static PrivateKey generate();
    /** Derives the key from a 32-byte seed (RFC 8032), for tests and examples. */
    [[nodiscard]] static std::optional<PrivateKey> fromSeed(std::string_view seed, Error& reason);
    /** Reads a PKCS #8 key in PEM form without a passphrase. */
    [[nodiscard]] static std::optional<PrivateKey> fromPem(std::string_view pem, Error& reason);

    [[nodiscard]] std::string toPem() const;
    /** 64 hexadecimal digits, as in `owner.public_key`. */
    [[nodiscard]] std::string publicKey() const;
    /** Signature as 128 hexadecimal digits. */
    [[nodiscard]] std::string sign(std::string_view message) const;

private:
    struct Handle;
    explicit PrivateKey(std::shared_ptr<const Handle> handle) noexcept;
    std::shared_ptr<const Handle> handle;
};

/** Whether the signature of the message is valid for the public key. Key and signature are in hexadecimal. */
[[nodiscard]] bool verify(std::string_view publicKey, std::string_view message, std::string_view signature);

/** Writes a private key to a new file that only the current user may read. An existing file is an error. */
[[nodiscard]] bool writeKeyFile(const std::string& path, const PrivateKey& key, Error& reason);
/** Reads a private key. A file that other users may access is an error. */
[[nodiscard]] std::optional<PrivateKey> readKeyFile(const std::string& path, Error& reason);

} // namespace chivewinch::bundle
