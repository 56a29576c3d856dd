#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace chivewinch::usage {

enum class FindingKind : std::uint8_t {
    Malformed, ///< The object cannot be decoded or is not in its canonical encoding.
    BadSignature, ///< Altered, or signed with a key that is not registered for the instance and side.
    WrongName, ///< The name of the object does not match its header.
    Fork, ///< Two objects have the same segment number in one chain.
    BrokenLink, ///< The segment does not continue the previous segment of its chain.
    MissingSegment, ///< Segment numbers are missing in a chain.
    MissingChain, ///< Another object refers to this incarnation, but it has no valid segment.
    OpenEnd, ///< No closing segment; missing records are taken from the other side.
    PossibleLoss, ///< An entry and an agent may both have lost the record of the same answer.
    DoubleCount, ///< An attempt was recorded twice; it is counted once.
    Mismatch, ///< Entry and agent recorded different values for one attempt.
    MissingOnEntry, ///< Only the agent recorded the attempt, although the entry's chain covers it.
    MissingOnAgent, ///< Only the entry recorded the answer, although the agent's chain covers it.
    SummaryMismatch, ///< A summary differs from the result computed from its segments.
    Count
};

/** Location of the record or segment that a finding refers to. */
struct FindingPlace {
    std::string segment; ///< Object name, or process identity if there is no object.
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

/** Whether the totals may be wrong. False only for an open end, whose records are taken from the other side. */
[[nodiscard]] bool isDefect(FindingKind kind) noexcept;
[[nodiscard]] std::string_view toString(FindingKind kind) noexcept;
/** "usage/segment/...#12". */
[[nodiscard]] std::string toString(const FindingPlace& place);
/** One line with kind, places and detail. */
[[nodiscard]] std::string toString(const Finding& finding);

} // namespace chivewinch::usage
