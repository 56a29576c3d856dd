#include "base/clock.hpp"
#include "base/random.hpp"
#include "delivery/answer_checker.hpp"
#include "delivery/delivery_plan.hpp"
#include "delivery/gate.hpp"
#include "report.hpp"

#include <algorithm>
#include <chrono>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace chivewinch::bench::internal {

using namespace std::chrono_literals;

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

constexpr delivery::AttemptKey key { .attempt = { .request = { .high = 1, .low = 2 }, .number = 1 },
    .incarnation = base::Incarnation { 1 } };

void measureFrames(std::size_t payloadBytes)
{
    constexpr std::size_t frames = 200;
    constexpr std::size_t answers = 2'000;
    const std::string payload(payloadBytes, 'x');
    const auto checked = nanosecondsPer(frames * answers, [&] {
        for (std::size_t answer = 0; answer < answers; ++answer) {
            delivery::AnswerChecker checker;
            checker.open(key, delivery::AnswerStart::Fresh);
            for (std::uint64_t i = 0; i < frames; ++i)
                sink += checker.accept({ .key = key, .sequence = i, .payload = payload, .tokens = 1 }).forward.size();
        }
    });
    const auto collected = nanosecondsPer(frames * answers, [&] {
        for (std::size_t answer = 0; answer < answers; ++answer) {
            std::string whole;
            for (std::uint64_t i = 0; i < frames; ++i)
                whole += payload;
            sink += base::hash64(whole);
        }
    });
    report({ .name = "delivery_frame_check",
        .value = checked,
        .unit = "ns",
        .size = payloadBytes,
        .baseline = collected,
        .baselineName = "collect and hash at the end" });
}

delivery::AttemptStart startOf(std::uint64_t index, base::WallTime issued)
{
    return { .key = { .attempt = { .request = { .high = index * 0x9E3779B97F4A7C15ULL, .low = index }, .number = 1 },
                 .incarnation = base::Incarnation { 1 } },
        .issued = issued,
        .lifetime = 30s,
        .remaining = 60s };
}

/** Counts the bytes that are allocated at the moment. Measures the memory of the baseline. */
template <typename T> struct CountingAllocator {
    using value_type = T;
    static constexpr std::size_t elementBytes
        = sizeof(value_type); // NOLINT(bugprone-sizeof-expression): may be a pointer
    std::shared_ptr<std::size_t> bytes = std::make_shared<std::size_t>(0);

    CountingAllocator() = default;
    template <typename Other>
    explicit CountingAllocator(const CountingAllocator<Other>& other)
        : bytes { other.bytes }
    {
    }
    T* allocate(std::size_t count)
    {
        *this->bytes += count * elementBytes;
        return std::allocator<T> {}.allocate(count);
    }
    void deallocate(T* pointer, std::size_t count)
    {
        *this->bytes -= count * elementBytes;
        std::allocator<T> {}.deallocate(pointer, count);
    }
    template <typename Other> bool operator==(const CountingAllocator<Other>& other) const
    {
        return this->bytes == other.bytes;
    }
};

/** Baseline of the gate: an unbounded node-based map without incarnations, lifetimes or a floor. */
using NaiveRecord = std::unordered_map<base::AttemptId, delivery::RecordState, std::hash<base::AttemptId>,
    std::equal_to<>, CountingAllocator<std::pair<const base::AttemptId, delivery::RecordState>>>;

/** Measures a gate whose records are spread evenly over the retention time, as at a steady request rate. */
void measureGate(std::size_t records)
{
    const auto step = std::chrono::nanoseconds { delivery::GateOptions {}.retention } / static_cast<long>(records);
    std::size_t gateBytes = 0;
    std::size_t recorded = 0;
    const auto bounded = nanosecondsPer(records, [&] {
        base::ManualClock clock;
        delivery::Gate gate { clock, base::Incarnation { 1 } };
        for (std::uint64_t i = 0; i < records; ++i) {
            clock.advance(step);
            const auto start = startOf(i, clock.wallNow());
            sink += gate.admit(start).admitted ? 1 : 0;
            gate.finish(start.key.attempt, base::Outcome::Done);
        }
        gateBytes = gate.load().recordBytes;
        recorded = gate.load().records;
    });
    std::size_t naiveBytes = 0;
    const auto naive = nanosecondsPer(records, [&] {
        const CountingAllocator<std::pair<const base::AttemptId, delivery::RecordState>> allocator;
        NaiveRecord record { allocator };
        for (std::uint64_t i = 0; i < records; ++i) {
            const auto start = startOf(i, base::WallTime {});
            sink += record.try_emplace(start.key.attempt, delivery::RecordState::Running).second ? 1 : 0;
            record[start.key.attempt] = delivery::RecordState::Done;
        }
        naiveBytes = *allocator.bytes;
    });
    report({ .name = "delivery_admit_and_finish",
        .value = bounded,
        .unit = "ns",
        .size = records,
        .baseline = naive,
        .baselineName = "unbounded map" });
    report({ .name = "delivery_memory_per_record",
        .value = static_cast<double>(gateBytes) / static_cast<double>(recorded),
        .unit = "bytes",
        .size = records,
        .baseline = static_cast<double>(naiveBytes) / static_cast<double>(records),
        .baselineName = "unbounded map" });
}

void measureDuplicates(std::size_t records)
{
    base::ManualClock clock;
    delivery::Gate gate { clock, base::Incarnation { 1 } };
    const auto issued = clock.wallNow();
    for (std::uint64_t i = 0; i < records; ++i) {
        sink += gate.admit(startOf(i, issued)).admitted ? 1 : 0;
        gate.finish(startOf(i, issued).key.attempt, base::Outcome::Done);
    }
    base::SeededRandom random { 1 };
    constexpr std::size_t copies = 100'000;
    const auto refused = nanosecondsPer(copies, [&] {
        for (std::size_t i = 0; i < copies; ++i)
            sink += gate.admit(startOf(random.below(records), issued)).notRun ? 1 : 0;
    });
    report({ .name = "delivery_refuse_copy", .value = refused, .unit = "ns", .size = records });
}

void measurePlan()
{
    constexpr std::size_t requests = 200'000;
    const auto time = nanosecondsPer(requests, [&] {
        for (std::size_t i = 0; i < requests; ++i) {
            delivery::DeliveryPlan plan { { .high = 1, .low = i }, { .repeatable = true } };
            const auto first = plan.begin(base::Incarnation { 1 });
            const auto retry = plan.handle({ .key = first, .kind = delivery::EventKind::ConnectionLost }, {});
            const auto second = plan.begin(base::Incarnation { 1 });
            const auto done = plan.handle({ .key = second, .kind = delivery::EventKind::Complete }, {});
            sink += retry->index() + done->index();
        }
    });
    report({ .name = "delivery_plan_with_one_retry", .value = time, .unit = "ns", .size = 2 });
}

} // namespace chivewinch::bench::internal

int main()
{
    using namespace chivewinch::bench::internal;
    for (const std::size_t payloadBytes : { 16, 256, 4'096 })
        measureFrames(payloadBytes);
    for (const std::size_t records : { 1'000, 20'000, 200'000 })
        measureGate(records);
    for (const std::size_t records : { 1'000, 20'000, 199'999 })
        measureDuplicates(records);
    measurePlan();
    return sink == 0 ? 1 : 0;
}
