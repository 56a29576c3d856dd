#include "lease/fencing_guard.hpp"
#include "lease/lease.hpp"
#include "store/memory_store.hpp"
#include "support/fake_scheduler.hpp"
#include "support/faulty_store.hpp"

#include <gtest/gtest.h>

#include <iostream>
#include <memory>
#include <set>
#include <vector>

namespace chivewinch::lease {

using namespace std::chrono_literals;

namespace {

/** Clock that runs at a constant rate relative to another clock. */
class DriftClock final : public base::Clock {
public:
    DriftClock(const base::Clock& next, double rate)
        : next { next }
        , rate { rate }
        , start { next.now() }
    {
    }

    [[nodiscard]] base::SteadyTime now() const noexcept override
    {
        const std::chrono::duration<double, std::nano> elapsed = (this->next.now() - this->start) * this->rate;
        return this->start + std::chrono::duration_cast<std::chrono::nanoseconds>(elapsed);
    }
    [[nodiscard]] base::WallTime wallNow() const noexcept override { return this->next.wallNow(); }

private:
    const base::Clock& next;
    double rate;
    base::SteadyTime start;
};

/** Scheduler of one process. It runs on the shared scheduler, at the rate of the process's clock. It can be paused. */
class ProcessScheduler final : public store::Scheduler {
public:
    ProcessScheduler(support::FakeScheduler& next, double rate)
        : next { next }
        , rate { rate }
    {
    }

    store::TimerId after(std::chrono::nanoseconds delay, std::function<void()> callback) override
    {
        const std::chrono::duration<double, std::nano> real = delay / this->rate;
        const auto rounded = std::chrono::duration_cast<std::chrono::nanoseconds>(real);
        return this->next.after(rounded, [this, callback = std::move(callback)] { this->run(callback); });
    }

    void cancel(store::TimerId timer) override { this->next.cancel(timer); }

    /** Queues callbacks in order until resume(). */
    void pause() { this->paused = true; }
    void resume()
    {
        this->paused = false;
        for (auto& callback : std::exchange(this->waiting, {}))
            this->run(callback);
    }
    void run(const std::function<void()>& callback)
    {
        if (this->paused)
            this->waiting.push_back(callback);
        else
            callback();
    }

private:
    support::FakeScheduler& next;
    double rate;
    bool paused = false;
    std::vector<std::function<void()>> waiting;
};

/** Passes answers through the scheduler of the process, so that a paused process receives them after it resumes. */
class ProcessTables final : public store::TableService {
public:
    ProcessTables(store::TableService& next, ProcessScheduler& process)
        : next { next }
        , process { process }
    {
    }

    void get(std::vector<store::RowKey> keys, GetCallback callback) override
    {
        this->next.get(std::move(keys), this->wrap(std::move(callback)));
    }
    void scan(std::string table, std::string prefix, std::size_t limit, GetCallback callback) override
    {
        this->next.scan(std::move(table), std::move(prefix), limit, this->wrap(std::move(callback)));
    }
    void transact(store::Transaction transaction, TransactCallback callback) override
    {
        this->next.transact(std::move(transaction), this->wrap(std::move(callback)));
    }

private:
    store::TableService& next;
    ProcessScheduler& process;

    template <typename Callback> Callback wrap(Callback callback)
    {
        return [this, callback](auto result, const store::Error& error) {
            this->process.run([callback, result, error] { callback(result, error); });
        };
    }
};

struct TestEnvironment {
    explicit TestEnvironment(std::uint64_t seed)
        : random { seed }
    {
    }

    base::ManualClock clock;
    support::FakeScheduler scheduler { this->clock };
    base::SeededRandom random;
    store::MemoryTableService memory;
    support::FaultyTableService tables { this->memory, this->scheduler, this->random };
};

struct Process {
    Process(TestEnvironment& environment, const std::string& name, LeaseOptions options = {}, double clockRate = 1)
        : clock { environment.clock, clockRate }
        , scheduler { environment.scheduler, clockRate }
        , tables { environment.tables, this->scheduler }
        , lease { "plan", name, this->tables, this->scheduler, this->clock, environment.random,
            [this](LeaseEvent event, base::FencingNumber number) {
                if (event == LeaseEvent::Acquired)
                    this->acquired.push_back(number);
            },
            options }
    {
        this->lease.start();
    }

    DriftClock clock;
    ProcessScheduler scheduler;
    ProcessTables tables;
    Lease lease;
    std::vector<base::FencingNumber> acquired;
};

} // namespace

TEST(LeaseTest, OneOfTwoHoldsAndTheOtherTakesOverAfterRelease)
{
    TestEnvironment environment { 1 };
    Process first { environment, "first" };
    environment.scheduler.runFor(1s);
    Process second { environment, "second" };
    environment.scheduler.runFor(60s);
    EXPECT_TRUE(first.lease.held());
    EXPECT_FALSE(second.lease.held());
    EXPECT_EQ(second.lease.lastHolder(), "first");
    first.lease.stop();
    EXPECT_FALSE(first.lease.held());
    environment.scheduler.runFor(11s);
    EXPECT_TRUE(second.lease.held());
    EXPECT_GT(*second.lease.fencing(), first.acquired.front());
}

// Guards against a holder that keeps the lease during a store outage of an hour, and against a lease that is not
// acquired again afterwards.
TEST(LeaseTest, LeaseExpiresDuringStoreOutageAndIsReacquired)
{
    TestEnvironment environment { 2 };
    Process process { environment, "only" };
    environment.scheduler.runFor(20s);
    ASSERT_TRUE(process.lease.held());
    environment.tables.faults().down = true;
    environment.scheduler.runFor(10001ms);
    EXPECT_FALSE(process.lease.held());
    environment.scheduler.runFor(1h);
    EXPECT_FALSE(process.lease.held());
    environment.tables.faults().down = false;
    environment.scheduler.runFor(20s);
    EXPECT_TRUE(process.lease.held());
}

// Guards against two holders at once, and against late effects of a paused holder that are applied. Each parameter
// pauses the first process for longer than the lease, at a different step of acquisition or renewal.
class PausedHolderTest : public testing::TestWithParam<int> { };

TEST_P(PausedHolderTest, EffectsOfPausedHolderAreRejected)
{
    TestEnvironment environment { 3 };
    environment.tables.faults().minDelay = 20ms;
    environment.tables.faults().maxDelay = 20ms;
    FencingGuard guard;
    Process first { environment, "first" };
    environment.scheduler.runFor(std::chrono::milliseconds { 10 * this->GetParam() });
    const auto fencingBeforePause = first.lease.fencing();
    first.scheduler.pause();
    Process second { environment, "second" };
    environment.scheduler.runFor(60s);
    ASSERT_TRUE(second.lease.held());
    EXPECT_FALSE(first.lease.held());
    EXPECT_TRUE(guard.admit(*second.lease.fencing()));
    first.scheduler.resume();
    EXPECT_FALSE(first.lease.held());
    if (fencingBeforePause) {
        EXPECT_FALSE(guard.admit(*fencingBeforePause));
    }
    environment.scheduler.runFor(60s);
    EXPECT_TRUE(second.lease.held());
    EXPECT_FALSE(first.lease.held());
}

// Times in units of 10 ms. They cover the acquisition (40 ms read and 40 ms write) and the first renewal at 5 s.
INSTANTIATE_TEST_SUITE_P(Steps, PausedHolderTest,
    testing::Values(
        0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 100, 505, 508, 509, 510, 511, 512, 513, 514, 515, 516, 517, 518, 520));

// Guards against a receiver that applies effects of an earlier holder, before or after it restarts.
TEST(FencingGuardTest, RefusesSmallerNumbers)
{
    FencingGuard guard;
    EXPECT_TRUE(guard.admit(base::FencingNumber { 3 }));
    EXPECT_TRUE(guard.admit(base::FencingNumber { 3 }));
    EXPECT_FALSE(guard.admit(base::FencingNumber { 2 }));
    FencingGuard restarted { guard.largest() };
    EXPECT_FALSE(restarted.admit(base::FencingNumber { 2 }));
    FencingGuard disabled { {}, false };
    EXPECT_TRUE(disabled.admit(base::FencingNumber { 3 }));
    EXPECT_TRUE(disabled.admit(base::FencingNumber { 2 }));
}

namespace {

/** Violations and acquisitions in one or more random schedules. */
struct Violations {
    int twoHolders = 0;
    int repeatedNumbers = 0;
    int staleEffects = 0;
    int acquisitions = 0;
};

/** Runs three processes with random faults and pauses, and counts the violated invariants. */
Violations runSchedule(std::uint64_t seed, LeaseOptions options)
{
    TestEnvironment environment { seed };
    auto& faults = environment.tables.faults();
    faults.lostRequest = environment.random.unit() * 0.3;
    faults.lostAcknowledgement = environment.random.unit() * 0.5;
    faults.maxDelay = std::chrono::milliseconds { 1 + environment.random.below(4000) };
    std::vector<std::unique_ptr<Process>> processes;
    for (const auto* name : { "a", "b", "c" })
        processes.push_back(
            std::make_unique<Process>(environment, name, options, 0.95 + 0.1 * environment.random.unit()));
    Violations violations;
    FencingGuard guard;
    std::set<base::FencingNumber> numbers;
    std::vector<std::size_t> counted(processes.size());
    for (int step = 0; step < 60; ++step) {
        faults.down = environment.random.below(8) == 0;
        auto& chosen = *processes[environment.random.below(processes.size())];
        environment.random.below(3) == 0 ? chosen.scheduler.pause() : chosen.scheduler.resume();
        environment.scheduler.runFor(std::chrono::milliseconds { environment.random.below(4000) });
        int holders = 0;
        for (std::size_t i = 0; i < processes.size(); ++i) {
            const auto& process = *processes[i];
            for (; counted[i] < process.acquired.size(); ++counted[i]) {
                ++violations.acquisitions;
                violations.repeatedNumbers += numbers.insert(process.acquired[counted[i]]).second ? 0 : 1;
            }
            holders += process.lease.held() ? 1 : 0;
            if (const auto number = process.lease.fencing())
                violations.staleEffects += guard.admit(*number) ? 0 : 1;
        }
        violations.twoHolders += holders > 1 ? 1 : 0;
    }
    return violations;
}

constexpr std::uint64_t firstSeed = 20'000;

Violations runSchedules(std::uint64_t count, LeaseOptions options)
{
    std::cout << "seeds " << firstSeed << " to " << firstSeed + count - 1 << std::endl;
    Violations sum;
    for (auto seed = firstSeed; seed < firstSeed + count; ++seed) {
        const auto found = runSchedule(seed, options);
        if (found.twoHolders + found.repeatedNumbers + found.staleEffects > 0
            && sum.twoHolders + sum.repeatedNumbers + sum.staleEffects == 0)
            std::cout << "first violation at seed " << seed << std::endl;
        sum.twoHolders += found.twoHolders;
        sum.repeatedNumbers += found.repeatedNumbers;
        sum.staleEffects += found.staleEffects;
        sum.acquisitions += found.acquisitions;
    }
    return sum;
}

} // namespace

// Guards against two processes that hold the lease at once, and against two acquisitions with the same fencing number.
TEST(LeasePropertyTest, AtMostOneHolderAndIncreasingFencing)
{
    const auto sum = runSchedules(10'000, {});
    EXPECT_EQ(sum.twoHolders, 0);
    EXPECT_EQ(sum.repeatedNumbers, 0);
    EXPECT_EQ(sum.staleEffects, 0);
    EXPECT_GT(sum.acquisitions, 10'000);
}

// Guards against schedules that miss the cases a mechanism is for: violations must appear when it is turned off.
TEST(LeasePropertyTest, EachMechanismIsNeeded)
{
    EXPECT_GT(runSchedules(200, { .stopByClock = false }).twoHolders, 0);
    EXPECT_GT(runSchedules(200, { .waitFullDuration = false }).twoHolders, 0);
    EXPECT_GT(runSchedules(200, { .incrementFencing = false }).repeatedNumbers, 0);
}

} // namespace chivewinch::lease
