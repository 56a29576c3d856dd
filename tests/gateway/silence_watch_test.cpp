#include "gateway/silence_watch.hpp"

#include <gtest/gtest.h>

namespace chivewinch::gateway {
namespace {

using namespace std::chrono_literals;

class SilenceWatchTest : public testing::Test {
protected:
    SilenceWatch watch;
    base::SteadyTime start { 1h };

    void addRun(std::chrono::milliseconds givenUp)
    {
        this->watch.add(
            { .fingerprint = 1, .target = "t", .lastAnswer = this->start, .givenUp = this->start + givenUp });
    }
};

// Guards against a request whose targets fall silent and that is sent to more and more of them.
TEST_F(SilenceWatchTest, FindsATargetThatAnswersNothing)
{
    this->addRun(400ms);
    EXPECT_TRUE(this->watch.takeConfirmed(this->start + 900ms).empty());
    EXPECT_EQ(this->watch.takeConfirmed(this->start + 1s).size(), 1U);
    EXPECT_TRUE(this->watch.takeConfirmed(this->start + 2s).empty());
}

// Guards against a lost answer, or a slow run, that counts as a crash although the target answers others.
TEST_F(SilenceWatchTest, ATargetThatAnswersLaterIsNotSilent)
{
    this->addRun(400ms);
    this->watch.recordAnswer("t", this->start + 600ms);
    EXPECT_TRUE(this->watch.takeConfirmed(this->start + 5s).empty());
}

// Guards against a target that counts as alive because it answered another request just before it fell silent.
TEST_F(SilenceWatchTest, CountsTheSilenceFromTheLastAnswerToAnyRequest)
{
    this->watch.recordAnswer("t", this->start + 300ms);
    this->addRun(400ms);
    EXPECT_TRUE(this->watch.takeConfirmed(this->start + 1'200ms).empty());
    EXPECT_EQ(this->watch.takeConfirmed(this->start + 1'300ms).size(), 1U);
}

} // namespace
} // namespace chivewinch::gateway
