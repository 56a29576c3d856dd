#pragma once

#include "base/clock.hpp"
#include "claim/claim.hpp"
#include "store/table_service.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace chivewinch::claim {

enum class ClaimState : std::uint8_t { Claimed, Done, NotRun, Unknown };

/** Location of a stored answer. At most one of bytes and object is set. */
struct StoredAnswer {
    std::optional<std::string> bytes;
    std::string object; ///< Name in the object store; empty if none.

    bool operator==(const StoredAnswer&) const = default;
};

/** Value of a row in the claims table. */
struct ClaimRow {
    std::uint64_t nonce = 0;
    std::string bodyHash;
    ClaimState state = ClaimState::Claimed;
    std::string entry; ///< Name of the instance that made the claim.
    base::WallTime at;
    StoredAnswer answer;

    bool operator==(const ClaimRow&) const = default;
};

[[nodiscard]] store::RowKey rowKey(const ClaimKey& key);
/** Encodes the row as a MessagePack map with one-letter keys. */
[[nodiscard]] std::string encode(const ClaimRow& row);
/** Returns nullopt if the value is not an encoded row. */
[[nodiscard]] std::optional<ClaimRow> decode(std::string_view value);

} // namespace chivewinch::claim
