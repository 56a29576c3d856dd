#pragma once

#include "watch/row_feed.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace chivewinch::relay {

/** Query from a process to the peer that reads the store for it. */
struct RelayQuery {
    /** Version known to the sender, by table; 0 if the sender has no rows of the table. */
    std::map<std::string, std::uint64_t> since;
    std::chrono::milliseconds wait { 0 }; ///< Longest time that the peer may wait for a change before it answers.

    bool operator==(const RelayQuery&) const = default;
};

/** Changes of one table, or all of its rows. */
struct TableUpdate {
    watch::Page page;
    bool isSnapshot = false; ///< The rows are the complete table, not changes.

    bool operator==(const TableUpdate&) const = default;
};

struct RelayAnswer {
    std::map<std::string, TableUpdate> tables;

    bool operator==(const RelayAnswer&) const = default;
};

/** Messages are encoded as CBOR. Decoders return nullopt if the body is not a valid message. */
[[nodiscard]] std::string encode(const RelayQuery& query);
[[nodiscard]] std::optional<RelayQuery> decodeQuery(const std::string& body);
[[nodiscard]] std::string encode(const RelayAnswer& answer);
[[nodiscard]] std::optional<RelayAnswer> decodeAnswer(const std::string& body);

} // namespace chivewinch::relay
