#include "../tests/bundle/cluster.hpp"
#include "bundle/operations.hpp"
#include "bundle/parse.hpp"
#include "bundle/rollout_confirmer.hpp"
#include "report.hpp"

#include <algorithm>
#include <chrono>
#include <functional>
#include <memory>
#include <vector>

namespace chivewinch::bundle {

namespace {

using namespace std::chrono_literals;
using bench::report;

constexpr double changesPerSecond = 3100.0 / 86'400;
constexpr int repetitions = 5;

/** Shortest time of several runs in milliseconds. */
double shortestMilliseconds(const std::function<void()>& run)
{
    double best = 1e12;
    for (int i = 0; i < repetitions; ++i) {
        const auto start = std::chrono::steady_clock::now();
        run();
        const std::chrono::duration<double, std::milli> elapsed = std::chrono::steady_clock::now() - start;
        best = std::min(best, elapsed.count());
    }
    return best;
}

Proof proofOf(const Bundle& bundle, std::uint64_t version)
{
    return sample::sign({ .version = base::BundleVersion { version },
        .base = base::BundleVersion { version - 1 },
        .content = contentHash(bundle),
        .signatures = {} });
}

std::size_t targetsFor(std::size_t teams) { return teams >= 12'000 ? 2000 : teams / 6 + 10; }

void measureSize(std::size_t teams)
{
    const auto bundle = sample::bundle(teams, targetsFor(teams));
    const auto toml = toToml(bundle);
    const auto parts = encode(bundle);
    std::size_t wholeBytes = 0;
    for (const auto& [name, records] : parts)
        wholeBytes += partText(records).size();
    auto changed = bundle;
    changed.teams[teams / 2].rate += 1;
    const auto delta = difference(parts, encode(changed));

    const auto parseTime = shortestMilliseconds([&] {
        std::vector<ConfigError> errors;
        if (!parse(toml, errors))
            std::abort();
    });
    report({ .name = "bundle_parse_toml", .value = parseTime, .unit = "ms", .size = teams });
    report({ .name = "bundle_check",
        .value = shortestMilliseconds([&] { (void)check(bundle); }),
        .unit = "ms",
        .size = teams });
    report({ .name = "bundle_encode_and_hash",
        .value = shortestMilliseconds([&] { (void)contentHash(bundle); }),
        .unit = "ms",
        .size = teams });
    const auto first = proofOf(bundle, 1);
    const auto second = proofOf(changed, 2);
    const auto verifyTime = shortestMilliseconds([&] {
        Error reason;
        if (!verifyProof(first, sample::trustedKeys(), reason))
            std::abort();
    });
    report({ .name = "bundle_verify_signatures", .value = verifyTime, .unit = "ms", .size = teams });
    const auto whole = shortestMilliseconds([&] {
        Replica replica { sample::trustedKeys() };
        if (!replica.apply(first, parts))
            std::abort();
    });
    report({ .name = "bundle_apply_whole", .value = whole, .unit = "ms", .size = teams });
    Replica replica { sample::trustedKeys() };
    if (!replica.apply(first, parts))
        std::abort();
    const auto start = std::chrono::steady_clock::now();
    if (!replica.apply(second, delta))
        std::abort();
    const std::chrono::duration<double, std::milli> applied = std::chrono::steady_clock::now() - start;
    report({ .name = "bundle_apply_one_change",
        .value = applied.count(),
        .unit = "ms",
        .size = teams,
        .baseline = whole,
        .baselineName = "apply whole bundle" });

    const auto reply = makeReply(replica, { .have = base::BundleVersion { 1 }, .parts = {} });
    const auto bytes = static_cast<double>(reply.manifest.size());
    const auto headBytes = static_cast<double>(
        encode(HeadRecord { .last = second.version, .rolled = second, .by = "operator", .nonce = std::string(32, '0') })
            .size());
    report({ .name = "bundle_bytes_per_change",
        .value = bytes,
        .unit = "B",
        .size = teams,
        .baseline = static_cast<double>(wholeBytes),
        .baselineName = "whole bundle" });
    report({ .name = "bundle_bytes_per_second",
        .value = bytes * changesPerSecond,
        .unit = "B/s",
        .size = teams,
        .baseline = static_cast<double>(wholeBytes),
        .baselineName = "poll whole bundle every 1 s",
        .goal = "< 1000" });
    report({ .name = "bundle_bytes_per_second_reader",
        .value = headBytes + bytes * changesPerSecond,
        .unit = "B/s",
        .size = teams,
        .baseline = static_cast<double>(wholeBytes),
        .baselineName = "poll whole bundle every 1 s",
        .goal = "< 1000" });
}

/** Lease and rollout confirmer of one reader. */
struct LeaseCompetitor {
    LeaseCompetitor(sample::Cluster& cluster, sample::Cluster::Process& process)
        : operations { process.tables, process.objects, cluster.random, sample::trustedKeys(), process.self.id }
        , lease { "rollout", process.self.id, process.tables, cluster.scheduler, cluster.clock, cluster.random,
            [](auto, auto) {} }
        , confirmer { this->operations, this->lease }
    {
        this->lease.start();
    }

    Operations operations;
    lease::Lease lease;
    RolloutConfirmer confirmer;
};

struct Rates {
    double reads = 0;
    double writes = 0;
};

void rollOneChange(Operations& operations, Bundle& bundle, base::BundleVersion& version)
{
    bundle.teams[0].rate += 1;
    const auto base = version;
    operations.propose(bundle, base, [&](const auto& record, const Error&) { version = record->proof.version; });
    for (const auto& owner : { sample::firstOwner, sample::secondOwner })
        operations.sign(version, owner, sample::keyOf(owner), [](const auto&, const Error&) {});
    operations.roll(version, [](const auto&, const Error&) {});
}

/** Requests per second that the store receives during 21 changes (about ten minutes) at the design's rate of changes.
 */
Rates countRates(std::size_t processes, bool usePeers)
{
    sample::Cluster cluster { 1 };
    Operations operations { cluster.countedTables, cluster.countedObjects, cluster.random, sample::trustedKeys(),
        "operator" };
    auto bundle = sample::bundle(50, 20);
    base::BundleVersion version {};
    rollOneChange(operations, bundle, version);
    const std::size_t zones = processes < 6 ? 3 : 6;
    for (std::size_t i = 0; i < processes; ++i)
        cluster.start("zone-" + std::to_string(i % zones), {}, { .usePeers = usePeers });
    cluster.run(10s);
    std::vector<std::unique_ptr<LeaseCompetitor>> leaseCompetitors;
    for (const auto& [id, process] : cluster.processes) {
        if (process->distributor.isReader() && leaseCompetitors.size() < 2 * zones)
            leaseCompetitors.push_back(std::make_unique<LeaseCompetitor>(cluster, *process));
    }
    cluster.run(60s);
    cluster.counts = {};
    const auto changeEvery = std::chrono::milliseconds { static_cast<int>(1000 / changesPerSecond) };
    constexpr int changes = 21;
    for (int change = 0; change < changes; ++change) {
        rollOneChange(operations, bundle, version);
        for (auto elapsed = 0ms; elapsed < changeEvery; elapsed += 1000ms) {
            cluster.run(std::min<std::chrono::milliseconds>(1000ms, changeEvery - elapsed));
            std::map<std::string, base::BundleVersion> live;
            for (const auto& [id, process] : cluster.processes)
                live[id] = process->replica.version();
            for (const auto& confirmer : leaseCompetitors)
                confirmer->confirmer.update(version, live);
        }
        if (!cluster.allAtHeadVersion())
            std::abort();
    }
    const std::chrono::duration<double> total = changeEvery * changes;
    return { .reads = static_cast<double>(cluster.counts.reads) / total.count(),
        .writes = static_cast<double>(cluster.counts.writes) / total.count() };
}

void measureRates()
{
    std::map<std::size_t, Rates> withPeers;
    std::map<std::size_t, Rates> baseline;
    const auto reportBoth = [&](std::size_t processes) {
        report({ .name = "store_reads_per_second",
            .value = withPeers[processes].reads,
            .unit = "1/s",
            .size = processes,
            .baseline = baseline[processes].reads,
            .baselineName = "each process polls the store",
            .goal = "< 200" });
        report({ .name = "store_writes_per_second",
            .value = withPeers[processes].writes,
            .unit = "1/s",
            .size = processes,
            .baseline = baseline[processes].writes,
            .baselineName = "each process polls the store",
            .goal = "< 30" });
    };
    for (const std::size_t processes : { 3U, 30U, 120U }) {
        withPeers[processes] = countRates(processes, true);
        baseline[processes] = countRates(processes, false);
        reportBoth(processes);
    }
    const auto extrapolate = [](const std::map<std::size_t, Rates>& rates, double Rates::*member) {
        const auto slope = (rates.at(120).*member - rates.at(30).*member) / 90;
        return rates.at(120).*member + slope * 230;
    };
    for (auto* rates : { &withPeers, &baseline }) {
        const Rates scaled { .reads = extrapolate(*rates, &Rates::reads),
            .writes = extrapolate(*rates, &Rates::writes) };
        (*rates)[350] = scaled;
    }
    reportBoth(350);
}

/** Seconds from each roll until all 30 processes use the new version, sorted. Messages take 0 to 5 ms. */
std::vector<double> rolloutTimes(bool usePeers)
{
    sample::Cluster cluster { 2 };
    auto bundle = sample::bundle(20, 5);
    cluster.roll(bundle);
    for (std::size_t i = 0; i < 30; ++i)
        cluster.start("zone-" + std::to_string(i % 3), {}, { .usePeers = usePeers });
    cluster.run(10s);
    std::vector<double> times;
    constexpr int changes = 200;
    for (int change = 0; change < changes; ++change) {
        cluster.run(std::chrono::milliseconds { cluster.random.below(5000) });
        bundle.teams[0].rate += 1;
        cluster.roll(bundle);
        auto elapsed = 0ms;
        for (; !cluster.allAtHeadVersion(); elapsed += 10ms)
            cluster.run(10ms);
        times.push_back(std::chrono::duration<double> { elapsed }.count());
    }
    std::ranges::sort(times);
    return times;
}

void measureRollout()
{
    const auto withPeers = rolloutTimes(true);
    const auto baseline = rolloutTimes(false);
    const std::vector<std::pair<std::string, std::size_t>> quantiles {
        { "rollout_seconds_median", withPeers.size() / 2 }, { "rollout_seconds_max", withPeers.size() - 1 }
    };
    for (const auto& [name, index] : quantiles)
        report({ .name = name,
            .value = withPeers[index],
            .unit = "s",
            .size = 30,
            .baseline = baseline[index],
            .baselineName = "each process polls the store",
            .goal = "< 2" });
}

} // namespace

} // namespace chivewinch::bundle

int main()
{
    for (const std::size_t teams : { 10U, 1200U, 12'000U })
        chivewinch::bundle::measureSize(teams);
    chivewinch::bundle::measureRollout();
    chivewinch::bundle::measureRates();
}
