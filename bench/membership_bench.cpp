#include "allocated_bytes.hpp"
#include "base/random.hpp"
#include "membership/target_table.hpp"
#include "report.hpp"

#include <algorithm>
#include <chrono>
#include <limits>
#include <malloc.h>
#include <string>
#include <vector>

namespace chivewinch::bench {

namespace {

using namespace std::chrono_literals;
using membership::Event;
using membership::EventKind;
using membership::TargetTable;

constexpr auto tick = membership::Options {}.advanceInterval;
constexpr base::SteadyTime start { 1h };

Event heartbeat(std::size_t target, std::uint64_t sequence)
{
    return { .kind = EventKind::Heartbeat,
        .target = "engine-" + std::to_string(target),
        .zone = "z",
        .address = "10.0.0.1:8000",
        .incarnation = base::Incarnation { 1'700'000'000'000'000'000ULL },
        .sequence = sequence };
}

/** Time from the stop of the first target until the table no longer lists it as usable. Heartbeat phases are random. */
std::chrono::nanoseconds timeUntilUnused(std::uint64_t seed, bool sendsGoodbye)
{
    constexpr std::size_t targets = 16;
    constexpr auto networkDelay = 1ms;
    base::SeededRandom random { seed };
    TargetTable table;
    std::vector<base::SteadyTime> next(targets);
    std::vector<std::uint64_t> sequences(targets);
    for (auto& time : next)
        time = start + std::chrono::milliseconds { random.below(1000) };
    const auto stop = start + 5s + std::chrono::milliseconds { random.below(1000) };
    bool announced = false;
    for (auto now = start; now < stop + 20s; now += 1ms) {
        for (std::size_t i = 0; i < targets; ++i) {
            if (now < next[i] || (i == 0 && now >= stop))
                continue;
            table.apply(heartbeat(i, ++sequences[i]), now);
            next[i] += 1s;
        }
        if (sendsGoodbye && !announced && now >= stop + networkDelay) {
            auto goodbye = heartbeat(0, 0);
            goodbye.kind = EventKind::Goodbye;
            table.apply(goodbye, now);
            announced = true;
        }
        if ((now - start) % tick == 0ns)
            table.advance(now);
        if (now > stop
            && std::ranges::none_of(table.usable("z"), [](const auto& view) { return view.target == "engine-0"; }))
            return now - stop;
    }
    return 20s;
}

void reportStops()
{
    constexpr std::uint64_t trials = 50;
    constexpr double listLagSeconds = 30;
    for (const bool sendsGoodbye : { true, false }) {
        std::chrono::nanoseconds longest { 0 };
        for (std::uint64_t seed = 1; seed <= trials; ++seed)
            longest = std::max(longest, timeUntilUnused(seed, sendsGoodbye));
        report(
            { .name = sendsGoodbye ? "membership.leaving_target_unused_after" : "membership.dead_target_unused_after",
                .value = std::chrono::duration<double>(longest).count(),
                .unit = "s",
                .size = trials,
                .baseline = listLagSeconds,
                .baselineName = "list with an assumed lag of 30 s",
                .goal = "<= 3" });
    }
}

template <typename Action> double nanosecondsPer(std::size_t count, const Action& action)
{
    auto best = std::numeric_limits<double>::infinity();
    for (int round = 0; round < 5; ++round) {
        const auto begin = std::chrono::steady_clock::now();
        action();
        const std::chrono::duration<double, std::nano> passed = std::chrono::steady_clock::now() - begin;
        best = std::min(best, passed.count() / static_cast<double>(count));
    }
    return best;
}

void reportCosts()
{
    for (const std::size_t targets : { 10U, 100U, 2000U }) {
        std::vector<Event> events;
        for (std::size_t i = 0; i < targets; ++i)
            events.push_back(heartbeat(i, 0));
        const auto before = allocatedBytes();
        TargetTable table;
        for (auto& event : events) {
            ++event.sequence;
            table.apply(event, start);
        }
        report({ .name = "membership.memory_per_target",
            .value = static_cast<double>(allocatedBytes() - before) / static_cast<double>(targets),
            .unit = "bytes",
            .size = targets });
        const auto applyAll = [&] {
            for (auto& event : events) {
                ++event.sequence;
                table.apply(event, start);
            }
        };
        report({ .name = "membership.heartbeat",
            .value = nanosecondsPer(targets, applyAll),
            .unit = "ns",
            .size = targets });
        report({ .name = "membership.advance_per_target",
            .value = nanosecondsPer(targets, [&] { table.advance(start); }),
            .unit = "ns",
            .size = targets });
    }
}

} // namespace

} // namespace chivewinch::bench

int main()
{
    chivewinch::bench::reportStops();
    chivewinch::bench::reportCosts();
}
