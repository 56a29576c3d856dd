#pragma once

#include "base/id.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace chivewinch::quota {

/** What a process knows about the request limit of a target. */
struct LimitReport {
    base::TargetId target;
    base::Incarnation incarnation {};
    std::optional<double> limit; ///< Requests per second; nullopt if the limit has ended.
    std::chrono::milliseconds sentAge {}; ///< See Statement::sentAt.
    std::chrono::milliseconds observedAge {}; ///< See Statement::observedAt.

    bool operator==(const LimitReport&) const = default;
};

/** Sent to an owner of the limits. */
struct LimitQuery {
    struct Item {
        LimitReport report;
        /** Recent requests of the sender that found the limit used up; 0 if it wants no permit. */
        std::uint32_t demand = 0;

        bool operator==(const Item&) const = default;
    };

    std::vector<Item> items;

    bool operator==(const LimitQuery&) const = default;
};

struct LimitAnswer {
    struct Item {
        LimitReport report;
        bool hasPermit = false; ///< The receiver may send one request, at the expense of the owner's share.
        std::chrono::milliseconds opensIn {}; ///< Time until the owner's share allows the next request.

        bool operator==(const Item&) const = default;
    };

    std::vector<Item> items;

    bool operator==(const LimitAnswer&) const = default;
};

/** Messages are encoded as CBOR. Decoders return nullopt if the body is not a valid message. */
[[nodiscard]] std::string encode(const LimitQuery& query);
[[nodiscard]] std::optional<LimitQuery> decodeLimitQuery(const std::string& body);
[[nodiscard]] std::string encode(const LimitAnswer& answer);
[[nodiscard]] std::optional<LimitAnswer> decodeLimitAnswer(const std::string& body);

} // namespace chivewinch::quota
