#pragma once

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace chivewinch::watch {

/** New state of one row; nullopt if the row was removed. */
struct RowChange {
    std::string key;
    std::optional<std::string> value;

    bool operator==(const RowChange&) const = default;
};

/** Rows of a table, and the version of the store from which changes continue. */
struct Page {
    std::vector<RowChange> rows;
    std::uint64_t version = 0;

    bool operator==(const Page&) const = default;
};

enum class FeedErrorCode : std::uint8_t {
    None,
    HistoryLost, ///< The changes since the version are no longer known; the table must be read whole.
    Unavailable, ///< The store refused, did not answer or could not be reached.
    Malformed, ///< The answer could not be decoded.
};

struct FeedError {
    FeedErrorCode code = FeedErrorCode::None;
    std::string detail;

    bool operator==(const FeedError&) const = default;
};

/** Time limits of calls to a store. */
struct FeedTimeouts {
    std::chrono::milliseconds connect { 400 };
    /** A store answers a read within a few milliseconds; it is asked again on a new connection after this time. */
    std::chrono::milliseconds read { 800 };
    /** Time beyond the wait for changes after which a call without an answer has lost its connection. */
    std::chrono::milliseconds slack { 400 };

    bool operator==(const FeedTimeouts&) const = default;
};

/** One table of a store that tells its changes. */
class RowFeed {
public:
    template <typename Result> using Task = boost::asio::awaitable<Result>;

    RowFeed() = default;
    RowFeed(const RowFeed&) = delete;
    RowFeed& operator=(const RowFeed&) = delete;
    virtual ~RowFeed() = default;

    /** All rows as of one moment. */
    [[nodiscard]] virtual Task<std::optional<Page>> readAll(FeedError& reason) = 0;
    /** Changes after the version, in order; waits at most this long for the first one. */
    [[nodiscard]] virtual Task<std::optional<Page>> changes(
        std::uint64_t since, std::chrono::milliseconds wait, FeedError& reason)
        = 0;
};

} // namespace chivewinch::watch
