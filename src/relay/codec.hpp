#pragma once

#include "relay/copy_position.hpp"
#include "watch/row_feed.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace chivewinch::relay {

/** What a process has of a table. */
struct TableQuery {
    std::uint64_t version = 0; ///< Version of the store below which it takes no rows; 0 if it has read none.
    /** Position of another process's copy whose rows it has; nullopt if it has read other rows since. */
    std::optional<CopyPosition> position;

    bool operator==(const TableQuery&) const = default;
};

/** Query from a process to the peer that reads the store for it. */
struct RelayQuery {
    std::map<std::string, TableQuery> tables;
    std::chrono::milliseconds wait { 0 }; ///< Longest time that the peer may wait for a change before it answers.

    bool operator==(const RelayQuery&) const = default;
};

/** Age of rows that were not confirmed, and the largest that is sent or accepted. */
inline constexpr std::chrono::milliseconds unknownAge { std::chrono::hours { 24 * 365 } };

enum class UpdateKind : std::uint8_t {
    Snapshot, ///< The rows are the complete table.
    Changes, ///< The rows are the changes after the position in the query.
    Behind, ///< The source has an older version than the reader. There are no rows.
};

/** Answer to a TableQuery. */
struct TableUpdate {
    UpdateKind kind = UpdateKind::Snapshot;
    watch::Page page;
    CopyPosition position; ///< Position of the source's copy to which the update leads.
    /**
     * Time from the last confirmation of the source's rows to the arrival of the query; negative if they were confirmed
     * while the query waited.
     */
    std::chrono::milliseconds age { 0 };

    bool operator==(const TableUpdate&) const = default;
};

struct RelayAnswer {
    std::map<std::string, TableUpdate> tables;

    bool operator==(const RelayAnswer&) const = default;
};

/** What a process states about its contact with the store. */
struct ContactAnswer {
    std::chrono::milliseconds contact { 0 }; ///< Time up to now without an interruption.

    bool operator==(const ContactAnswer&) const = default;
};

/** Messages are encoded as CBOR. Decoders return nullopt if the body is not a valid message. */
[[nodiscard]] std::string encode(const RelayQuery& query);
[[nodiscard]] std::optional<RelayQuery> decodeQuery(const std::string& body);
[[nodiscard]] std::string encode(const RelayAnswer& answer);
[[nodiscard]] std::optional<RelayAnswer> decodeAnswer(const std::string& body);
[[nodiscard]] std::string encode(const ContactAnswer& answer);
[[nodiscard]] std::optional<ContactAnswer> decodeContactAnswer(const std::string& body);

} // namespace chivewinch::relay
