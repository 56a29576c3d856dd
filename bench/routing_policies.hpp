#pragma once

#include "routing/admission_queue.hpp"
#include "routing/router.hpp"
#include "routing_model.hpp"

#include <memory>
#include <string>

namespace chivewinch::bench {

inline base::SteadyTime steadyTime(Seconds time)
{
    return base::SteadyTime { std::chrono::hours { 1 } }
    + std::chrono::duration_cast<base::SteadyTime::duration>(std::chrono::duration<double>(time));
}

/** Base of the baseline policies: sends each request at once and retries each failure. */
class ImmediatePolicy : public Policy {
public:
    bool offer(std::size_t request, const Arrival&, Seconds) override
    {
        this->waiting.push_back(request);
        return true;
    }

    std::optional<std::pair<std::size_t, std::size_t>> next(Seconds) override
    {
        if (this->waiting.empty())
            return std::nullopt;
        const auto request = this->waiting.front();
        this->waiting.pop_front();
        return std::pair { request, this->pick() };
    }

    void finished(std::size_t, bool, const routing::LoadReport&, Seconds) override { }
    void heartbeat(std::size_t, const routing::LoadReport&, Seconds) override { }
    bool mayRetry(Seconds) override { return true; }
    void retry(std::size_t request, const Arrival&, std::size_t, Seconds) override { this->waiting.push_back(request); }

protected:
    virtual std::size_t pick() = 0;

private:
    std::deque<std::size_t> waiting;
};

class RandomPolicy final : public ImmediatePolicy {
public:
    RandomPolicy(const ModelOptions& options, std::size_t entry)
        : random { entry }
        , targets { options.targets }
    {
    }

protected:
    std::size_t pick() override { return this->random.below(this->targets); }

private:
    base::SeededRandom random;
    std::size_t targets;
};

class RoundRobinPolicy final : public ImmediatePolicy {
public:
    RoundRobinPolicy(const ModelOptions& options, std::size_t entry)
        : last { entry * options.targets / options.entries }
        , targets { options.targets }
    {
    }

protected:
    std::size_t pick() override { return this->last = (this->last + 1) % this->targets; }

private:
    std::size_t last;
    std::size_t targets;
};

/** Chooses the target with the least load in the latest heartbeats, without counting the entry's own requests. */
class StaleLeastLoadedPolicy final : public ImmediatePolicy {
public:
    StaleLeastLoadedPolicy(const ModelOptions& options, std::size_t entry)
        : random { entry }
        , loads(options.targets)
    {
    }

    void heartbeat(std::size_t target, const routing::LoadReport& load, Seconds) override
    {
        this->loads[target] = load.inFlight + load.queued;
    }

protected:
    std::size_t pick() override
    {
        const auto offset = this->random.below(this->loads.size());
        std::size_t best = offset;
        for (std::size_t i = 0; i < this->loads.size(); ++i) {
            const auto target = (offset + i) % this->loads.size();
            if (this->loads[target] < this->loads[best])
                best = target;
        }
        return best;
    }

private:
    base::SeededRandom random;
    std::vector<std::uint32_t> loads;
};

/** Uses the router and the admission queue of src/routing. */
class RouterPolicy final : public Policy {
public:
    RouterPolicy(const ModelOptions& options, std::size_t entry, routing::RouterOptions routerOptions = {},
        bool checkDeadlines = true)
        : random { entry + 100 }
        , router { withIdentity(std::move(routerOptions), entry), this->random }
        , queue { { .checkDeadlines = checkDeadlines } }
        , deadline { options.deadline }
    {
        routing::PoolSpec pool { .name = "m", .targets = {} };
        std::vector<membership::TargetView> views;
        for (std::size_t i = 0; i < options.targets; ++i) {
            pool.targets.push_back(std::to_string(i));
            views.push_back({ .target = std::to_string(i),
                .zone = "z",
                .incarnation = base::Incarnation { 1 },
                .state = membership::TargetState::Live });
        }
        this->router.setPools({ &pool, 1 });
        this->router.setTargets(views);
    }

    bool offer(std::size_t request, const Arrival& arrival, Seconds now) override
    {
        this->prefixes[request] = arrival.prefix;
        return this->enqueue(request, now);
    }

    std::optional<std::pair<std::size_t, std::size_t>> next(Seconds now) override
    {
        const auto time = steadyTime(now);
        for (const auto& expired : this->queue.expire(time))
            this->eraseRequest(expired.id.low);
        const auto* front = this->queue.front();
        if (front == nullptr)
            return std::nullopt;
        const auto request = front->id.low;
        const auto& excluded = this->failed[request];
        const routing::RouteRequest attempt { .pool = "m",
            .prefixHash = this->prefixes[request],
            .attempt = static_cast<std::uint32_t>(excluded.size() + 1),
            .excluded = excluded };
        const auto choice = this->router.choose(attempt, time);
        if (!choice)
            return std::nullopt;
        this->router.started(attempt, *choice, time);
        this->queue.pop(time);
        return std::pair { request, std::stoul(choice->target) };
    }

    void finished(std::size_t target, bool success, const routing::LoadReport& load, Seconds now) override
    {
        this->router.finished(std::to_string(target), success ? routing::Result::Success : routing::Result::Failure,
            load, steadyTime(now));
        this->queue.served(steadyTime(now));
    }

    void heartbeat(std::size_t target, const routing::LoadReport& load, Seconds now) override
    {
        this->router.reported(std::to_string(target), load, steadyTime(now));
    }

    bool mayRetry(Seconds now) override { return this->router.allowRetry("m", steadyTime(now)); }

    void retry(std::size_t request, const Arrival&, std::size_t failedTarget, Seconds now) override
    {
        this->failed[request].push_back(std::to_string(failedTarget));
        (void)this->enqueue(request, now);
    }

private:
    base::SeededRandom random;
    routing::Router router;
    routing::AdmissionQueue queue;
    Seconds deadline;
    std::unordered_map<std::size_t, std::uint64_t> prefixes;
    std::unordered_map<std::size_t, std::vector<base::TargetId>> failed;

    static routing::RouterOptions withIdentity(routing::RouterOptions options, std::size_t entry)
    {
        options.entry = std::to_string(entry);
        options.zone = "z";
        return options;
    }

    bool enqueue(std::size_t request, Seconds now)
    {
        const auto queueTimeout = std::min(this->deadline, 3600.0);
        const routing::QueuedRequest queued {
            .id = { .high = 0, .low = request }, .owner = "o", .deadline = steadyTime(now + queueTimeout)
        };
        return this->queue.offer(queued, steadyTime(now)) == base::RefusalReason::None;
    }

    void eraseRequest(std::size_t request)
    {
        this->prefixes.erase(request);
        this->failed.erase(request);
    }
};

/** Runs a policy over the trace, with one policy object per entry. */
template <typename PolicyType, typename... Arguments>
ModelResult runPolicy(const ModelOptions& options, const std::vector<Arrival>& trace, const Arguments&... arguments)
{
    std::vector<std::unique_ptr<PolicyType>> owned;
    std::vector<Policy*> policies;
    for (std::size_t entry = 0; entry < options.entries; ++entry) {
        owned.push_back(std::make_unique<PolicyType>(options, entry, arguments...));
        policies.push_back(owned.back().get());
    }
    return Model { options, trace, policies }.run();
}

} // namespace chivewinch::bench
