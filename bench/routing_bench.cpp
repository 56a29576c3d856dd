#include "allocated_bytes.hpp"
#include "base/hash.hpp"
#include "report.hpp"
#include "routing/subset.hpp"
#include "routing_policies.hpp"

#include <array>
#include <chrono>
#include <limits>
#include <malloc.h>
#include <map>
#include <numeric>
#include <ranges>
#include <set>

namespace chivewinch::bench {

namespace {

constexpr std::uint64_t traceCount = 6; ///< Seeds start at 1. The results of single traces vary too much.

struct Comparison {
    ModelResult router;
    ModelResult random;
    ModelResult roundRobin;
    ModelResult stale;
};

/** Runs every policy on the same traces. */
Comparison compare(const ModelOptions& options)
{
    Comparison sum;
    for (std::uint64_t seed = 1; seed <= traceCount; ++seed) {
        const auto trace = makeTrace(options, seed);
        sum.router.add(runPolicy<RouterPolicy>(options, trace));
        sum.random.add(runPolicy<RandomPolicy>(options, trace));
        sum.roundRobin.add(runPolicy<RoundRobinPolicy>(options, trace));
        sum.stale.add(runPolicy<StaleLeastLoadedPolicy>(options, trace));
    }
    return sum;
}

void reportQueueing(const std::string& name, const ModelOptions& options)
{
    auto results = compare(options);
    const auto size = static_cast<std::uint64_t>(options.requestsPerSecond);
    const auto delay = results.router.quantile(0.99);
    const std::array baselines { std::pair { &results.roundRobin, "round robin" },
        std::pair { &results.random, "random" }, std::pair { &results.stale, "least loaded, stale" } };
    for (const auto& [result, baseline] : baselines)
        report({ .name = name + ".queueing_delay_p99",
            .value = delay,
            .unit = "s",
            .size = size,
            .baseline = result->quantile(0.99),
            .baselineName = baseline,
            .goal = result == &results.roundRobin ? "<= half of round robin" : "" });
    for (const auto& [result, baseline] : baselines)
        report({ .name = name + ".prefix_cache_hit_rate",
            .value = results.router.hitRate(),
            .unit = "share",
            .size = size,
            .baseline = result->hitRate(),
            .baselineName = baseline });
}

/** Goodput relative to the capacity of the targets at the cache hit rate of the run. */
double goodputShare(const ModelOptions& options, const std::vector<Arrival>& trace, const ModelResult& result)
{
    const auto decode = std::accumulate(trace.begin(), trace.end(), 0.0, [](double sum, const Arrival& arrival) {
        return sum + arrival.decode;
    }) / static_cast<double>(trace.size());
    const auto prefill = options.prefillHit * result.hitRate() + options.prefillMiss * (1 - result.hitRate());
    const auto slots = static_cast<double>(options.targets * options.capacity);
    const auto time = options.duration - options.warmUp;
    return static_cast<double>(result.good) / time / (slots / (decode + prefill));
}

void reportOverload()
{
    const ModelOptions options { .requestsPerSecond = 324, .deadline = 1 };
    const auto trace = makeTrace(options, 1);
    const auto router = runPolicy<RouterPolicy>(options, trace);
    const auto unlimited = runPolicy<RoundRobinPolicy>(options, trace);
    report({ .name = "routing.goodput_at_twice_capacity",
        .value = goodputShare(options, trace, router),
        .unit = "share of capacity",
        .size = options.targets,
        .baseline = goodputShare(options, trace, unlimited),
        .baselineName = "round robin, no shedding",
        .goal = ">= 0.95" });
}

double amplification(const ModelResult& result)
{
    return static_cast<double>(result.attempts) / static_cast<double>(result.requests);
}

void reportFailures()
{
    const ModelOptions options { .requestsPerSecond = 80, .failingTargets = 5, .maxAttempts = 4 };
    const auto results = compare(options);
    const std::array baselines { std::pair { &results.roundRobin, "round robin" },
        std::pair { &results.random, "random" }, std::pair { &results.stale, "least loaded, stale" } };
    for (const auto& [result, baseline] : baselines)
        report({ .name = "routing.retry_amplification",
            .value = amplification(results.router),
            .unit = "attempts per request",
            .size = options.failingTargets,
            .baseline = amplification(*result),
            .baselineName = baseline,
            .goal = "<= 1.1" });
    for (const auto& [result, baseline] : baselines)
        report({ .name = "routing.success_with_third_failing",
            .value = static_cast<double>(results.router.succeeded) / static_cast<double>(results.router.requests),
            .unit = "share",
            .size = options.failingTargets,
            .baseline = static_cast<double>(result->succeeded) / static_cast<double>(result->requests),
            .baselineName = baseline });
}

struct RouterSetup {
    routing::PoolSpec pool { .name = "model-a", .targets = {} };
    std::vector<membership::TargetView> views;
};

RouterSetup makeSetup(std::size_t targets)
{
    RouterSetup setup;
    for (std::size_t i = 0; i < targets; ++i) {
        setup.pool.targets.push_back("engine-" + std::to_string(i));
        setup.views.push_back({ .target = setup.pool.targets.back(),
            .zone = "z",
            .address = "10.0.0.1:8000",
            .incarnation = base::Incarnation { 1 },
            .state = membership::TargetState::Live });
    }
    return setup;
}

/** Measures the calls choose, started and finished of the router, one request at a time. */
class DecisionTimer {
public:
    DecisionTimer(std::size_t targets, const routing::RouterOptions& options)
        : router { options, this->random }
    {
        const auto setup = makeSetup(targets);
        this->router.setPools({ &setup.pool, 1 });
        this->router.setTargets(setup.views);
    }

    void runRound()
    {
        constexpr std::size_t decisions = 5000;
        const auto begin = std::chrono::steady_clock::now();
        for (std::size_t i = 0; i < decisions; ++i)
            this->decide(this->inFlight[i % this->inFlight.size()], steadyTime(static_cast<double>(i) * 1e-3));
        const std::chrono::duration<double, std::nano> passed = std::chrono::steady_clock::now() - begin;
        this->best = std::min(this->best, passed.count() / decisions);
    }

    /** Nanoseconds per decision in the fastest round. */
    [[nodiscard]] double nanoseconds() const { return this->best; }

private:
    base::SeededRandom random { 1 };
    routing::Router router;
    std::array<base::TargetId, 64> inFlight;
    double best = std::numeric_limits<double>::infinity();

    void decide(base::TargetId& slot, base::SteadyTime now)
    {
        if (!slot.empty())
            this->router.finished(slot, routing::Result::Success,
                routing::LoadReport { .inFlight = 8, .queued = 0, .capacity = 80 }, now);
        const routing::RouteRequest request { .pool = "model-a", .prefixHash = this->random.next() };
        const auto choice = this->router.choose(request, now);
        this->router.started(request, *choice, now);
        slot = choice->target;
    }
};

void reportDecisions()
{
    constexpr std::array<std::size_t, 3> sizes { 10, 100, 2000 };
    const routing::RouterOptions options { .entry = "e", .zone = "z" };
    auto allTargets = options;
    allTargets.useSubset = false;
    std::array timers { DecisionTimer { sizes[0], options }, DecisionTimer { sizes[1], options },
        DecisionTimer { sizes[2], options } };
    // Rounds of the sizes alternate, so that other load on the machine affects all sizes equally.
    for (int round = 0; round < 300; ++round)
        for (auto& timer : timers)
            timer.runRound();
    for (std::size_t i = 0; i < sizes.size(); ++i) {
        DecisionTimer baseline { sizes[i], allTargets };
        baseline.runRound();
        report({ .name = "routing.decision",
            .value = timers[i].nanoseconds(),
            .unit = "ns",
            .size = sizes[i],
            .baseline = baseline.nanoseconds(),
            .baselineName = "no subset" });
    }
    const auto least = std::ranges::min(timers | std::views::transform(&DecisionTimer::nanoseconds));
    const auto most = std::ranges::max(timers | std::views::transform(&DecisionTimer::nanoseconds));
    report({ .name = "routing.decision_growth",
        .value = most / least,
        .unit = "factor",
        .size = sizes.back(),
        .goal = "<= 1.5" });
}

void reportMemory()
{
    for (const std::size_t targets : { 10U, 100U, 2000U }) {
        const auto setup = makeSetup(targets);
        base::SeededRandom random { 1 };
        routing::Router router { { .entry = "e", .zone = "z" }, random };
        const auto before = allocatedBytes();
        router.setPools({ &setup.pool, 1 });
        router.setTargets(setup.views);
        report({ .name = "routing.memory_per_target",
            .value = static_cast<double>(allocatedBytes() - before) / static_cast<double>(targets),
            .unit = "bytes",
            .size = targets });
    }
}

/** Measures one membership change at design scale: 9 models on 2,000 targets in 6 zones, 58 entries in this zone. */
void reportUpdate()
{
    constexpr std::size_t zones = 6;
    constexpr std::size_t models = 9;
    auto setup = makeSetup(2000);
    std::vector<routing::PoolSpec> pools(models);
    for (std::size_t i = 0; i < setup.views.size(); ++i) {
        setup.views[i].zone = "z" + std::to_string(i % zones);
        pools[i / zones % models].name = "model-" + std::to_string(i / zones % models);
        pools[i / zones % models].targets.push_back(setup.views[i].target);
    }
    std::vector<std::string> entries;
    for (int i = 0; i < 58; ++i)
        entries.push_back("entry-" + std::to_string(i));
    base::SeededRandom random { 1 };
    routing::Router router { { .entry = entries.front(), .zone = "z0" }, random };
    router.setPools(pools);
    router.setPeers(entries);
    auto best = std::numeric_limits<double>::infinity();
    for (int round = 0; round < 50; ++round) {
        const auto begin = std::chrono::steady_clock::now();
        router.setTargets(setup.views);
        const std::chrono::duration<double, std::micro> passed = std::chrono::steady_clock::now() - begin;
        best = std::min(best, passed.count());
    }
    report({ .name = "routing.membership_update", .value = best, .unit = "us", .size = setup.views.size() });
}

std::vector<std::uint64_t> makeHashes(const std::string& prefix, std::size_t count)
{
    std::vector<std::uint64_t> hashes;
    for (std::size_t i = 0; i < count; ++i)
        hashes.push_back(base::hash64(prefix + std::to_string(i)));
    std::ranges::sort(hashes);
    return hashes;
}

using Subsets = std::vector<std::set<std::uint64_t>>; ///< For each entry, the hashes of its chosen targets.

Subsets makeSubsets(std::span<const std::uint64_t> entries, std::span<const std::uint64_t> targets, bool isEven)
{
    constexpr std::size_t size = 16;
    Subsets subsets;
    for (const auto& entry : entries) {
        const auto chosen = isEven ? routing::chooseEvenSubset(entry, entries, targets, size, 1.1)
                                   : routing::chooseSubset(entry, targets, size);
        subsets.emplace_back();
        for (const auto index : chosen)
            subsets.back().insert(targets[index]);
    }
    return subsets;
}

double maxToMean(const Subsets& subsets, std::size_t targets)
{
    std::map<std::uint64_t, std::size_t> uses;
    std::size_t sum = 0;
    for (const auto& subset : subsets) {
        sum += subset.size();
        for (const auto target : subset)
            ++uses[target];
    }
    const auto most = std::ranges::max(uses | std::views::values);
    return static_cast<double>(most * targets) / static_cast<double>(sum);
}

/** Number of new assignments after the removal of the first target, divided by the number of assignments it had. */
double movesPerLoss(std::span<const std::uint64_t> entries, std::span<const std::uint64_t> targets, bool isEven)
{
    const auto before = makeSubsets(entries, targets, isEven);
    const auto after = makeSubsets(entries, targets.subspan(1), isEven);
    std::size_t lost = 0;
    std::size_t added = 0;
    for (std::size_t i = 0; i < entries.size(); ++i) {
        lost += before[i].contains(targets[0]) ? 1 : 0;
        for (const auto target : after[i])
            added += before[i].contains(target) ? 0 : 1;
    }
    return static_cast<double>(added) / static_cast<double>(lost);
}

/** Measures subsets of one model in one zone at design scale: 350 daemons, and 2,000 engines of 9 models, in 6 zones.
 */
void reportSubsets()
{
    const auto entries = makeHashes("entry-", 58);
    const auto targets = makeHashes("engine-", 37);
    report({ .name = "routing.subset_coverage_max_to_mean",
        .value = maxToMean(makeSubsets(entries, targets, true), targets.size()),
        .unit = "factor",
        .size = targets.size(),
        .baseline = maxToMean(makeSubsets(entries, targets, false), targets.size()),
        .baselineName = "plain rendezvous" });
    report({ .name = "routing.subset_moves_per_lost_assignment",
        .value = movesPerLoss(entries, targets, true),
        .unit = "factor",
        .size = targets.size(),
        .baseline = movesPerLoss(entries, targets, false),
        .baselineName = "plain rendezvous" });
}

} // namespace

} // namespace chivewinch::bench

int main()
{
    using namespace chivewinch::bench;
    reportQueueing("routing", { .requestsPerSecond = 135 });
    reportQueueing("routing", { .requestsPerSecond = 144 });
    reportQueueing("routing.small_targets", { .capacity = 8, .decodeMean = 0.8, .requestsPerSecond = 85 });
    reportOverload();
    reportFailures();
    reportDecisions();
    reportMemory();
    reportUpdate();
    reportSubsets();
}
