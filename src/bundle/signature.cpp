#include "bundle/signature.hpp"

#include "bundle/digest.hpp"

#include <openssl/evp.h>
#include <openssl/pem.h>

#include <array>
#include <stdexcept>

namespace chivewinch::bundle {

namespace internal {

constexpr std::size_t keySize = 32;
constexpr std::size_t signatureSize = 64;

struct KeyDeleter {
    void operator()(EVP_PKEY* key) const noexcept { EVP_PKEY_free(key); }
};
struct ContextDeleter {
    void operator()(EVP_MD_CTX* context) const noexcept { EVP_MD_CTX_free(context); }
};
struct BioDeleter {
    void operator()(BIO* bio) const noexcept { BIO_free(bio); }
};
using KeyPointer = std::unique_ptr<EVP_PKEY, KeyDeleter>;
using ContextPointer = std::unique_ptr<EVP_MD_CTX, ContextDeleter>;
using BioPointer = std::unique_ptr<BIO, BioDeleter>;

const unsigned char* bytesOf(std::string_view text) noexcept
{
    return reinterpret_cast<const unsigned char*>(text.data());
}

void require(bool success, const char* operation)
{
    if (!success)
        throw std::runtime_error { std::string { "OpenSSL failed: " } + operation };
}

} // namespace internal

struct PrivateKey::Handle {
    internal::KeyPointer key;
};

PrivateKey::PrivateKey(std::shared_ptr<const Handle> handle) noexcept
    : handle { std::move(handle) }
{
}

PrivateKey PrivateKey::generate()
{
    internal::KeyPointer key { EVP_PKEY_Q_keygen(nullptr, nullptr, "ED25519") };
    internal::require(key != nullptr, "key generation");
    return PrivateKey { std::make_shared<const Handle>(Handle { std::move(key) }) };
}

std::optional<PrivateKey> PrivateKey::fromSeed(std::string_view seed, Error& reason)
{
    if (seed.size() != internal::keySize) {
        reason = { .code = ErrorCode::Invalid, .detail = "an Ed25519 seed has 32 bytes" };
        return std::nullopt;
    }
    internal::KeyPointer key { EVP_PKEY_new_raw_private_key(
        EVP_PKEY_ED25519, nullptr, internal::bytesOf(seed), seed.size()) };
    internal::require(key != nullptr, "key from seed");
    return PrivateKey { std::make_shared<const Handle>(Handle { std::move(key) }) };
}

std::optional<PrivateKey> PrivateKey::fromPem(std::string_view pem, Error& reason)
{
    const internal::BioPointer bio { BIO_new_mem_buf(pem.data(), static_cast<int>(pem.size())) };
    // The callback supplies no passphrase. Without a callback, OpenSSL would prompt for one on the terminal.
    const auto noPassphrase = [](char*, int, int, void*) { return -1; };
    internal::KeyPointer key { PEM_read_bio_PrivateKey(bio.get(), nullptr, noPassphrase, nullptr) };
    if (!key || EVP_PKEY_get_base_id(key.get()) != EVP_PKEY_ED25519) {
        reason = { .code = ErrorCode::Invalid, .detail = "not an Ed25519 private key in PEM form without passphrase" };
        return std::nullopt;
    }
    return PrivateKey { std::make_shared<const Handle>(Handle { std::move(key) }) };
}

std::string PrivateKey::toPem() const
{
    const internal::BioPointer bio { BIO_new(BIO_s_mem()) };
    const auto written
        = PEM_write_bio_PKCS8PrivateKey(bio.get(), this->handle->key.get(), nullptr, nullptr, 0, nullptr, nullptr);
    internal::require(written == 1, "key to PEM");
    char* data = nullptr;
    const auto size = BIO_get_mem_data(bio.get(), &data);
    return { data, static_cast<std::size_t>(size) };
}

std::string PrivateKey::publicKey() const
{
    std::array<unsigned char, internal::keySize> bytes {};
    auto size = bytes.size();
    internal::require(EVP_PKEY_get_raw_public_key(this->handle->key.get(), bytes.data(), &size) == 1, "public key");
    return toHex({ reinterpret_cast<const char*>(bytes.data()), size });
}

std::string PrivateKey::sign(std::string_view message) const
{
    const internal::ContextPointer context { EVP_MD_CTX_new() };
    std::array<unsigned char, internal::signatureSize> bytes {};
    auto size = bytes.size();
    const bool success = EVP_DigestSignInit(context.get(), nullptr, nullptr, nullptr, this->handle->key.get()) == 1
        && EVP_DigestSign(context.get(), bytes.data(), &size, internal::bytesOf(message), message.size()) == 1;
    internal::require(success, "signature");
    return toHex({ reinterpret_cast<const char*>(bytes.data()), size });
}

bool verify(std::string_view publicKey, std::string_view message, std::string_view signature)
{
    const auto keyBytes = fromHex(publicKey);
    const auto signatureBytes = fromHex(signature);
    if (keyBytes.size() != internal::keySize || signatureBytes.size() != internal::signatureSize)
        return false;
    const internal::KeyPointer key { EVP_PKEY_new_raw_public_key(
        EVP_PKEY_ED25519, nullptr, internal::bytesOf(keyBytes), keyBytes.size()) };
    const internal::ContextPointer context { EVP_MD_CTX_new() };
    return key && EVP_DigestVerifyInit(context.get(), nullptr, nullptr, nullptr, key.get()) == 1
        && EVP_DigestVerify(context.get(), internal::bytesOf(signatureBytes), signatureBytes.size(),
               internal::bytesOf(message), message.size())
        == 1;
}

} // namespace chivewinch::bundle
