#include "base/clock.hpp"
#include "base/random.hpp"
#include "claim/claim_manager.hpp"
#include "report.hpp"
#include "store/memory_store.hpp"
#include "store/scheduler.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace chivewinch::bench::internal {

using namespace std::chrono_literals;

/** Scheduler on a manual clock. run() advances the clock to each timer in turn. */
class VirtualScheduler final : public store::Scheduler {
public:
    explicit VirtualScheduler(base::ManualClock& clock) noexcept
        : clock { clock }
    {
    }

    store::TimerId after(std::chrono::nanoseconds delay, std::function<void()> callback) override
    {
        const auto id = ++this->lastId;
        this->due.emplace(id, this->clock.now() + delay);
        this->timers.emplace(std::pair { this->clock.now() + delay, id }, std::move(callback));
        return store::TimerId { id };
    }

    void cancel(store::TimerId timer) override
    {
        const auto found = this->due.find(static_cast<std::uint64_t>(timer));
        if (found == this->due.end())
            return;
        this->timers.erase({ found->second, found->first });
        this->due.erase(found);
    }

    /** Runs timers in the order of their due times until none is left. */
    void run()
    {
        while (!this->timers.empty()) {
            auto next = this->timers.extract(this->timers.begin());
            this->due.erase(next.key().second);
            this->clock.advance(next.key().first - this->clock.now());
            next.mapped()();
        }
    }

private:
    base::ManualClock& clock;
    std::map<std::pair<base::SteadyTime, std::uint64_t>, std::function<void()>> timers;
    std::unordered_map<std::uint64_t, base::SteadyTime> due;
    std::uint64_t lastId = 0;
};

/** Store with a fixed round-trip time. */
class DelayedTableService final : public store::TableService {
public:
    DelayedTableService(store::Scheduler& scheduler, std::chrono::nanoseconds roundTrip)
        : scheduler { scheduler }
        , roundTrip { roundTrip }
    {
    }

    void get(std::vector<store::RowKey> keys, GetCallback callback) override
    {
        this->scheduler.after(this->roundTrip,
            [this, keys = std::move(keys), callback = std::move(callback)] { this->memory.get(keys, callback); });
    }

    void scan(std::string table, std::string prefix, std::size_t limit, GetCallback callback) override
    {
        this->memory.scan(std::move(table), std::move(prefix), limit, std::move(callback));
    }

    void transact(store::Transaction transaction, TransactCallback callback) override
    {
        this->scheduler.after(
            this->roundTrip, [this, transaction = std::move(transaction), callback = std::move(callback)]() mutable {
                this->memory.transact(std::move(transaction), callback);
            });
    }

private:
    store::Scheduler& scheduler;
    std::chrono::nanoseconds roundTrip;
    store::MemoryTableService memory;
};

struct Workload {
    std::size_t claims = 0;
    double claimsPerSecond = 0;
    claim::CommitOptions commit;
};

struct ClaimFigures {
    double cpuClaimsPerSecond = 0;
    double transactionsPerClaim = 0; ///< Claim and settlement together.
    double transactionsPerSecond = 0;
    double meanDelay = 0; ///< Milliseconds of simulated time from claim to grant.
    double p99Delay = 0;
    double refusedShare = 0;
};

/** Simulates Poisson arrivals at one entry. Each claim is settled 50 ms after its grant; a store round trip takes 5 ms.
 */
ClaimFigures runClaims(const Workload& workload)
{
    base::ManualClock clock;
    VirtualScheduler scheduler { clock };
    base::SeededRandom random { 20261204 };
    DelayedTableService tables { scheduler, 5ms };
    store::MemoryObjectStore objects;
    claim::ClaimManager manager { clock, scheduler, random, tables, objects, { .commit = workload.commit } };
    std::vector<double> delays;
    const auto begin = clock.now();
    std::function<void(std::size_t)> arrive = [&](std::size_t index) {
        const claim::ClaimKey key { .team = "team", .key = "order-" + std::to_string(index) };
        manager.claim({ .key = key, .bodyHash = "hash", .deadline = clock.now() + 10s },
            [&, key, at = clock.now()](const claim::ClaimResult& result) {
                if (!std::holds_alternative<claim::Granted>(result))
                    return;
                delays.push_back(std::chrono::duration<double, std::milli>(clock.now() - at).count());
                const auto nonce = std::get<claim::Granted>(result).nonce;
                scheduler.after(50ms, [&manager, key, nonce] {
                    manager.settle(
                        key, nonce, { .outcome = base::Outcome::Done, .answer = std::string(500, 'a') }, [](bool) {});
                });
            });
        if (index + 1 < workload.claims)
            scheduler.after(std::chrono::nanoseconds { static_cast<std::int64_t>(
                                -std::log(1 - random.unit()) / workload.claimsPerSecond * 1e9) },
                [&arrive, index] { arrive(index + 1); });
    };
    const auto wallBegin = std::chrono::steady_clock::now();
    arrive(0);
    scheduler.run();
    const std::chrono::duration<double> wall = std::chrono::steady_clock::now() - wallBegin;
    const std::chrono::duration<double> virtualTime = clock.now() - begin;
    std::sort(delays.begin(), delays.end());
    const auto claims = static_cast<double>(workload.claims);
    const auto transactions = static_cast<double>(manager.commitCounters().transactions);
    double sum = 0;
    for (const auto delay : delays)
        sum += delay;
    const auto granted = static_cast<double>(delays.size());
    return { .cpuClaimsPerSecond = claims / wall.count(),
        .transactionsPerClaim = transactions / granted,
        .transactionsPerSecond = transactions / virtualTime.count(),
        .meanDelay = sum / granted,
        .p99Delay = delays[static_cast<std::size_t>(granted * 0.99)],
        .refusedShare = 1 - granted / claims };
}

/** Reports the figures of the given options. The baseline is one write per claim and one per settlement. */
void measure(const std::string& label, double claimsPerSecond, const claim::CommitOptions& commit)
{
    const auto claims = static_cast<std::size_t>(claimsPerSecond * 60);
    constexpr claim::CommitOptions unbatched {
        .interval = 0ms, .maxBatch = 1, .transactionsPerSecond = 1e9, .transactionBurst = 1e9
    };
    const auto single = runClaims({ .claims = claims, .claimsPerSecond = claimsPerSecond, .commit = unbatched });
    const auto batched = runClaims({ .claims = claims, .claimsPerSecond = claimsPerSecond, .commit = commit });
    const auto add = [&](const std::string& figure, const std::string& unit, double ClaimFigures::*member) {
        report({ .name = "claim_" + figure + "_" + label,
            .value = batched.*member,
            .unit = unit,
            .size = static_cast<std::uint64_t>(claimsPerSecond),
            .baseline = single.*member,
            .baselineName = "one write per claim and settlement" });
    };
    add("store_writes_per_claim", "transactions", &ClaimFigures::transactionsPerClaim);
    add("store_writes_per_second", "transactions/s", &ClaimFigures::transactionsPerSecond);
    add("grant_delay_mean", "ms", &ClaimFigures::meanDelay);
    add("grant_delay_p99", "ms", &ClaimFigures::p99Delay);
    add("claims_per_cpu_second", "claims/s", &ClaimFigures::cpuClaimsPerSecond);
    add("refused_share", "of claims", &ClaimFigures::refusedShare);
}

void measureIntervals(double claimsPerSecond)
{
    for (const auto interval : { 5ms, 20ms, 50ms })
        measure("unpaced_" + std::to_string(interval.count()) + "ms", claimsPerSecond,
            { .interval = interval, .transactionsPerSecond = 1e9, .transactionBurst = 1e9 });
    for (const int rate : { 2, 10 })
        measure("paced_" + std::to_string(rate) + "_per_second", claimsPerSecond,
            { .transactionsPerSecond = static_cast<double>(rate) });
}

/** Measures option (b) of the claim design: the key's home target keeps the record in memory. */
void measureHomeTarget()
{
    constexpr std::size_t keys = 200'000;
    struct Entry {
        std::string bodyHash;
        std::string answer;
    };
    std::unordered_map<std::string, Entry> record;
    const auto begin = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < keys; ++i) {
        const auto key = "team:order-" + std::to_string(i);
        if (record.try_emplace(key, Entry { .bodyHash = "hash", .answer = {} }).second)
            record[key].answer.assign(500, 'a');
    }
    const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - begin;
    report({ .name = "claim_home_target_claims_per_cpu_second",
        .value = static_cast<double>(record.size()) / elapsed.count(),
        .unit = "claims/s",
        .size = keys });
}

/** Share of repeats that a home target cannot answer because it restarted since the first attempt. The 2,000 targets
 * restart 790 times per day in total. */
void measureHomeTargetRestarts(std::chrono::seconds repeatAfter)
{
    constexpr double restartsPerDay = 790;
    constexpr double targets = 2'000;
    constexpr double secondsPerDay = 86'400;
    constexpr std::size_t samples = 1'000'000;
    base::SeededRandom random { 7 };
    const double rate = restartsPerDay / targets / secondsPerDay;
    std::size_t refused = 0;
    for (std::size_t i = 0; i < samples; ++i)
        refused += -std::log(1 - random.unit()) / rate < static_cast<double>(repeatAfter.count()) ? 1 : 0;
    report({ .name = "claim_home_target_repeats_without_outcome",
        .value = 1e6 * static_cast<double>(refused) / static_cast<double>(samples),
        .unit = "per million",
        .size = static_cast<std::uint64_t>(repeatAfter.count()),
        .baseline = 0,
        .baselineName = "row per claim (outlasts restarts)" });
}

} // namespace chivewinch::bench::internal

int main()
{
    using namespace chivewinch::bench::internal;
    for (const double claimsPerSecond : { 5.0, 20.0, 80.0, 2'000.0 })
        measureIntervals(claimsPerSecond);
    measureHomeTarget();
    for (const auto repeatAfter :
        { std::chrono::seconds { 5 }, std::chrono::seconds { 60 }, std::chrono::seconds { 600 } })
        measureHomeTargetRestarts(repeatAfter);
    return 0;
}
