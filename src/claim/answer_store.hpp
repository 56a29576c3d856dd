#pragma once

#include "claim/claim_row.hpp"
#include "store/object_store.hpp"

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace chivewinch::claim {

/** SHA-256 in lower-case hexadecimal. */
[[nodiscard]] std::string contentHash(std::string_view bytes);

/** Stores small answers in the row of the claim and larger ones in the object store, named by their hash. */
class AnswerStore {
public:
    using PutCallback = std::function<void(std::optional<StoredAnswer>)>;
    /** The outer optional is nullopt if the object store does not answer, the inner one if the answer is lost. */
    using GetCallback = std::function<void(std::optional<std::optional<std::string>>)>;

    AnswerStore(store::ObjectStore& objects, std::size_t maxRowBytes) noexcept;

    void put(const std::string& answer, PutCallback callback);
    void get(const StoredAnswer& stored, GetCallback callback);

private:
    store::ObjectStore& objects;
    std::size_t maxRowBytes;
};

} // namespace chivewinch::claim
