#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

namespace chivewinch::gateway {

/** What the head of a target's answer proves. */
enum class AnswerKind : std::uint8_t {
    Success, ///< The target's own success.
    Failure, ///< The target's own failure; it counts as run.
    NotRun, ///< The target states that it did not and will not run the request.
    Unproved, ///< A status that would promise "not run" to the caller, without the target's proof.
    Foreign, ///< Belongs to another request or is not the target's own answer.
};

struct AnswerHead {
    unsigned status = 0;
    std::string_view requestId; ///< As echoed by the target.
    bool hasSeal = false;
    bool statesNotRun = false;
    bool statesLeaving = false; ///< The target finishes its work and takes nothing new.
    std::optional<std::chrono::milliseconds> retryAfter; ///< The target wants no requests for this long.
    bool hasContentEncoding = false; ///< Callers ask for none, so the bytes are not the target's body.
};

/** Judges an answer to the request with this identity. */
[[nodiscard]] AnswerKind judge(const AnswerHead& head, std::string_view requestId) noexcept;

/** True for the statuses that promise the caller that its request has not run and never will. */
[[nodiscard]] bool promisesNotRun(unsigned status) noexcept;

[[nodiscard]] std::string_view toString(AnswerKind kind) noexcept;

} // namespace chivewinch::gateway
