#include "base/random.hpp"
#include "routing/admission_queue.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <iostream>
#include <string>
#include <vector>

namespace chivewinch::routing {

using namespace std::chrono_literals;

namespace {

/** Compares a queue with a plain list under random operations. Stops at the first violated rule. */
class QueueSchedule {
public:
    QueueSchedule(std::uint64_t seed, bool usePriorities)
        : random { seed }
        , queue { { .usePriorities = usePriorities, .ownerWeights = { { "a", 1 }, { "b", 3 } } } }
    {
    }

    const char* run()
    {
        for (int step = 0; step < 200 && this->violation == nullptr; ++step) {
            this->now += std::chrono::milliseconds { this->random.below(20) };
            this->runStep();
            this->require(this->queue.size() == this->waiting.size(), "a request was lost or duplicated");
        }
        return this->violation;
    }

private:
    base::SeededRandom random;
    AdmissionQueue queue;
    std::vector<QueuedRequest> waiting; ///< In the order of arrival.
    base::SteadyTime now { 1000s };
    std::uint64_t lastId = 0;
    const char* violation = nullptr;

    void require(bool holds, const char* rule)
    {
        if (!holds && this->violation == nullptr)
            this->violation = rule;
    }

    void runStep()
    {
        const auto action = this->random.below(10);
        if (action < 5)
            this->offer();
        else if (action < 8)
            this->start();
        else if (action == 8)
            this->expire();
        else if (!this->waiting.empty())
            this->remove(this->waiting[this->random.below(this->waiting.size())].id, true);
    }

    void offer()
    {
        const QueuedRequest request { .id = { .high = 0, .low = ++this->lastId },
            .owner = this->random.below(2) == 0 ? "a" : "b",
            .priority = static_cast<std::uint8_t>(this->random.below(8)),
            .deadline = this->now + std::chrono::milliseconds { this->random.below(500) } };
        const auto wait = this->queue.expectedWait(request.owner, request.priority, this->now);
        const auto reason = this->queue.offer(request, this->now);
        const bool inTime = request.deadline > this->now && this->now + wait <= request.deadline;
        this->require((reason == base::RefusalReason::None) == inTime, "admission differs from the expected wait");
        if (reason == base::RefusalReason::None)
            this->waiting.push_back(request);
    }

    void start()
    {
        this->expire();
        this->queue.served(this->now);
        const auto* front = this->queue.front();
        this->require(
            (front == nullptr) == this->waiting.empty(), "front is empty although requests wait, or the reverse");
        if (front == nullptr)
            return;
        const auto next = *front;
        this->require(next.deadline > this->now, "request started after its deadline");
        const auto best = std::ranges::max_element(this->waiting, [&](const auto& left, const auto& right) {
            return this->valueOf(left, next.owner) < this->valueOf(right, next.owner);
        });
        this->require(best->id == next.id,
            "request started before one of its owner with a higher priority or an earlier arrival");
        this->queue.pop(this->now);
        this->remove(next.id, false);
    }

    /** Sort key that orders the requests of one owner by start order; requests of other owners come last. */
    static std::pair<int, std::int64_t> valueOf(const QueuedRequest& request, const base::OwnerId& owner)
    {
        return { request.owner == owner ? request.priority : -1, -static_cast<std::int64_t>(request.id.low) };
    }

    void expire()
    {
        for (const auto& request : this->queue.expire(this->now))
            this->remove(request.id, false);
        this->require(
            std::ranges::none_of(this->waiting, [this](const auto& request) { return request.deadline <= this->now; }),
            "request still queued after its deadline");
    }

    void remove(base::RequestId id, bool cancel)
    {
        this->require(!cancel || this->queue.cancel(id, this->now), "queued request could not be cancelled");
        this->require(std::erase_if(this->waiting, [&](const auto& request) { return request.id == id; }) == 1,
            "a request was removed from the queue twice");
    }
};

int countQueueFailures(int schedules, bool usePriorities)
{
    int failures = 0;
    for (int seed = 1; seed <= schedules; ++seed) {
        const auto* violation = QueueSchedule { static_cast<std::uint64_t>(seed), usePriorities }.run();
        if (violation != nullptr && failures++ == 0)
            std::cout << "first failure: seed " << seed << ": " << violation << std::endl;
    }
    return failures;
}

} // namespace

// Guards against requests that are lost, started twice, started after their deadline or started out of order.
TEST(QueueScheduleTest, EachRequestLeavesQueueOnceAndInOrder)
{
    constexpr int schedules = 10'000;
    std::cout << "seeds 1 to " << schedules << std::endl;
    EXPECT_EQ(countQueueFailures(schedules, true), 0);
    EXPECT_GT(countQueueFailures(100, false), 0);
}

} // namespace chivewinch::routing
