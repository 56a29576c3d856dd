#include "delivery/gate.hpp"

#include <gtest/gtest.h>

namespace chivewinch::delivery {

using namespace std::chrono_literals;

class GateTest : public testing::Test {
protected:
    base::ManualClock clock;
    static constexpr base::Incarnation incarnation { 7 };

    [[nodiscard]] AttemptStart start(std::uint64_t request, base::Incarnation to = incarnation) const
    {
        return { .key = { .attempt = { .request = { .high = 1, .low = request }, .number = 1 }, .incarnation = to },
            .issued = this->clock.wallNow(),
            .lifetime = 10s,
            .remaining = 60s };
    }
};

// Guards against a second run of a copied attempt, and against calling the copy a proof of "not run".
TEST_F(GateTest, CopyOfRunningAttemptIsRefusedWithoutProof)
{
    Gate gate { this->clock, incarnation };
    EXPECT_TRUE(gate.admit(this->start(1)).admitted);
    const auto copy = gate.admit(this->start(1));
    EXPECT_FALSE(copy.admitted);
    EXPECT_EQ(copy.reason, base::RefusalReason::DuplicateAttempt);
    EXPECT_FALSE(copy.notRun);
}

} // namespace chivewinch::delivery
