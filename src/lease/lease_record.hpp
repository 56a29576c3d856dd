#pragma once

#include "base/id.hpp"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace chivewinch::lease {

/** Table of the store that holds one row per lease. */
inline constexpr std::string_view leaseTable = "lease";

/** Content of a lease row. */
struct LeaseRecord {
    std::string holder; ///< Empty when the lease was released.
    std::string nonce; ///< Of the last write; unique.
    base::FencingNumber fencing {};
    std::chrono::milliseconds duration { 0 };

    bool operator==(const LeaseRecord&) const = default;
};

[[nodiscard]] std::string encode(const LeaseRecord& record);
/** nullopt for a malformed row. */
[[nodiscard]] std::optional<LeaseRecord> decode(std::string_view text);

} // namespace chivewinch::lease
