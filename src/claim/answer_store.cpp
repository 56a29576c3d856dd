#include "claim/answer_store.hpp"

#include <openssl/evp.h>

#include <array>
#include <utility>

namespace chivewinch::claim {

namespace internal {

constexpr std::string_view objectPrefix = "claim-answers/";

} // namespace internal

std::string contentHash(std::string_view bytes)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    unsigned int length = 0;
    if (EVP_Digest(bytes.data(), bytes.size(), digest.data(), &length, EVP_sha256(), nullptr) != 1)
        return {};
    std::string text;
    for (unsigned int i = 0; i < length; ++i) {
        text.push_back(digits[digest[i] >> 4]);
        text.push_back(digits[digest[i] & 0xF]);
    }
    return text;
}

AnswerStore::AnswerStore(store::ObjectStore& objects, std::size_t maxRowBytes) noexcept
    : objects { objects }
    , maxRowBytes { maxRowBytes }
{
}

void AnswerStore::put(const std::string& answer, PutCallback callback)
{
    if (answer.size() <= this->maxRowBytes) {
        callback(StoredAnswer { .bytes = answer, .object = {} });
        return;
    }
    auto name = std::string { internal::objectPrefix } + contentHash(answer);
    this->objects.putIfAbsent(name, answer, [name, callback = std::move(callback)](auto result, const store::Error&) {
        // The name is the hash of the content, so putting the same answer again is harmless. A lost acknowledgement
        // needs no re-read.
        callback(result ? std::optional { StoredAnswer { .bytes = std::nullopt, .object = name } } : std::nullopt);
    });
}

void AnswerStore::get(const StoredAnswer& stored, GetCallback callback)
{
    if (stored.bytes || stored.object.empty()) {
        callback(std::optional { stored.bytes });
        return;
    }
    this->objects.get(
        stored.object, [name = stored.object, callback = std::move(callback)](auto object, const store::Error&) {
            if (object && *object && std::string { internal::objectPrefix } + contentHash(**object) != name)
                object->reset();
            callback(std::move(object));
        });
}

} // namespace chivewinch::claim
