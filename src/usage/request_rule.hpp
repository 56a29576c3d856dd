#pragma once

#include "usage/record.hpp"
#include "usage/totals.hpp"

#include <cstdint>
#include <vector>

namespace chivewinch::usage::internal {

/** Record with indexes into the dictionaries shared by all segments. It occupies one cache line. */
struct alignas(64) JoinItem {
    base::RequestId request;
    WallMillis issued;
    std::uint32_t number = 0;
    std::uint32_t subject = 0;
    std::uint32_t peer = 0;
    std::uint32_t segment = 0;
    std::uint32_t index = 0; ///< Index of the record in its segment.
    std::uint32_t promptTokens = 0; ///< If extended is true, index into Joiner::extendedCounts.
    std::uint32_t cachedTokens = 0;
    std::uint32_t generatedTokens = 0;
    RecordKind kind = RecordKind::Attempt;
    Result result = Result::Done;
    Side side = Side::Entry;
    bool extended = false; ///< Whether any count without a field here is non-zero.
};

/** Record of an attempt from one side, or empty. */
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

    /** The record that states the executed work: the agent's record if it exists, otherwise the entry's. */
    [[nodiscard]] const AttemptSide& executed() const noexcept { return this->agent ? this->agent : this->entry; }
};

/** How a request is counted. */
struct RequestOutcome {
    Result result = Result::Refused;
    const AttemptSide* final = nullptr; ///< Record that determines the subject, the hour and the billed work.
    bool fromAgent = false;
};

/**
 * The counting rule: determines the outcome of a request. Attempts must be in ascending order of their numbers.
 *
 * The entry's records take precedence. If the entry recorded no final result, an attempt that only the agent recorded,
 * and recorded as complete, determines the outcome.
 */
[[nodiscard]] RequestOutcome resolveOutcome(const std::vector<AttemptPair>& attempts, bool completeFromAgent) noexcept;

/** Amounts that the request adds to the totals of its subject and hour. */
[[nodiscard]] Totals totalsOf(const std::vector<AttemptPair>& attempts, const RequestOutcome& outcome) noexcept;

/** Reason why the two records of an attempt contradict each other, or nullptr if they are consistent. */
[[nodiscard]] const char* difference(const AttemptPair& attempt) noexcept;

} // namespace chivewinch::usage::internal
