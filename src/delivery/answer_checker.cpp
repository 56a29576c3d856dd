#include "delivery/answer_checker.hpp"

#include <algorithm>
#include <utility>

namespace chivewinch::delivery {

AnswerChecker::AnswerChecker(CheckerOptions options)
    : options { options }
{
}

void AnswerChecker::open(const AttemptKey& newKey, AnswerStart newStart)
{
    if (newStart == AnswerStart::Fresh) {
        this->deliveredHash.reset();
        this->progress = {};
    } else if (!this->deliveredHash) {
        this->deliveredHash = std::move(this->attemptHash);
    }
    this->attemptHash = base::StreamHash {};
    this->key = newKey;
    this->start = newStart;
    this->state = State::Open;
    this->frames = 0;
    this->bytes = 0;
    this->tokens = newStart == AnswerStart::Resumed ? this->progress.tokens : 0;
    this->startVerified = newStart != AnswerStart::Resumed || !this->options.requireHead;
    this->skipBytes = newStart == AnswerStart::Replayed ? this->progress.bytes : 0;
    if (newStart == AnswerStart::Replayed && this->skipBytes == 0)
        this->deliveredHash.reset();
}

void AnswerChecker::close() noexcept
{
    if (this->state == State::Open)
        this->state = State::Idle;
}

std::optional<FrameVerdict> AnswerChecker::dropReason(const AttemptKey& other) const noexcept
{
    if (this->options.checkKey && other != this->key)
        return FrameVerdict::Foreign;
    if (this->state == State::Complete || this->state == State::Broken)
        return FrameVerdict::AfterEnd;
    if (this->state == State::Idle)
        return FrameVerdict::Foreign;
    return std::nullopt;
}

FrameVerdict AnswerChecker::countVerdict(FrameVerdict verdict) noexcept
{
    ++this->counts[static_cast<std::size_t>(verdict)];
    return verdict;
}

FrameVerdict AnswerChecker::markBroken(FrameVerdict verdict) noexcept
{
    this->state = State::Broken;
    return this->countVerdict(verdict);
}

FrameVerdict AnswerChecker::head(const AnswerHead& head)
{
    if (const auto reason = this->dropReason(head.key))
        return this->countVerdict(*reason);
    const auto expected = this->start == AnswerStart::Resumed ? this->progress.tokens : 0;
    if (this->frames == 0 && head.fromToken != expected)
        return this->markBroken(FrameVerdict::WrongStart);
    this->startVerified = true;
    return this->countVerdict(FrameVerdict::Accepted);
}

AnswerChecker::Result AnswerChecker::accept(const AnswerFrame& frame)
{
    if (const auto reason = this->dropReason(frame.key))
        return { .verdict = this->countVerdict(*reason), .forward = {} };
    if (this->options.checkSequence && frame.sequence != this->frames) {
        const auto verdict = frame.sequence < this->frames ? FrameVerdict::Duplicate : FrameVerdict::Gap;
        return { .verdict = this->countVerdict(verdict), .forward = {} };
    }
    if (!this->startVerified)
        return { .verdict = this->countVerdict(FrameVerdict::Gap), .forward = {} };
    const auto forward = this->skipPrefix(frame.payload);
    if (!forward)
        return { .verdict = this->markBroken(FrameVerdict::PrefixMismatch), .forward = {} };
    ++this->frames;
    this->bytes += frame.payload.size();
    this->tokens += frame.tokens;
    if (this->bytes >= this->skipBytes)
        this->deliver(*forward);
    return { .verdict = this->countVerdict(FrameVerdict::Accepted), .forward = *forward };
}

std::optional<std::string_view> AnswerChecker::skipPrefix(std::string_view payload)
{
    if (this->bytes >= this->skipBytes) {
        this->attemptHash.update(payload);
        return payload;
    }
    const auto skipped = payload.substr(0, std::min<std::uint64_t>(payload.size(), this->skipBytes - this->bytes));
    this->attemptHash.update(skipped);
    if (this->bytes + skipped.size() < this->skipBytes)
        return std::string_view {};
    if (this->options.checkPrefix && this->attemptHash.digest() != this->deliveredHash->digest())
        return std::nullopt;
    this->deliveredHash.reset();
    const auto rest = payload.substr(skipped.size());
    this->attemptHash.update(rest);
    return rest;
}

void AnswerChecker::deliver(std::string_view forward)
{
    if (this->deliveredHash)
        this->deliveredHash->update(forward);
    this->progress.bytes += forward.size();
    this->progress.tokens = this->tokens;
}

FrameVerdict AnswerChecker::finish(const FinalFrame& frame)
{
    if (const auto reason = this->dropReason(frame.key))
        return this->countVerdict(*reason);
    const bool matches = frame.frames == this->frames && frame.bytes == this->bytes
        && frame.digest == this->attemptHash.digest() && this->bytes >= this->skipBytes;
    if (this->options.checkFinal && !matches)
        return this->markBroken(FrameVerdict::Incomplete);
    this->state = State::Complete;
    return this->countVerdict(FrameVerdict::Complete);
}

std::uint64_t AnswerChecker::count(FrameVerdict verdict) const noexcept
{
    return this->counts[static_cast<std::size_t>(verdict)];
}

std::string_view toString(FrameVerdict verdict) noexcept
{
    constexpr std::array<std::string_view, static_cast<std::size_t>(FrameVerdict::Count)> names { "accepted",
        "complete", "foreign", "duplicate", "gap", "after_end", "incomplete", "prefix_mismatch", "wrong_start" };
    const auto index = static_cast<std::size_t>(verdict);
    return index < names.size() ? names[index] : std::string_view { "invalid" };
}

} // namespace chivewinch::delivery
