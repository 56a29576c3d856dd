#pragma once

#include "base/clock.hpp"
#include "base/id.hpp"

#include <chrono>
#include <compare>
#include <cstdint>
#include <string_view>

namespace chivewinch::delivery {

/** Id of an attempt and incarnation of its agent; a restarted agent at the same address has another incarnation. */
struct AttemptKey {
    base::AttemptId attempt;
    base::Incarnation incarnation {};

    auto operator<=>(const AttemptKey&) const = default;
};

/** Data of an attempt that the gate checks before the attempt runs. */
struct AttemptStart {
    AttemptKey key;
    base::WallTime issued; ///< Wall time at which the entry issued the attempt; the same in every copy.
    std::chrono::nanoseconds lifetime {}; ///< A copy that arrives more than this time after its issue time is refused.
    std::chrono::nanoseconds remaining {}; ///< Time from issue to the deadline of the caller.
    std::uint64_t fingerprint = 0;

    bool operator==(const AttemptStart&) const = default;
};

struct CancelRequest {
    AttemptKey key;
    base::WallTime issued; ///< Issue time in the AttemptStart of the attempt to cancel.

    bool operator==(const CancelRequest&) const = default;
};

struct AnswerHead {
    AttemptKey key;
    std::uint64_t fromToken = 0; ///< First token that the target generates in this attempt.

    bool operator==(const AnswerHead&) const = default;
};

/** Part of an answer; the payload is not owned. */
struct AnswerFrame {
    AttemptKey key;
    std::uint64_t sequence = 0; ///< Starts at 0 in each attempt.
    std::string_view payload;
    std::uint32_t tokens = 0;

    bool operator==(const AnswerFrame&) const = default;
};

/** Last frame of a complete answer. */
struct FinalFrame {
    AttemptKey key;
    std::uint64_t frames = 0;
    std::uint64_t bytes = 0;
    std::uint64_t digest = 0; ///< XXH3 of all payload bytes of the attempt.

    bool operator==(const FinalFrame&) const = default;
};

/** What the caller has received so far, over all attempts. */
struct Progress {
    std::uint64_t tokens = 0;
    std::uint64_t bytes = 0;

    bool operator==(const Progress&) const = default;
};

} // namespace chivewinch::delivery
