#pragma once

#include "base/hash.hpp"
#include "delivery/message.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace chivewinch::delivery {

/** How the answer of an attempt relates to the part that the caller already has. */
enum class AnswerStart : std::uint8_t {
    Fresh, ///< The caller has no part of the answer yet.
    Resumed, ///< The target continues after the last delivered token.
    Replayed, ///< The target starts again; bytes that the caller has are checked and skipped.
};

enum class FrameVerdict : std::uint8_t {
    Accepted,
    Complete, ///< The final frame matches: the answer is complete.
    Foreign, ///< Belongs to another request, attempt or incarnation; dropped.
    Duplicate, ///< Sequence number already accepted; dropped.
    Gap, ///< After a missing frame, or before the head of a resumed attempt; dropped.
    AfterEnd, ///< The answer is already complete or broken; dropped.
    Incomplete, ///< Frame count, byte count or digest of the final frame does not match: the answer is broken.
    PrefixMismatch, ///< Replayed bytes differ from the delivered ones: the answer is broken.
    WrongStart, ///< The target starts at another token than requested: the answer is broken.
    Count
};

/** Settings of an AnswerChecker; each switch disables one check, for tests of that check. */
struct CheckerOptions {
    bool checkKey = true;
    bool checkSequence = true;
    bool checkFinal = true;
    bool checkPrefix = true;
    bool requireHead = true;

    bool operator==(const CheckerOptions&) const = default;
};

/**
 * Checks that the frames passed on to a caller are the complete answer to its request.
 * One checker serves all attempts of one request.
 */
class AnswerChecker {
public:
    struct Result {
        FrameVerdict verdict = FrameVerdict::Foreign;
        std::string_view forward; ///< Part of the payload that the caller does not have yet.
    };

    explicit AnswerChecker(CheckerOptions options = {});

    /** Opens an attempt in place of the previous one. A fresh start discards the progress of earlier attempts. */
    void open(const AttemptKey& key, AnswerStart start);
    /** Closes the open attempt; its later frames are dropped as foreign. */
    void close() noexcept;

    /** Checks the index of the first token of an attempt. The head of a resumed attempt must precede its frames. */
    FrameVerdict head(const AnswerHead& head);
    Result accept(const AnswerFrame& frame);
    FrameVerdict finish(const FinalFrame& frame);

    [[nodiscard]] bool complete() const noexcept { return this->state == State::Complete; }
    [[nodiscard]] bool broken() const noexcept { return this->state == State::Broken; }
    [[nodiscard]] const Progress& delivered() const noexcept { return this->progress; }
    /** Frames with the given verdict so far. */
    [[nodiscard]] std::uint64_t count(FrameVerdict verdict) const noexcept;

private:
    enum class State : std::uint8_t { Idle, Open, Complete, Broken };

    [[nodiscard]] std::optional<FrameVerdict> dropReason(const AttemptKey& key) const noexcept;
    FrameVerdict countVerdict(FrameVerdict verdict) noexcept;
    FrameVerdict markBroken(FrameVerdict verdict) noexcept;
    [[nodiscard]] std::optional<std::string_view> skipPrefix(std::string_view payload);
    void deliver(std::string_view bytes);

    CheckerOptions options;
    State state = State::Idle;
    AnswerStart start = AnswerStart::Fresh;
    AttemptKey key;
    std::uint64_t frames = 0;
    std::uint64_t bytes = 0;
    std::uint64_t tokens = 0;
    std::uint64_t skipBytes = 0;
    bool startVerified = false; ///< The frames start at the requested token and may be forwarded.
    Progress progress;
    base::StreamHash attemptHash;
    /** Hash of all delivered bytes; empty while attemptHash covers exactly the delivered bytes. */
    std::optional<base::StreamHash> deliveredHash;
    std::array<std::uint64_t, static_cast<std::size_t>(FrameVerdict::Count)> counts {};
};

[[nodiscard]] std::string_view toString(FrameVerdict verdict) noexcept;

} // namespace chivewinch::delivery
