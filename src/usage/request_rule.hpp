#pragma once

#include "usage/record.hpp"
#include "usage/totals.hpp"

#include <cstdint>
#include <vector>

namespace chivewinch::usage::internal {

/** Record with indexes that are valid over all segments, in one cache line. */
struct alignas(64) JoinItem {
    base::RequestId request;
    WallMillis issued;
    std::uint32_t number = 0;
    std::uint32_t subject = 0;
    std::uint32_t peer = 0;
    std::uint32_t segment = 0;
    std::uint32_t index = 0; ///< Index of the record in its segment.
    std::uint32_t promptTokens = 0; ///< Index of the counts when they are rare.
    std::uint32_t cachedTokens = 0;
    std::uint32_t generatedTokens = 0;
    RecordKind kind = RecordKind::Attempt;
    Result result = Result::Done;
    Side side = Side::Entry;
    bool rare = false; ///< Counts other than the three above are not zero.
};

/** What one side recorded for an attempt. */
struct AttemptSide {
    const JoinItem* item = nullptr;
    Counts counts;
    std::uint32_t process = 0;

    [[nodiscard]] explicit operator bool() const noexcept { return this->item != nullptr; }
};

/** Records of one attempt from both sides. */
struct AttemptPair {
    AttemptSide entry;
    AttemptSide agent;

    /** The record that states what ran: the agent's where it exists. */
    [[nodiscard]] const AttemptSide& ran() const noexcept { return this->agent ? this->agent : this->entry; }
};

/** How a request counts. */
struct RequestVerdict {
    Result result = Result::Refused;
    const AttemptSide* final = nullptr; ///< Decides subject, hour and billed work.
    bool fromAgent = false;
};

/**
 * The counting rule. Attempts are in the order of their numbers.
 *
 * The entry's records outrank the agent's; the agent's complete them where the entry recorded nothing.
 */
[[nodiscard]] RequestVerdict judge(const std::vector<AttemptPair>& attempts, bool completeFromAgent) noexcept;

/** What the request adds to the totals of its subject and hour. */
[[nodiscard]] Totals totalsOf(const std::vector<AttemptPair>& attempts, const RequestVerdict& verdict) noexcept;

/** Why the two records of an attempt cannot both be true; nullptr when they can. */
[[nodiscard]] const char* difference(const AttemptPair& attempt) noexcept;

} // namespace chivewinch::usage::internal
