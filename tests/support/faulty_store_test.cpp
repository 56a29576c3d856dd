#include "base/clock.hpp"
#include "store/memory_store.hpp"
#include "support/fake_scheduler.hpp"
#include "support/faulty_store.hpp"

#include <gtest/gtest.h>

namespace chivewinch::support {

using namespace std::chrono_literals;

class FaultyStoreTest : public testing::Test {
protected:
    base::ManualClock clock;
    FakeScheduler scheduler { this->clock };
    base::SeededRandom random { 3 };
    store::MemoryTableService memory;
    FaultyTableService faulty { this->memory, this->scheduler, this->random };
    store::RowKey key { .table = "t", .key = "k" };

    std::optional<store::ErrorCode> write()
    {
        std::optional<store::ErrorCode> result;
        this->faulty.transact({ .conditions = {}, .writes = { { .key = this->key, .value = "v" } } },
            [&result](const auto&, const store::Error& error) { result = error.code; });
        this->scheduler.runFor(10s);
        return result;
    }
};

// Guards against a faulty store that drops the write when only its acknowledgement is lost.
TEST_F(FaultyStoreTest, LostAcknowledgementLeavesWriteInEffect)
{
    this->faulty.faults().lostAcknowledgement = 1;
    EXPECT_EQ(this->write(), store::ErrorCode::Ambiguous);
    EXPECT_EQ(this->memory.row(this->key).value, "v");
}

TEST_F(FaultyStoreTest, LostRequestHasNoEffect)
{
    this->faulty.faults().lostRequest = 1;
    EXPECT_EQ(this->write(), store::ErrorCode::Ambiguous);
    EXPECT_EQ(this->memory.row(this->key).version, store::absentVersion);
}

TEST_F(FaultyStoreTest, DownServiceAnswersUnavailable)
{
    this->faulty.faults().down = true;
    EXPECT_EQ(this->write(), store::ErrorCode::Unavailable);
    EXPECT_EQ(this->memory.row(this->key).version, store::absentVersion);
}

// Guards against a timer that fires after it was cancelled.
TEST_F(FaultyStoreTest, CancelledTimerDoesNotRun)
{
    bool ran = false;
    const auto timer = this->scheduler.after(1s, [&ran] { ran = true; });
    this->scheduler.cancel(timer);
    this->scheduler.runFor(2s);
    EXPECT_FALSE(ran);
}

} // namespace chivewinch::support
