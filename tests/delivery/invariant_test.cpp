#include "delivery/delivery_schedule.hpp"
#include "support/schedules.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <iostream>
#include <string>

namespace chivewinch::delivery {

namespace internal {

constexpr std::uint64_t firstSeed = 20261204'000;
constexpr std::uint64_t schedules = support::schedulesToRun(60'000);
constexpr std::uint64_t schedulesWithoutMechanism = 3'000;

struct Violations {
    std::uint64_t wrongAnswers = 0; ///< Done, but without the complete answer to this request.
    std::uint64_t foreignBytes = 0; ///< Bytes that do not belong to the request's answer at this position.
    std::uint64_t falseNotRun = 0; ///< Reported or proved as "not run", but ran.
    std::uint64_t repeatedRuns = 0; ///< Non-repeatable requests or attempts that ran more than once.
    std::uint64_t unfinished = 0;
    std::uint64_t withoutRetryHint = 0; ///< Ended without success and without a retry-after hint.
    std::uint64_t done = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    std::uint64_t firstBadSeed = 0;

    [[nodiscard]] std::uint64_t total() const
    {
        return this->wrongAnswers + this->foreignBytes + this->falseNotRun + this->repeatedRuns + this->unfinished
            + this->withoutRetryHint;
    }
};

void check(const RequestResult& result, Violations& violations)
{
    if (!result.finish) {
        ++violations.unfinished;
        return;
    }
    const auto outcome = result.finish->outcome;
    violations.done += outcome == base::Outcome::Done ? 1 : 0;
    violations.notRun += outcome == base::Outcome::NotRun ? 1 : 0;
    violations.unknown += outcome == base::Outcome::Unknown ? 1 : 0;
    const auto& answers = result.possibleAnswers;
    const bool whole = std::find(answers.begin(), answers.end(), result.delivered) != answers.end();
    violations.wrongAnswers += outcome == base::Outcome::Done && !whole ? 1 : 0;
    violations.foreignBytes += result.deliveredPrefix ? 0 : 1;
    violations.falseNotRun += (outcome == base::Outcome::NotRun && result.runs > 0) || result.contradictedProof ? 1 : 0;
    violations.repeatedRuns += (!result.repeatable && result.runs > 1) || result.maxRunsPerAttempt > 1 ? 1 : 0;
    violations.withoutRetryHint += outcome != base::Outcome::Done && result.finish->retryAfter.count() == 0 ? 1 : 0;
}

Violations runSchedules(ScheduleOptions options, std::uint64_t count)
{
    Violations violations;
    for (std::uint64_t i = 0; i < count; ++i) {
        options.seed = firstSeed + i;
        const auto before = violations.total();
        for (const auto& result : DeliverySchedule { options }.run())
            check(result, violations);
        if (before == 0 && violations.total() > 0)
            violations.firstBadSeed = options.seed;
    }
    return violations;
}

} // namespace internal

/** Runs the schedules once; each test checks one invariant on them. */
class DeliveryInvariantTest : public testing::Test {
protected:
    static void SetUpTestSuite()
    {
        std::cout << "seeds " << internal::firstSeed << " to " << internal::firstSeed + internal::schedules - 1 << "\n";
        violations = internal::runSchedules({}, internal::schedules);
        std::cout << "requests done " << violations.done << ", not run " << violations.notRun << ", unknown "
                  << violations.unknown << "; first violating seed " << violations.firstBadSeed << "\n";
    }

    static inline internal::Violations violations;
};

// Guards against delayed, misrouted, duplicated and missing frames, also after a resumed or replayed stream.
TEST_F(DeliveryInvariantTest, CallerGetsWholeAnswerToItsOwnRequest)
{
    EXPECT_EQ(violations.wrongAnswers, 0U);
    EXPECT_EQ(violations.foreignBytes, 0U);
    EXPECT_GT(violations.done, internal::schedules);
}

// Guards against a proof that a delayed copy, an earlier attempt or an earlier incarnation contradicts.
TEST_F(DeliveryInvariantTest, RequestReportedAsNotRunNeverRan)
{
    EXPECT_EQ(violations.falseNotRun, 0U);
    EXPECT_GT(violations.notRun, 0U);
}

// Guards against retries after an unknown outcome and against copies that run again.
TEST_F(DeliveryInvariantTest, NonRepeatableRequestRunsAtMostOnce)
{
    EXPECT_EQ(violations.repeatedRuns, 0U);
    EXPECT_GT(violations.unknown, 0U);
}

// Guards against a caller that keeps waiting after the last attempt.
TEST_F(DeliveryInvariantTest, EveryRequestEndsAndGivesRetryHint)
{
    EXPECT_EQ(violations.unfinished, 0U);
    EXPECT_EQ(violations.withoutRetryHint, 0U);
}

struct Mechanism {
    const char* name;
    void (*turnOff)(ScheduleOptions&);
    std::uint64_t internal::Violations::*violation; ///< Violation that the schedules must find without the mechanism.
};

std::ostream& operator<<(std::ostream& output, const Mechanism& mechanism) { return output << mechanism.name; }

class DeliveryMechanismTest : public testing::TestWithParam<Mechanism> { };

// Guards against an invariant test that cannot fail: without the mechanism, violations must be found.
TEST_P(DeliveryMechanismTest, ViolationsAreFoundWithout)
{
    ScheduleOptions options;
    GetParam().turnOff(options);
    const auto found = internal::runSchedules(options, internal::schedulesWithoutMechanism);
    EXPECT_GT(found.*GetParam().violation, 0U);
}

using Options = ScheduleOptions;
using Found = internal::Violations;

INSTANTIATE_TEST_SUITE_P(Delivery, DeliveryMechanismTest,
    testing::Values(Mechanism { "KeyCheck", [](Options& off) { off.checker.checkKey = false; }, &Found::foreignBytes },
        Mechanism { "SequenceCheck", [](Options& off) { off.checker.checkSequence = false; }, &Found::foreignBytes },
        Mechanism { "FinalCheck", [](Options& off) { off.checker.checkFinal = false; }, &Found::wrongAnswers },
        Mechanism { "PrefixCheck", [](Options& off) { off.checker.checkPrefix = false; }, &Found::wrongAnswers },
        Mechanism { "HeadOfResumed", [](Options& off) { off.checker.requireHead = false; }, &Found::foreignBytes },
        Mechanism { "Incarnation", [](Options& off) { off.gate.checkIncarnation = false; }, &Found::repeatedRuns },
        Mechanism { "Record", [](Options& off) { off.gate.checkSeen = false; }, &Found::repeatedRuns },
        Mechanism { "Refusals", [](Options& off) { off.gate.recordRefusals = false; }, &Found::falseNotRun },
        Mechanism { "Cancels", [](Options& off) { off.gate.recordEarlyCancels = false; }, &Found::falseNotRun },
        Mechanism { "ProofRule", [](Options& off) { off.requireProof = false; }, &Found::repeatedRuns }),
    [](const auto& info) { return std::string { info.param.name }; });

} // namespace chivewinch::delivery
