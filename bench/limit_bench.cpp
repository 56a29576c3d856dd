#include "allocated_bytes.hpp"
#include "base/random.hpp"
#include "limit/load_shedder.hpp"
#include "limit/team_limiter.hpp"
#include "report.hpp"

#include <algorithm>
#include <chrono>
#include <deque>
#include <limits>
#include <malloc.h>
#include <map>
#include <string>
#include <vector>

namespace chivewinch::bench {

namespace {

using namespace std::chrono_literals;

constexpr base::SteadyTime start { 1h };

/** Load, load shedding and the behaviour of refused callers. */
struct OverloadOptions {
    bool shed = true;
    bool obeyRetryAfter = true; ///< If false, refused callers retry after 100 ms.
    double load = 2; ///< New requests relative to the capacity.
    std::chrono::nanoseconds duration { 60s };
};

struct OverloadResult {
    double goodput = 0; ///< Relative to the capacity.
    double attemptsPerRequest = 0;
    double fairShare = 0; ///< Goodput of the small owner relative to half of the capacity.
};

/** One pool behind a first-in-first-out queue. Callers wait one second per attempt and make up to five attempts. */
class OverloadModel {
public:
    explicit OverloadModel(const OverloadOptions& options)
        : options { options }
        , shedder { { .enabled = options.shed } }
    {
    }

    OverloadResult run()
    {
        double due = 0;
        double work = 0;
        for (auto now = start; now < start + this->options.duration; now += 1ms) {
            for (due += this->options.load * capacity * 1e-3; due >= 1; due -= 1) {
                ++this->requests;
                this->arrive({ .owner = this->random.below(4) == 0 ? "small" : "large" }, now);
            }
            while (!this->pendingRetries.empty() && this->pendingRetries.begin()->first <= now)
                this->arrive(this->pendingRetries.extract(this->pendingRetries.begin()).mapped(), now);
            for (work += capacity * 1e-3; work >= 1; work -= 1)
                this->serveOne(now);
            this->shedder.setQueued(this->queue.size());
        }
        const auto possible = capacity * std::chrono::duration<double>(this->options.duration).count();
        return { .goodput = static_cast<double>(this->servedInTime) / possible,
            .attemptsPerRequest = static_cast<double>(this->attempts) / static_cast<double>(this->requests),
            .fairShare = static_cast<double>(this->servedOfSmallOwner) / (possible / 2) };
    }

private:
    static constexpr double capacity = 1000; ///< Requests per second.
    static constexpr auto callerTimeout = 1s;
    static constexpr int maxAttempts = 5;

    struct Caller {
        const char* owner = "";
        int attempts = 0;
        base::SteadyTime arrived {};
    };

    OverloadOptions options;
    base::SeededRandom random { 1 };
    limit::LoadShedder shedder;
    std::deque<Caller> queue;
    std::multimap<base::SteadyTime, Caller> pendingRetries;
    std::uint64_t requests = 0;
    std::uint64_t attempts = 0;
    std::uint64_t servedInTime = 0;
    std::uint64_t servedOfSmallOwner = 0;

    void scheduleRetry(const Caller& caller, base::SteadyTime time)
    {
        if (caller.attempts < maxAttempts)
            this->pendingRetries.emplace(time, caller);
    }

    void arrive(Caller caller, base::SteadyTime now)
    {
        ++this->attempts;
        ++caller.attempts;
        caller.arrived = now;
        const auto decision = this->shedder.admit(caller.owner, 0, now);
        if (decision.admitted())
            this->queue.push_back(caller);
        else
            this->scheduleRetry(caller, now + (this->options.obeyRetryAfter ? decision.retryAfter : 100ms));
    }

    void serveOne(base::SteadyTime now)
    {
        if (this->queue.empty())
            return;
        const auto caller = this->queue.front();
        this->queue.pop_front();
        this->shedder.served(now);
        if (now - caller.arrived > callerTimeout) {
            // The caller timed out and sends the request again, so the work of the target is wasted.
            this->scheduleRetry(caller, now);
            return;
        }
        ++this->servedInTime;
        this->servedOfSmallOwner += std::string_view { caller.owner } == "small" ? 1 : 0;
    }
};

void reportOverload()
{
    const auto shed = OverloadModel { {} }.run();
    const auto withoutRetryDelay = OverloadModel { { .obeyRetryAfter = false } }.run();
    const auto unlimited = OverloadModel { { .shed = false } }.run();
    report({ .name = "limit.goodput_at_twice_capacity",
        .value = shed.goodput,
        .unit = "share of capacity",
        .size = 2,
        .baseline = unlimited.goodput,
        .baselineName = "no shedding",
        .goal = ">= 0.95" });
    report({ .name = "limit.goodput_in_retry_storm",
        .value = withoutRetryDelay.goodput,
        .unit = "share of capacity",
        .size = 2,
        .baseline = unlimited.goodput,
        .baselineName = "no shedding",
        .goal = ">= 0.95" });
    report({ .name = "limit.small_owner_share",
        .value = shed.fairShare,
        .unit = "of its fair share",
        .size = 2,
        .baseline = unlimited.fairShare,
        .baselineName = "no shedding" });
    report({ .name = "limit.attempts_per_request",
        .value = shed.attemptsPerRequest,
        .unit = "attempts",
        .size = 2,
        .baseline = withoutRetryDelay.attemptsPerRequest,
        .baselineName = "callers ignore Retry-After" });
}

/** Requests that all entries admit, relative to the limit, while each entry is isolated and sees only itself. */
double overAdmission(std::size_t entryCount, bool useMinimumDivisor)
{
    constexpr double limit = 100;
    const limit::TeamLimit team { .team = "t", .requestsPerSecond = limit, .concurrency = 1e6 };
    std::uint64_t admitted = 0;
    for (std::size_t i = 0; i < entryCount; ++i) {
        limit::TeamLimiter limiter { { .useMinimumDivisor = useMinimumDivisor } };
        limiter.setEntries(1, entryCount);
        limiter.setTeams({ &team, 1 });
        for (auto now = start; now < start + 60s; now += 1ms)
            admitted += limiter.tryStart("t", now).admitted() ? 1 : 0;
    }
    return static_cast<double>(admitted) / (limit * 60);
}

void reportOverAdmission()
{
    for (const std::size_t entries : { 3U, 9U, 58U })
        report({ .name = "limit.over_admission_when_isolated",
            .value = overAdmission(entries, true),
            .unit = "of the limit",
            .size = entries,
            .baseline = overAdmission(entries, false),
            .baselineName = "limit / live entries",
            .goal = "<= 2 and bursts" });
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
    constexpr std::size_t count = 200'000;
    for (const std::size_t teams : { 10U, 1000U, 12'000U }) {
        std::vector<limit::TeamLimit> limits;
        for (std::size_t i = 0; i < teams; ++i)
            limits.push_back({ .team = "team-" + std::to_string(i), .requestsPerSecond = 1000, .concurrency = 100 });
        const auto before = allocatedBytes();
        limit::TeamLimiter limiter;
        limiter.setTeams(limits);
        report({ .name = "limit.memory_per_team",
            .value = static_cast<double>(allocatedBytes() - before) / static_cast<double>(teams),
            .unit = "bytes",
            .size = teams });
        base::SeededRandom random { 1 };
        const auto work = [&] {
            for (std::size_t i = 0; i < count; ++i) {
                const auto& team = limits[random.below(teams)].team;
                const auto now = start + std::chrono::microseconds { i };
                if (limiter.tryStart(team, now).admitted())
                    limiter.finished(team, now);
            }
        };
        report({ .name = "limit.team_decision", .value = nanosecondsPer(count, work), .unit = "ns", .size = teams });
    }
    limit::LoadShedder shedder;
    std::uint64_t refused = 0;
    const auto shedWork = [&] {
        for (std::size_t i = 0; i < count; ++i) {
            const auto now = start + std::chrono::microseconds { 10 * i };
            shedder.setQueued(100'000);
            refused += shedder.admit("owner-a", 3, now).admitted() ? 0 : 1;
        }
    };
    report({ .name = "limit.shed_decision", .value = nanosecondsPer(count, shedWork), .unit = "ns", .size = 1 });
}

} // namespace

} // namespace chivewinch::bench

int main()
{
    chivewinch::bench::reportOverload();
    chivewinch::bench::reportOverAdmission();
    chivewinch::bench::reportCosts();
}
