#pragma once

#include "watch/row_feed.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace chivewinch::relay {

/** What a process asks of the peer that reads the store for it. */
struct RelayQuery {
    std::map<std::string, std::uint64_t> since; ///< Version by table; 0 if the sender has nothing of the table.
    std::chrono::milliseconds wait { 0 }; ///< Longest wait for a change.

    bool operator==(const RelayQuery&) const = default;
};

/** News of one table. */
struct TableNews {
    watch::Page page;
    bool isWhole = false; ///< The rows are the whole table.

    bool operator==(const TableNews&) const = default;
};

struct RelayAnswer {
    std::map<std::string, TableNews> tables;

    bool operator==(const RelayAnswer&) const = default;
};

/** As CBOR; nullopt for anything that is not such a message. */
[[nodiscard]] std::string encode(const RelayQuery& query);
[[nodiscard]] std::optional<RelayQuery> decodeQuery(const std::string& body);
[[nodiscard]] std::string encode(const RelayAnswer& answer);
[[nodiscard]] std::optional<RelayAnswer> decodeAnswer(const std::string& body);

} // namespace chivewinch::relay
