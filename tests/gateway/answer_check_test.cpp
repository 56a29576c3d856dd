#include "gateway/answer_check.hpp"

#include <gtest/gtest.h>

namespace chivewinch::gateway {
namespace {

TEST(AnswerCheck, AcceptsTheTargetsOwnAnswers)
{
    EXPECT_EQ(classifyAnswer({ .status = 200, .requestId = "a", .hasSeal = true }, "a"), AnswerKind::Success);
    EXPECT_EQ(classifyAnswer({ .status = 500, .requestId = "a", .hasSeal = true }, "a"), AnswerKind::Failure);
    EXPECT_EQ(classifyAnswer({ .status = 504, .requestId = "a" }, "a"), AnswerKind::Failure);
}

// Guards against relaying an answer to another request, or bytes that are not an answer, to the caller as a success.
TEST(AnswerCheck, RefusesForeignAnswers)
{
    EXPECT_EQ(classifyAnswer({ .status = 200, .requestId = "b", .hasSeal = true }, "a"), AnswerKind::Foreign);
    EXPECT_EQ(classifyAnswer({ .status = 200, .requestId = "", .hasSeal = true }, "a"), AnswerKind::Foreign);
    EXPECT_EQ(classifyAnswer({ .status = 200, .requestId = "a" }, "a"), AnswerKind::Foreign);
    EXPECT_EQ(classifyAnswer({ .status = 200, .requestId = "a", .hasSeal = true, .hasContentEncoding = true }, "a"),
        AnswerKind::Foreign);
    EXPECT_EQ(classifyAnswer({ .status = 101, .requestId = "a" }, "a"), AnswerKind::Foreign);
}

// Guards against reporting "not run" to the caller when the target has not stated it.
TEST(AnswerCheck, AcceptsNotRunOnlyWithProof)
{
    EXPECT_EQ(classifyAnswer({ .status = 503, .requestId = "a", .statesNotRun = true }, "a"), AnswerKind::NotRun);
    EXPECT_EQ(classifyAnswer({ .status = 421, .requestId = "a" }, "a"), AnswerKind::NotRun);
    EXPECT_EQ(classifyAnswer({ .status = 421 }, "a"), AnswerKind::NotRun);
    EXPECT_EQ(classifyAnswer({ .status = 421, .requestId = "b" }, "a"), AnswerKind::Foreign);
    EXPECT_EQ(classifyAnswer({ .status = 421, .isOnKeptConnection = true }, "a"), AnswerKind::Foreign);
    EXPECT_EQ(classifyAnswer({ .status = 421, .requestId = "a", .isOnKeptConnection = true }, "a"), AnswerKind::NotRun);
    for (const unsigned status : { 408U, 429U, 503U })
        EXPECT_EQ(classifyAnswer({ .status = status, .requestId = "a" }, "a"), AnswerKind::Unproved) << status;
    EXPECT_EQ(classifyAnswer({ .status = 503, .requestId = "b", .statesNotRun = true }, "a"), AnswerKind::Foreign);
    EXPECT_EQ(classifyAnswer({ .status = 200, .requestId = "a", .statesNotRun = true }, "a"), AnswerKind::Foreign);
}

} // namespace
} // namespace chivewinch::gateway
