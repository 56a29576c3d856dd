#include "routing/admission_queue.hpp"

#include <gtest/gtest.h>

namespace chivewinch::routing {

using namespace std::chrono_literals;
using base::RefusalReason;

class AdmissionQueueTest : public testing::Test {
protected:
    base::ManualClock clock;
    std::uint64_t lastId = 0;

    RefusalReason offer(AdmissionQueue& queue, const char* owner, int priority, std::chrono::nanoseconds timeout)
    {
        return queue.offer({ .id = { .high = 0, .low = ++this->lastId },
                               .owner = owner,
                               .priority = static_cast<std::uint8_t>(priority),
                               .deadline = this->clock.now() + timeout },
            this->clock.now());
    }

    /** Serves one request per interval while the queue is never empty, so that the queue learns its rate. */
    void warmUp(AdmissionQueue& queue, std::chrono::nanoseconds interval)
    {
        for (int i = 0; i < 100; ++i) {
            ASSERT_EQ(this->offer(queue, "warm", 7, 1h), RefusalReason::None);
            this->clock.advance(interval);
            queue.served(this->clock.now());
            queue.pop(this->clock.now());
        }
    }
};

// Guards against high-priority requests that wait behind low-priority ones.
TEST_F(AdmissionQueueTest, StartsByPriorityThenArrival)
{
    for (const bool usePriorities : { true, false }) {
        AdmissionQueue queue { { .usePriorities = usePriorities } };
        for (const int priority : { 0, 3, 0, 3 })
            ASSERT_EQ(this->offer(queue, "a", priority, 1s), RefusalReason::None);
        std::vector<std::uint64_t> order;
        for (; queue.front() != nullptr; queue.pop(this->clock.now()))
            order.push_back(queue.front()->id.low - this->lastId + 4);
        EXPECT_EQ(order,
            usePriorities ? (std::vector<std::uint64_t> { 2, 4, 1, 3 }) : (std::vector<std::uint64_t> { 1, 2, 3, 4 }));
    }
}

// Guards against an owner that takes all capacity by sending more requests or using only the highest priority.
TEST_F(AdmissionQueueTest, DividesStartsByOwnerWeight)
{
    for (const bool fairOwners : { true, false }) {
        AdmissionQueue queue { { .fairOwners = fairOwners, .ownerWeights = { { "a", 1 }, { "b", 2 } } } };
        for (int i = 0; i < 900; ++i)
            ASSERT_EQ(this->offer(queue, "a", 7, 1s), RefusalReason::None);
        for (int i = 0; i < 300; ++i)
            ASSERT_EQ(this->offer(queue, "b", 0, 1s), RefusalReason::None);
        int startedB = 0;
        for (int i = 0; i < 300; ++i) {
            startedB += queue.front()->owner == "b" ? 1 : 0;
            queue.pop(this->clock.now());
        }
        EXPECT_NEAR(startedB, fairOwners ? 200 : 0, 1);
    }
}

// Guards against requests that cannot start in time and are refused only at their deadline instead of on arrival.
TEST_F(AdmissionQueueTest, RefusesRequestThatCannotMeetDeadline)
{
    for (const bool checkDeadlines : { true, false }) {
        AdmissionQueue queue { { .checkDeadlines = checkDeadlines } };
        this->warmUp(queue, 10ms);
        for (int i = 0; i < 10; ++i)
            ASSERT_EQ(this->offer(queue, "warm", 0, 1h), RefusalReason::None);
        EXPECT_EQ(
            this->offer(queue, "warm", 0, 50ms), checkDeadlines ? RefusalReason::QueueDeadline : RefusalReason::None);
        EXPECT_EQ(this->offer(queue, "warm", 7, 50ms), RefusalReason::None);
        EXPECT_EQ(this->offer(queue, "warm", 0, 0ms), RefusalReason::DeadlinePassed);
    }
}

// Guards against requests that stay queued although later requests with higher priorities delay them past their
// deadline.
TEST_F(AdmissionQueueTest, ExpiresRequestsDelayedByHigherPriorities)
{
    AdmissionQueue queue;
    this->warmUp(queue, 10ms);
    ASSERT_EQ(this->offer(queue, "warm", 0, 50ms), RefusalReason::None);
    EXPECT_TRUE(queue.expire(this->clock.now()).empty());
    for (int i = 0; i < 10; ++i)
        ASSERT_EQ(this->offer(queue, "warm", 7, 1h), RefusalReason::None);
    const auto expired = queue.expire(this->clock.now());
    ASSERT_EQ(expired.size(), 1U);
    EXPECT_EQ(expired[0].priority, 0);
    EXPECT_EQ(queue.size(), 10U);
}

// Guards against a low request rate that is mistaken for a low capacity of the pool.
TEST_F(AdmissionQueueTest, AdmitsRequestsAtLowLoad)
{
    AdmissionQueue queue;
    for (int i = 0; i < 5; ++i) {
        this->clock.advance(1s);
        queue.served(this->clock.now());
    }
    for (int i = 0; i < 20; ++i)
        EXPECT_EQ(this->offer(queue, "a", 0, 100ms), RefusalReason::None);
}

TEST_F(AdmissionQueueTest, BoundsSizeAndRemovesCancelledRequests)
{
    AdmissionQueue queue { { .maxSize = 2 } };
    ASSERT_EQ(this->offer(queue, "a", 0, 1s), RefusalReason::None);
    ASSERT_EQ(this->offer(queue, "a", 0, 1s), RefusalReason::None);
    EXPECT_EQ(this->offer(queue, "a", 0, 1s), RefusalReason::Overload);
    EXPECT_TRUE(queue.cancel({ .high = 0, .low = 1 }, this->clock.now()));
    EXPECT_FALSE(queue.cancel({ .high = 0, .low = 1 }, this->clock.now()));
    EXPECT_EQ(queue.size(), 1U);
    EXPECT_EQ(queue.front()->id.low, 2U);
}

} // namespace chivewinch::routing
