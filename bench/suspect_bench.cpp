#include "base/clock.hpp"
#include "base/random.hpp"
#include "report.hpp"
#include "suspect/entry_guard.hpp"
#include "suspect/target_guard.hpp"

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

namespace chivewinch::bench::internal {

constexpr int repetitions = 7;

/** Nanoseconds per operation, as the median of all repetitions. */
template <typename Function> double nanosecondsPer(std::size_t operations, Function run)
{
    std::vector<double> samples;
    for (int i = 0; i < repetitions; ++i) {
        const auto begin = std::chrono::steady_clock::now();
        run();
        const std::chrono::duration<double, std::nano> elapsed = std::chrono::steady_clock::now() - begin;
        samples.push_back(elapsed.count() / static_cast<double>(operations));
    }
    std::nth_element(samples.begin(), samples.begin() + repetitions / 2, samples.end());
    return samples[repetitions / 2];
}

std::uint64_t sink = 0;

std::vector<base::TargetId> targetNames(std::size_t count)
{
    std::vector<base::TargetId> names;
    for (std::size_t i = 0; i < count; ++i)
        names.push_back("target-" + std::to_string(i));
    return names;
}

void fill(suspect::StrikeTable& table, std::size_t strikes)
{
    for (std::uint64_t i = 0; i < strikes; ++i) {
        const std::uint64_t inFlight[] = { i * 0x9E3779B97F4A7C15ULL };
        table.recordCrash("target-" + std::to_string(i % 16), base::Incarnation { 1 }, inFlight);
    }
}

/** Measures the check of a request without strikes, the case of nearly every request. */
void measureCheck(std::size_t strikes)
{
    constexpr std::size_t checks = 1'000'000;
    base::ManualClock clock;
    suspect::StrikeTable table { clock };
    suspect::TargetGuard guard { table, "target-0" };
    fill(table, strikes);
    base::SeededRandom random { 1 };
    std::vector<std::uint64_t> fingerprints(1'024);
    for (auto& fingerprint : fingerprints)
        fingerprint = random.next();
    const auto hashed = nanosecondsPer(checks, [&] {
        for (std::size_t i = 0; i < checks; ++i)
            sink += guard.check(fingerprints[i % fingerprints.size()]) == base::RefusalReason::None ? 1 : 0;
    });
    std::vector<std::uint64_t> list;
    for (std::uint64_t i = 0; i < strikes; ++i)
        list.push_back(i * 0x9E3779B97F4A7C15ULL);
    constexpr std::size_t scans = 20'000;
    const auto scanned = nanosecondsPer(scans, [&] {
        for (std::size_t i = 0; i < scans; ++i)
            sink += std::count(list.begin(), list.end(), fingerprints[i % fingerprints.size()]) == 0 ? 1 : 0;
    });
    report({ .name = "suspect_check_unstruck",
        .value = hashed,
        .unit = "ns",
        .size = strikes,
        .baseline = scanned,
        .baselineName = "scan of a list" });
}

/** Measures placement by an entry with the candidate pair. The baseline chooses among all targets. */
void measurePlace(std::size_t targets)
{
    constexpr std::size_t placements = 100'000;
    base::ManualClock clock;
    suspect::StrikeTable table { clock };
    fill(table, 64);
    const auto names = targetNames(targets);
    const suspect::EntryGuard paired { clock, table };
    const suspect::EntryGuard unpaired { clock, table, { .useCandidatePair = false } };
    const auto time = [&](const suspect::EntryGuard& guard) {
        return nanosecondsPer(placements, [&] {
            for (std::uint64_t i = 1; i <= placements; ++i)
                sink += guard.place(i, names, names).targets.size();
        });
    };
    report({ .name = "suspect_place",
        .value = time(paired),
        .unit = "ns",
        .size = targets,
        .baseline = time(unpaired),
        .baselineName = "without pair (copies all targets)" });
}

void measureLists(std::size_t strikes)
{
    constexpr std::size_t lists = 200;
    base::ManualClock clock;
    suspect::StrikeTable sender { clock };
    fill(sender, strikes);
    suspect::StrikeList list;
    const auto reporting = nanosecondsPer(lists, [&] {
        for (std::size_t i = 0; i < lists; ++i)
            list = sender.report();
    });
    suspect::StrikeTable receiver { clock };
    const auto merging = nanosecondsPer(lists, [&] {
        for (std::size_t i = 0; i < lists; ++i)
            receiver.merge(list);
    });
    sink += receiver.size();
    report({ .name = "suspect_report", .value = reporting / 1'000, .unit = "us", .size = strikes });
    report({ .name = "suspect_merge", .value = merging / 1'000, .unit = "us", .size = list.size() });
}

} // namespace chivewinch::bench::internal

int main()
{
    using namespace chivewinch::bench::internal;
    for (const std::size_t strikes : { 0, 64, 4'096 })
        measureCheck(strikes);
    for (const std::size_t targets : { 16, 128 })
        measurePlace(targets);
    for (const std::size_t strikes : { 64, 4'096 })
        measureLists(strikes);
    return sink == 0 ? 1 : 0;
}
