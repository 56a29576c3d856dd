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
 * Totals of one hour with the chain heads that fix every segment they were computed from.
 *
 * Reading it costs one object; it stays verifiable, because the same segments must give the same totals.
 */
struct Summary {
    ProcessId writer;
    base::FencingNumber fencing {};
    WallMillis hour;
    Digest previous {}; ///< Link of the previous hour's summary; zero when there is none.
    std::vector<ChainHead> heads;
    Split split;
    std::vector<std::string> findings; ///< Text of the findings at the time of writing.

    bool operator==(const Summary&) const = default;
};

/** "usage/summary/<UTC hour>". */
[[nodiscard]] std::string summaryName(WallMillis hour);

/** Lines of a split that belong to one hour. */
[[nodiscard]] Split hourOfSplit(const Split& split, WallMillis hour);

[[nodiscard]] Summary summarise(const Report& report, WallMillis hour, const ProcessId& writer,
    base::FencingNumber fencing, const Digest& previous);

/** Stored form, signed with the key of the writer, which is an entry. */
[[nodiscard]] std::string sealSummary(const Summary& summary, const SigningKey& key);

/** Nullopt with ErrorCode::Malformed or ErrorCode::BadSignature unless a registered entry signed the bytes. */
[[nodiscard]] std::optional<Summary> readSummary(std::string_view bytes, const KeyList& keys, Error& reason);

} // namespace chivewinch::usage
