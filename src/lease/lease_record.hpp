#pragma once

#include "base/id.hpp"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace chivewinch::lease {

/** Name of the table with one row per lease. */
inline constexpr std::string_view leaseTable = "lease";

/** Content of a lease row. */
struct LeaseRecord {
    std::string holder; ///< Empty if the lease was released.
    std::string nonce; ///< Unique to each write of the row.
    base::FencingNumber fencing {};
    std::chrono::milliseconds duration { 0 };

    bool operator==(const LeaseRecord&) const = default;
};

[[nodiscard]] std::string encode(const LeaseRecord& record);
/** Returns nullopt if the row is malformed. */
[[nodiscard]] std::optional<LeaseRecord> decode(std::string_view text);

} // namespace chivewinch::lease
