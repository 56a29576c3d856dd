#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

namespace chivewinch::gateway {

/** Classification of an answer by its status and header fields. */
enum class AnswerKind : std::uint8_t {
    Success, ///< Success, sent by the target itself.
    Failure, ///< Failure, sent by the target itself; the request counts as run.
    NotRun, ///< The target states that it has not run the request and will not run it.
    Unproved, ///< The status means "not run" to the caller, but the target does not state this.
    Foreign, ///< Answer to another request, or not sent by the target itself.
};

struct AnswerHead {
    unsigned status = 0;
    std::string_view requestId; ///< As echoed by the target.
    bool isOnKeptConnection = false; ///< A faulty target may have answered an earlier request once more.
    bool hasSeal = false;
    bool statesNotRun = false;
    std::string_view faultyTarget; ///< Address of the target that kept this one from running the request.
    bool statesLeaving = false; ///< The target finishes its open requests and accepts no new ones.
    std::optional<std::string_view> requestLimit; ///< As stated by the target; may be invalid.
    std::optional<std::chrono::milliseconds> retryAfter; ///< The target asks for no requests during this time.
    /** Callers request no encoding, so an encoded body was not sent by the target itself. */
    bool hasContentEncoding = false;
};

/** Classifies an answer to the request with the given ID. */
[[nodiscard]] AnswerKind classifyAnswer(const AnswerHead& head, std::string_view requestId) noexcept;

/** True for the status codes that tell the caller that its request has not run and will never run. */
[[nodiscard]] bool impliesNotRun(unsigned status) noexcept;

[[nodiscard]] std::string_view toString(AnswerKind kind) noexcept;

} // namespace chivewinch::gateway
