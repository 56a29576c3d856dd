#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace chivewinch::usage {

enum class FindingKind : std::uint8_t {
    Malformed, ///< The object is not a segment or not in its canonical form.
    BadSignature, ///< Altered, or signed by a key that is not registered for the instance and side.
    WrongName, ///< The object is stored under another name than its header states.
    Fork, ///< Two different segments have one place in a chain.
    BrokenLink, ///< The segment does not continue the one before it.
    MissingSegment, ///< Numbers are missing in a chain.
    MissingChain, ///< Another process names this life of an instance, but it left no segment.
    OpenEnd, ///< The chain ends without a closing segment; the other sides complete it.
    PossibleLoss, ///< An entry and an agent may both have lost the record of one answer.
    DoubleCount, ///< One attempt is recorded twice; it is counted once.
    Mismatch, ///< Entry and agent recorded different values for one attempt.
    MissingOnEntry, ///< Only the agent recorded the attempt, although the entry's chain covers it.
    MissingOnAgent, ///< Only the entry recorded the answer, although the agent's chain covers it.
    SummaryMismatch, ///< A summary differs from what its segments give.
    Count
};

/** Place of a record or segment that a finding is about. */
struct FindingPlace {
    std::string segment; ///< Object name, or process when there is no object.
    std::optional<std::size_t> record; ///< Index from 0.

    auto operator<=>(const FindingPlace&) const = default;
};

struct Finding {
    FindingKind kind = FindingKind::Malformed;
    FindingPlace place;
    FindingPlace other;
    std::string detail;

    auto operator<=>(const Finding&) const = default;
};

/** Whether the finding calls the totals into question. An open end does not: it is completed from the other side. */
[[nodiscard]] bool isDefect(FindingKind kind) noexcept;
[[nodiscard]] std::string_view toString(FindingKind kind) noexcept;
/** "usage/segment/...#12". */
[[nodiscard]] std::string toString(const FindingPlace& place);
/** One line with kind, places and detail. */
[[nodiscard]] std::string toString(const Finding& finding);

} // namespace chivewinch::usage
