#pragma once

#include "base/id.hpp"
#include "usage/chain_head.hpp"
#include "usage/key.hpp"
#include "usage/report.hpp"
#include "usage/totals.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chivewinch::usage {

/**
 * Totals of one hour, and the chain heads. The links of the heads are hashes that cover all segments of the totals.
 *
 * A reader needs only this object. The totals remain verifiable, because they can be recomputed from the segments.
 */
struct Summary {
    ProcessId writer;
    base::FencingNumber fencing {};
    WallMillis hour;
    Digest previous {}; ///< Link of the previous hour's summary, or zero if there is none.
    std::vector<ChainHead> heads;
    Split split;
    std::vector<std::string> findings; ///< Text form of the findings at the time of writing.

    bool operator==(const Summary&) const = default;
};

/** "usage/summary/<UTC hour>". */
[[nodiscard]] std::string summaryName(WallMillis hour);

/** Lines of a split that belong to one hour. */
[[nodiscard]] Split hourOfSplit(const Split& split, WallMillis hour);

[[nodiscard]] Summary summarise(const Report& report, WallMillis hour, const ProcessId& writer,
    base::FencingNumber fencing, const Digest& previous);

/** Encodes the summary and signs it with the key of the writer, which must be an entry. */
[[nodiscard]] std::string sealSummary(const Summary& summary, const SigningKey& key);

/**
 * Decodes a summary and checks its signature. Returns nullopt with ErrorCode::Malformed for bytes that are not a
 * summary, or with ErrorCode::BadSignature if no registered key of the writer signed them.
 */
[[nodiscard]] std::optional<Summary> readSummary(std::string_view bytes, const KeyList& keys, Error& reason);

} // namespace chivewinch::usage
