#include "delivery/answer_checker.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

namespace chivewinch::delivery {

namespace internal {

constexpr AttemptKey openKey { .attempt = { .request = { .high = 1, .low = 1 }, .number = 1 },
    .incarnation = base::Incarnation { 1 } };

/** Reference implementation that decides after all frames were received. */
bool isCompleteByReference(const std::vector<AnswerFrame>& received, const FinalFrame& final)
{
    std::uint64_t next = 0;
    std::string bytes;
    for (const auto& frame : received)
        if (frame.key == openKey && frame.sequence == next) {
            ++next;
            bytes += frame.payload;
        }
    return next == final.frames && bytes.size() == final.bytes && base::hash64(bytes) == final.digest;
}

FinalFrame finalOf(const std::vector<std::string>& payloads)
{
    std::string whole;
    for (const auto& payload : payloads)
        whole += payload;
    return { .key = openKey, .frames = payloads.size(), .bytes = whole.size(), .digest = base::hash64(whole) };
}

} // namespace internal

// Guards against a wrong verdict under any order, repetition, loss and mixture of frames.
RC_GTEST_PROP(AnswerCheckerTest, AgreesWithReferenceChecker, (std::vector<std::string> payloads))
{
    const auto final = internal::finalOf(payloads);
    std::vector<AnswerFrame> received;
    const auto inOrder = *rc::gen::arbitrary<bool>();
    for (std::size_t i = 0; i < payloads.size(); ++i) {
        const auto pick = inOrder ? i : *rc::gen::inRange<std::size_t>(0, payloads.size());
        AnswerFrame frame { .key = internal::openKey, .sequence = pick, .payload = payloads[pick], .tokens = 1 };
        if (*rc::gen::inRange(0, 10) == 0)
            received.push_back(frame);
        received.push_back(frame);
        frame.key.attempt.number += *rc::gen::inRange(0, 2);
        frame.key.incarnation = static_cast<base::Incarnation>(*rc::gen::inRange(1, 3));
        if (frame.key != internal::openKey)
            received.push_back(frame);
    }
    AnswerChecker checker;
    checker.open(internal::openKey, AnswerStart::Fresh);
    std::string forwarded;
    for (const auto& frame : received)
        forwarded += checker.accept(frame).forward;
    const bool complete = checker.finish(final) == FrameVerdict::Complete;
    RC_ASSERT(complete == internal::isCompleteByReference(received, final));
    RC_ASSERT(checker.complete() == complete);
    RC_ASSERT(!complete || base::hash64(forwarded) == final.digest);
}

// Guards against repeated or missing bytes when a stream is cut anywhere and replayed with other frame boundaries.
RC_GTEST_PROP(AnswerCheckerTest, ReplayContinuesAfterDeliveredBytes, (const std::string& answer))
{
    const auto cut = *rc::gen::inRange<std::size_t>(0, answer.size() + 1);
    const auto step = *rc::gen::inRange<std::size_t>(1, 5);
    const std::string_view whole { answer };
    auto second = internal::openKey;
    second.attempt.number = 2;
    AnswerChecker checker;
    checker.open(internal::openKey, AnswerStart::Fresh);
    std::string forwarded { checker.accept({ .key = internal::openKey, .payload = whole.substr(0, cut) }).forward };
    checker.open(second, AnswerStart::Replayed);
    std::uint64_t sequence = 0;
    for (std::size_t from = 0; from < whole.size(); from += step)
        forwarded
            += checker.accept({ .key = second, .sequence = sequence++, .payload = whole.substr(from, step) }).forward;
    RC_ASSERT(forwarded == answer);
    RC_ASSERT(
        checker.finish({ .key = second, .frames = sequence, .bytes = whole.size(), .digest = base::hash64(whole) })
        == FrameVerdict::Complete);
}

// Guards against a connection that is reused after a time-out and still carries the older attempt's answer.
TEST(AnswerCheckerTest, DropsFramesOfAnOlderAttemptOnTheSameConnection)
{
    auto second = internal::openKey;
    second.attempt.number = 2;
    AnswerChecker checker;
    checker.open(internal::openKey, AnswerStart::Fresh);
    checker.open(second, AnswerStart::Fresh);
    EXPECT_EQ(checker.accept({ .key = internal::openKey, .payload = "old" }).verdict, FrameVerdict::Foreign);
    EXPECT_EQ(checker.finish({ .key = internal::openKey, .digest = base::hash64("") }), FrameVerdict::Foreign);
    EXPECT_EQ(checker.count(FrameVerdict::Foreign), 2U);
    EXPECT_FALSE(checker.complete());
}

// Guards against an answer that ends without its final frame and is passed on as complete.
TEST(AnswerCheckerTest, IsIncompleteWithoutFinalFrame)
{
    AnswerChecker checker;
    checker.open(internal::openKey, AnswerStart::Fresh);
    EXPECT_EQ(checker.accept({ .key = internal::openKey, .payload = "all" }).verdict, FrameVerdict::Accepted);
    EXPECT_FALSE(checker.complete());
    checker.close();
    EXPECT_EQ(checker.finish(internal::finalOf({ "all" })), FrameVerdict::Foreign);
}

// Guards against a replay that ends before the part that the caller already has.
TEST(AnswerCheckerTest, ReplayShorterThanDeliveredPartIsIncomplete)
{
    auto second = internal::openKey;
    second.attempt.number = 2;
    AnswerChecker checker;
    checker.open(internal::openKey, AnswerStart::Fresh);
    (void)checker.accept({ .key = internal::openKey, .payload = "abc" });
    checker.open(second, AnswerStart::Replayed);
    (void)checker.accept({ .key = second, .payload = "ab" });
    EXPECT_EQ(checker.finish({ .key = second, .frames = 1, .bytes = 2, .digest = base::hash64("ab") }),
        FrameVerdict::Incomplete);
    EXPECT_TRUE(checker.broken());
}

} // namespace chivewinch::delivery
