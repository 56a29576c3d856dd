#include "claim/claim_keeper.hpp"
#include "store/memory_store.hpp"
#include "support/fake_scheduler.hpp"
#include "support/faulty_store.hpp"

#include <gtest/gtest.h>

namespace chivewinch::claim {

using namespace std::chrono_literals;

class ClaimKeeperTest : public testing::Test {
protected:
    base::ManualClock clock;
    support::FakeScheduler scheduler { this->clock };
    base::SeededRandom random { 5 };
    store::MemoryTableService tables;
    store::MemoryObjectStore objects;
    support::FaultyTableService faultyTables { this->tables, this->scheduler, this->random };
    ClaimKeeper first { this->clock, this->scheduler, this->random, this->faultyTables, this->objects,
        { .entry = "entry-1" } };
    ClaimKeeper second { this->clock, this->scheduler, this->random, this->faultyTables, this->objects,
        { .entry = "entry-2" } };
    ClaimKey key { .team = "wax", .key = "order-1" };

    std::optional<ClaimResult> claim(ClaimKeeper& keeper, std::string body = "body")
    {
        auto result = std::make_shared<std::optional<ClaimResult>>();
        keeper.claim({ .key = this->key, .bodyHash = std::move(body), .deadline = this->clock.now() + 10s },
            [result](const ClaimResult& answer) { *result = answer; });
        this->scheduler.runFor(100ms);
        return *result;
    }
};

// Guards against a repeat at another entry that runs again or gets another answer.
TEST_F(ClaimKeeperTest, RepeatReceivesFirstAnswer)
{
    const auto granted = this->claim(this->first);
    ASSERT_TRUE(granted && std::holds_alternative<Granted>(*granted));
    bool durable = false;
    this->first.settle(this->key, std::get<Granted>(*granted).nonce,
        { .outcome = base::Outcome::Done, .answer = "booked" }, [&](bool stored) { durable = stored; });
    this->scheduler.runFor(100ms);
    EXPECT_TRUE(durable);
    EXPECT_EQ(
        this->claim(this->second), ClaimResult { (Repeat { .outcome = base::Outcome::Done, .answer = "booked" }) });
    EXPECT_EQ(this->claim(this->second, "other"), ClaimResult { Conflict {} });
}

// Guards against a claim that is made, or a wait, while nothing can be recorded.
TEST_F(ClaimKeeperTest, StoreDownIsAnsweredAtOnce)
{
    this->faultyTables.faults().down = true;
    EXPECT_EQ(this->claim(this->first), ClaimResult { Unavailable {} });
}

} // namespace chivewinch::claim
