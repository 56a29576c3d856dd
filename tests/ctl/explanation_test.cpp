#include "ctl/explanation.hpp"

#include <gtest/gtest.h>

namespace chivewinch::ctl {

class ExplanationTest : public testing::Test {
protected:
    std::vector<logging::Line> lines;

    void add(int second, const std::string& instance, const std::string& rest)
    {
        auto line = logging::parseLine("time=2026-12-04T07:00:" + std::to_string(second)
            + ".000Z level=INFO instance=" + instance + " event=" + rest);
        ASSERT_TRUE(line) << rest;
        this->lines.push_back(std::move(*line));
    }

    std::string decidingSecond(const std::string& request)
    {
        const auto explanation = explain(request, this->lines);
        return explanation && explanation->deciding
            ? std::string { explanation->lines[*explanation->deciding].field("time").substr(17, 2) }
            : "";
    }
};

TEST_F(ExplanationTest, UnknownRequestHasNoExplanation)
{
    this->add(10, "e1", "request request=b outcome=done");
    EXPECT_FALSE(explain("a", this->lines));
}

TEST_F(ExplanationTest, CompletedRequestHasNoDecidingLine)
{
    this->add(10, "e1", "attempt_failed request=a not_run=true");
    this->add(11, "e1", "request request=a outcome=done reason=none");
    const auto explanation = explain("a", this->lines);
    ASSERT_TRUE(explanation);
    EXPECT_EQ(explanation->outcome, "done");
    EXPECT_FALSE(explanation->deciding);
}

// Guards against naming the last attempt, or an attempt that did not run, when another attempt decided the outcome.
TEST_F(ExplanationTest, PrefersAttemptThatMayHaveRun)
{
    this->add(10, "e1", "attempt_failed request=a attempt=1 not_run=true");
    this->add(11, "e1", "attempt_failed request=a attempt=2 not_run=false");
    this->add(12, "e1", "request request=a outcome=unknown reason=attempt_failed");
    EXPECT_EQ(this->decidingSecond("a"), "11");
}

TEST_F(ExplanationTest, RefusalWithoutAttemptIsDeciding)
{
    this->add(12, "e1", "request request=a outcome=not-run reason=queue_deadline");
    EXPECT_EQ(this->decidingSecond("a"), "12");
}

// Guards against an explanation that omits the state of the process, or includes the state of other processes or of a
// later time.
TEST_F(ExplanationTest, ShowsTheNewestStateOfTheProcess)
{
    this->add(10, "e1", "store_contact table=op state=lost");
    this->add(11, "e1", "store_contact table=op state=regained");
    this->add(12, "e1", "store_contact table=servers state=lost");
    this->add(12, "e2", "drain");
    this->add(13, "e1", "request request=b outcome=done");
    this->add(14, "e1", "request request=a outcome=cut reason=attempt_failed");
    this->add(15, "e1", "store_contact table=op state=lost");
    const auto explanation = explain("a", this->lines);
    ASSERT_TRUE(explanation);
    std::string times;
    for (const auto& line : explanation->lines)
        times += std::string { line.field("time").substr(17, 2) } + " ";
    EXPECT_EQ(times, "11 12 14 ");
}

// Guards against a refusal that cannot be explained, because the limit was stated in the answer to another request.
TEST_F(ExplanationTest, ShowsWhatTargetsStatedInAnswersToOtherRequests)
{
    this->add(10, "e1", "target_limit request=b target=t1 change=named limit=1");
    this->add(11, "e1", "target_limit request=c target=t2 change=named limit=2");
    this->add(12, "e1", "target_limit request=b target=t1 change=changed limit=3");
    this->add(13, "e2", "target_limit request=d target=t1 change=ended");
    this->add(14, "e1", "request request=b outcome=done");
    this->add(15, "e1", "request request=a outcome=not-run reason=target_limit");
    const auto explanation = explain("a", this->lines);
    ASSERT_TRUE(explanation);
    std::string times;
    for (const auto& line : explanation->lines)
        times += std::string { line.field("time").substr(17, 2) } + " ";
    EXPECT_EQ(times, "11 12 15 ");
    EXPECT_EQ(this->decidingSecond("a"), "15");
}

// Guards against showing the lines of several logs in the order of the files instead of by time.
TEST_F(ExplanationTest, OrdersLinesOfSeveralProcessesByTime)
{
    this->add(12, "e1", "request_ended request=a outcome=cut reason=attempt_failed");
    this->add(11, "agent", "attempt_ended request=a outcome=failed");
    const auto explanation = explain("a", this->lines);
    ASSERT_TRUE(explanation);
    EXPECT_EQ(explanation->lines.front().field("instance"), "agent");
    EXPECT_EQ(explanation->deciding, 0U);
}

} // namespace chivewinch::ctl
