#include "base/random.hpp"
#include "delivery/gate.hpp"

#include <gtest/gtest.h>

#include <map>
#include <set>

namespace chivewinch::delivery {

using namespace std::chrono_literals;

namespace internal {

/** Clock whose wall time can jump in both directions. */
class JumpingClock final : public base::Clock {
public:
    [[nodiscard]] base::SteadyTime now() const noexcept override { return base::SteadyTime { 1h + this->elapsed }; }
    [[nodiscard]] base::WallTime wallNow() const noexcept override { return this->trueWall() + this->error; }
    [[nodiscard]] base::WallTime trueWall() const noexcept { return base::WallTime { 400'000h + this->elapsed }; }

    std::chrono::milliseconds elapsed {};
    std::chrono::milliseconds error {};
};

/** Reference model of a gate that keeps every attempt forever. */
class ReferenceGate {
public:
    explicit ReferenceGate(const GateOptions& options)
        : options { options }
    {
    }

    [[nodiscard]] Admission admit(const AttemptStart& start, base::WallTime now)
    {
        if (const auto seen = this->states.find(start.key.attempt); seen != this->states.end()) {
            const bool cancelled = seen->second == RecordState::Cancelled;
            const bool notRun = cancelled || seen->second == RecordState::NotRun;
            return { .reason
                = cancelled ? base::RefusalReason::CancelledBeforeStart : base::RefusalReason::DuplicateAttempt,
                .notRun = notRun };
        }
        const auto age = now - start.issued;
        auto reason = base::RefusalReason::None;
        if (age > std::min(start.lifetime, this->options.maxLifetime))
            reason = base::RefusalReason::AttemptExpired;
        else if (std::max<std::chrono::nanoseconds>(age, {}) >= start.remaining)
            reason = base::RefusalReason::DeadlinePassed;
        else if (this->draining)
            reason = base::RefusalReason::Draining;
        else if (this->running.size() >= this->options.maxConcurrent)
            reason = base::RefusalReason::TargetBusy;
        if (reason == base::RefusalReason::None) {
            this->running.insert(start.key.attempt);
            this->states[start.key.attempt] = RecordState::Running;
            return { .admitted = true };
        }
        this->states[start.key.attempt] = RecordState::NotRun;
        return { .reason = reason, .notRun = true };
    }

    GateOptions options;
    std::map<base::AttemptId, RecordState> states;
    std::set<base::AttemptId> running;
    bool draining = false;
};

struct GateRun {
    std::uint64_t doubleRuns = 0;
    std::uint64_t falseProofs = 0;
    std::uint64_t differences = 0;
    std::uint64_t uncovered = 0;
    std::size_t maxRecordCount = 0;
};

/** Runs one gate under random new attempts, copies of any age, cancellations, ends and jumps of its wall clock. */
GateRun runGate(std::uint64_t seed, const GateOptions& options)
{
    constexpr int steps = 120;
    base::SeededRandom random { seed };
    JumpingClock clock;
    Gate gate { clock, base::Incarnation { 1 }, options };
    ReferenceGate reference { options };
    std::vector<AttemptStart> sent;
    std::map<base::AttemptId, int> runs;
    std::set<base::AttemptId> proofs;
    GateRun result;
    for (int step = 0; step < steps; ++step) {
        clock.elapsed += std::chrono::milliseconds { random.below(10) == 0 ? random.below(20'000) : random.below(500) };
        if (random.below(20) == 0)
            clock.error = std::chrono::milliseconds { static_cast<std::int64_t>(random.below(7'200'000)) - 3'600'000 };
        const auto skew = std::chrono::milliseconds { static_cast<std::int64_t>(random.below(12'000)) - 4'000 };
        const bool isCopy = !sent.empty() && random.below(2) == 0;
        if (!isCopy)
            sent.push_back({ .key = { .attempt = { .request = { .high = seed, .low = sent.size() }, .number = 1 },
                                 .incarnation = base::Incarnation { random.below(20) == 0 ? 2U : 1U } },
                .issued = clock.trueWall() + skew,
                .lifetime = std::chrono::milliseconds { random.below(15'000) },
                .remaining = std::chrono::milliseconds { random.below(60'000) } });
        const auto start = isCopy ? sent[random.below(sent.size())] : sent.back();
        const auto& id = start.key.attempt;
        if (random.below(6) == 0) {
            const auto cancelled = gate.cancel({ .key = start.key, .issued = start.issued });
            if (cancelled == CancelResult::NotRun) {
                proofs.insert(id);
                reference.states.try_emplace(id, RecordState::Cancelled);
            }
            result.falseProofs += cancelled == CancelResult::NotRun && runs.contains(id) ? 1 : 0;
        } else {
            const auto admission = gate.admit(start);
            const bool unproved = !admission.admitted && !admission.notRun;
            const bool uncovered = unproved && admission.reason == base::RefusalReason::AttemptExpired;
            result.uncovered += uncovered ? 1 : 0;
            if (!uncovered && admission.reason != base::RefusalReason::WrongIncarnation) {
                auto expected = reference.admit(start, clock.trueWall());
                expected.deadline = admission.deadline;
                result.differences += admission == expected ? 0 : 1;
            }
            result.doubleRuns += admission.admitted && ++runs[id] > 1 ? 1 : 0;
            if (admission.notRun)
                proofs.insert(id);
            result.falseProofs += proofs.contains(id) && runs.contains(id) ? 1 : 0;
        }
        if (!reference.running.empty() && random.below(3) == 0) {
            const auto ended = *reference.running.begin();
            const auto outcome = static_cast<base::Outcome>(random.below(3) == 0 ? 2 : 0);
            gate.finish(ended, outcome);
            reference.running.erase(reference.running.begin());
            reference.states[ended] = outcome == base::Outcome::Done ? RecordState::Done : RecordState::Unknown;
        }
        if (random.below(400) == 0) {
            gate.drain();
            reference.draining = true;
        }
        result.maxRecordCount = std::max(result.maxRecordCount, gate.load().records);
    }
    return result;
}

GateRun runGates(const GateOptions& options, std::uint64_t firstSeed, std::uint64_t count)
{
    GateRun sum;
    for (std::uint64_t seed = firstSeed; seed < firstSeed + count; ++seed) {
        const auto one = runGate(seed, options);
        sum.doubleRuns += one.doubleRuns;
        sum.falseProofs += one.falseProofs;
        sum.differences += one.differences;
        sum.uncovered += one.uncovered;
        sum.maxRecordCount = std::max(sum.maxRecordCount, one.maxRecordCount);
    }
    std::cout << "seeds " << firstSeed << " to " << firstSeed + count - 1 << ": " << sum.uncovered
              << " attempts outside of the record\n";
    return sum;
}

constexpr GateOptions shortRecord { .maxConcurrent = 4, .maxLifetime = 10s, .retention = 20s, .maxClockSkew = 5s };

} // namespace internal

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

// Guards against wrong decisions on dropped attempts: the record decides like an unbounded one or gives no proof.
TEST(GateScheduleTest, BoundedRecordAgreesWithUnboundedOne)
{
    const auto found = internal::runGates(internal::shortRecord, 5'000'000, 12'000);
    EXPECT_EQ(found.differences, 0U);
    EXPECT_EQ(found.doubleRuns, 0U);
    EXPECT_EQ(found.falseProofs, 0U);
    EXPECT_GT(found.uncovered, 0U);
}

// Guards against a full record that drops attempts although copies of them can still arrive and be admitted.
TEST(GateScheduleTest, FullRecordNeverRunsTwice)
{
    auto options = internal::shortRecord;
    options.maxRecords = 8;
    const auto found = internal::runGates(options, 6'000'000, 6'000);
    EXPECT_EQ(found.differences, 0U);
    EXPECT_EQ(found.doubleRuns, 0U);
    EXPECT_EQ(found.falseProofs, 0U);
    EXPECT_LE(found.maxRecordCount, 8U);
}

// Guards against schedules that cannot detect a dropped attempt.
TEST(GateScheduleTest, WithoutFloorCheckDoubleRunsAreFound)
{
    auto options = internal::shortRecord;
    options.maxRecords = 8;
    options.refuseUncovered = false;
    EXPECT_GT(internal::runGates(options, 7'000'000, 2'000).doubleRuns, 0U);
}

// Guards against a second run of a copied attempt, and against a refused copy that counts as proof of "not run".
TEST_F(GateTest, CopyOfRunningAttemptIsRefusedWithoutProof)
{
    Gate gate { this->clock, incarnation };
    EXPECT_TRUE(gate.admit(this->start(1)).admitted);
    const auto copy = gate.admit(this->start(1));
    EXPECT_FALSE(copy.admitted);
    EXPECT_EQ(copy.reason, base::RefusalReason::DuplicateAttempt);
    EXPECT_FALSE(copy.notRun);
}

// Guards against a refusal by a restarted agent that counts as proof although the old incarnation ran the attempt.
TEST_F(GateTest, OtherIncarnationIsRefusedWithoutProof)
{
    Gate gate { this->clock, incarnation };
    for (const auto other : { base::Incarnation { 6 }, base::Incarnation { 8 } }) {
        const auto refused = gate.admit(this->start(1, other));
        EXPECT_EQ(refused.reason, base::RefusalReason::WrongIncarnation);
        EXPECT_FALSE(refused.notRun);
        EXPECT_EQ(
            gate.cancel({ .key = this->start(1, other).key, .issued = this->clock.wallNow() }), CancelResult::Unknown);
    }
}

// Guards against a shutdown that interrupts a run or accepts another one.
TEST_F(GateTest, DrainRefusesNewAttemptsAndKeepsRunningOnes)
{
    Gate gate { this->clock, incarnation };
    EXPECT_TRUE(gate.admit(this->start(1)).admitted);
    gate.drain();
    const auto refused = gate.admit(this->start(2));
    EXPECT_EQ(refused.reason, base::RefusalReason::Draining);
    EXPECT_TRUE(refused.notRun);
    EXPECT_FALSE(gate.idle());
    gate.finish(this->start(1).key.attempt, base::Outcome::Done);
    EXPECT_TRUE(gate.idle());
}

TEST_F(GateTest, SuspectIsRefusedWithProof)
{
    Gate gate { this->clock, incarnation, {}, [](const AttemptStart& start) {
                   return start.fingerprint == 13 ? base::RefusalReason::SuspectRequest : base::RefusalReason::None;
               } };
    auto suspect = this->start(1);
    suspect.fingerprint = 13;
    EXPECT_EQ(gate.admit(suspect).reason, base::RefusalReason::SuspectRequest);
    EXPECT_TRUE(gate.admit(suspect).notRun);
    EXPECT_TRUE(gate.admit(this->start(2)).admitted);
}

// Guards against memory that grows with the number of requests.
TEST_F(GateTest, RecordMemoryIsBounded)
{
    constexpr std::size_t maxRecords = 10'000;
    constexpr std::size_t bytesPerRecord = 42; // 24-byte slots, at least 7/12 full after growing by half.
    constexpr std::size_t bucketBytes = 64U << 10;
    Gate gate { this->clock, incarnation, { .maxRecords = maxRecords } };
    for (std::uint64_t i = 0; i < 300'000; ++i) {
        this->clock.advance(100us);
        const auto admission = gate.admit(this->start(i));
        if (admission.admitted)
            gate.finish(this->start(i).key.attempt, base::Outcome::Done);
        ASSERT_LE(gate.load().records, maxRecords);
        if (i % 1000 == 0) {
            ASSERT_LE(gate.load().recordBytes, maxRecords * bytesPerRecord + bucketBytes);
        }
    }
}

} // namespace chivewinch::delivery
