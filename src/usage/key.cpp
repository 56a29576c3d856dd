#include "usage/key.hpp"

#include "wire/parse.hpp"

#include <nlohmann/json.hpp>
#include <openssl/evp.h>
#include <openssl/rand.h>

#include <algorithm>
#include <charconv>
#include <stdexcept>

namespace chivewinch::usage {

namespace internal {

// Domain separation: the prefix prevents the reuse of a signature for another kind of message.
constexpr std::string_view signatureContext = "chivewinch usage v1\n";

std::shared_ptr<void> makeKeyHandle(EVP_PKEY* key)
{
    if (key == nullptr)
        throw std::runtime_error("OpenSSL rejected an Ed25519 key");
    return { key, [](void* pointer) { EVP_PKEY_free(static_cast<EVP_PKEY*>(pointer)); } };
}

std::shared_ptr<void> publicHandle(const KeyBytes& bytes)
{
    return makeKeyHandle(EVP_PKEY_new_raw_public_key(EVP_PKEY_ED25519, nullptr, bytes.data(), bytes.size()));
}

std::string messageOf(const Digest& digest)
{
    std::string message { signatureContext };
    message.append(digest.begin(), digest.end());
    return message;
}

const unsigned char* asBytes(const std::string& text) { return reinterpret_cast<const unsigned char*>(text.data()); }

std::optional<KeyBytes> parseKey(std::string_view hex)
{
    KeyBytes bytes {};
    if (hex.size() != 2 * bytes.size())
        return std::nullopt;
    for (std::size_t i = 0; i < bytes.size(); ++i) {
        const auto* first = hex.data() + 2 * i;
        const auto result = std::from_chars(first, first + 2, bytes[i], 16);
        if (result.ec != std::errc {} || result.ptr != first + 2)
            return std::nullopt;
    }
    return bytes;
}

std::string_view viewOfBytes(const KeyBytes& bytes)
{
    return { reinterpret_cast<const char*>(bytes.data()), bytes.size() };
}

} // namespace internal

Digest sha256(std::string_view bytes)
{
    // The algorithm is fetched once, because EVP_sha256() performs a provider lookup under a lock on each use.
    static const EVP_MD* const algorithm = EVP_MD_fetch(nullptr, "SHA256", nullptr);
    Digest digest {};
    unsigned int size = 0;
    if (EVP_Digest(bytes.data(), bytes.size(), digest.data(), &size, algorithm, nullptr) != 1)
        throw std::runtime_error("OpenSSL failed to compute SHA-256");
    return digest;
}

Digest linkOf(const Digest& payload, const Signature& signature)
{
    std::string bytes(payload.begin(), payload.end());
    bytes.append(signature.begin(), signature.end());
    return sha256(bytes);
}

std::string toHex(std::string_view bytes)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(2 * bytes.size());
    for (const unsigned char byte : bytes) {
        text += digits[byte >> 4];
        text += digits[byte & 15];
    }
    return text;
}

std::string toHex(const Digest& bytes) { return toHex(internal::viewOfBytes(bytes)); }

SigningKey SigningKey::generate()
{
    KeyBytes seed {};
    if (RAND_bytes(seed.data(), static_cast<int>(seed.size())) != 1)
        throw std::runtime_error("OpenSSL failed to generate random bytes");
    return fromSeed(seed);
}

std::optional<SigningKey> SigningKey::fromHex(std::string_view seed, Error& reason)
{
    const auto bytes = internal::parseKey(seed);
    if (!bytes) {
        reason = { .code = ErrorCode::BadKey, .detail = "a signing key is 64 hexadecimal digits" };
        return std::nullopt;
    }
    return fromSeed(*bytes);
}

SigningKey SigningKey::fromSeed(const KeyBytes& seed)
{
    SigningKey key;
    key.seed = seed;
    key.handle
        = internal::makeKeyHandle(EVP_PKEY_new_raw_private_key(EVP_PKEY_ED25519, nullptr, seed.data(), seed.size()));
    std::size_t size = key.publicBytes.size();
    EVP_PKEY_get_raw_public_key(static_cast<EVP_PKEY*>(key.handle.get()), key.publicBytes.data(), &size);
    return key;
}

Signature SigningKey::sign(const Digest& digest) const
{
    const auto message = internal::messageOf(digest);
    Signature signature {};
    std::size_t size = signature.size();
    const std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> context { EVP_MD_CTX_new(), &EVP_MD_CTX_free };
    auto* key = static_cast<EVP_PKEY*>(this->handle.get());
    if (EVP_DigestSignInit(context.get(), nullptr, nullptr, nullptr, key) != 1
        || EVP_DigestSign(context.get(), signature.data(), &size, internal::asBytes(message), message.size()) != 1)
        throw std::runtime_error("OpenSSL failed to sign");
    return signature;
}

std::string SigningKey::seedHex() const { return toHex(internal::viewOfBytes(this->seed)); }

void KeyList::add(std::string instance, Side side, const KeyBytes& publicKey)
{
    this->keys[{ std::move(instance), side }].push_back(
        { .bytes = publicKey, .handle = internal::publicHandle(publicKey) });
}

bool KeyList::verify(const std::string& instance, Side side, const Digest& digest, const Signature& signature) const
{
    const auto found = this->keys.find({ instance, side });
    if (found == this->keys.end())
        return false;
    const auto message = internal::messageOf(digest);
    return std::any_of(found->second.begin(), found->second.end(), [&](const Entry& entry) {
        const std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> context { EVP_MD_CTX_new(), &EVP_MD_CTX_free };
        auto* key = static_cast<EVP_PKEY*>(entry.handle.get());
        return EVP_DigestVerifyInit(context.get(), nullptr, nullptr, nullptr, key) == 1
            && EVP_DigestVerify(
                   context.get(), signature.data(), signature.size(), internal::asBytes(message), message.size())
            == 1;
    });
}

std::string KeyList::toJson() const
{
    auto list = nlohmann::ordered_json::array();
    for (const auto& [owner, entries] : this->keys) {
        for (const auto& entry : entries)
            list.push_back({ { "instance", owner.first }, { "side", toString(owner.second) },
                { "key", toHex(internal::viewOfBytes(entry.bytes)) } });
    }
    return list.dump(2);
}

std::optional<KeyList> KeyList::fromJson(std::string_view text, Error& reason)
{
    const auto json = wire::parseJson(text);
    KeyList list;
    if (!json.is_array()) {
        reason = { .code = ErrorCode::BadKey, .detail = "a key list is a JSON array" };
        return std::nullopt;
    }
    for (const auto& item : json) {
        const auto field = [&item](const char* name) {
            return item.is_object() && item.contains(name) && item[name].is_string() ? item[name].get<std::string>()
                                                                                     : std::string {};
        };
        const auto key = internal::parseKey(field("key"));
        const auto side = field("side");
        if (!key || field("instance").empty() || (side != "entry" && side != "agent")) {
            reason = { .code = ErrorCode::BadKey, .detail = "invalid key list item " + item.dump() };
            return std::nullopt;
        }
        list.add(field("instance"), side == "entry" ? Side::Entry : Side::Agent, *key);
    }
    return list;
}

} // namespace chivewinch::usage
