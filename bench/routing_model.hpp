#pragma once

#include "base/random.hpp"
#include "routing/request.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <numbers>
#include <optional>
#include <queue>
#include <utility>
#include <vector>

namespace chivewinch::bench {

using Seconds = double;

/** Sizes and times of the queue model. */
struct ModelOptions {
    std::size_t targets = 16;
    std::size_t entries = 8;
    std::uint32_t capacity = 80; ///< Requests that a target runs concurrently.
    std::size_t prefixes = 600;
    double prefixSkew = 0.9; ///< Exponent of the Zipf distribution.
    std::size_t cachedPrefixes = 60; ///< Cache size per target. The cache evicts the least recently used prefix.
    Seconds prefillMiss = 0.5;
    Seconds prefillHit = 0.05;
    Seconds decodeMean = 7.6; ///< Design scale: 3.8 million tokens/s, 18,000 requests/s, 36 ms between tokens.
    double decodeSigma = 1; ///< Sigma of the log-normal distribution.
    Seconds network = 0.001;
    Seconds heartbeat = 1;
    Seconds duration = 120;
    Seconds warmUp = 20;
    double requestsPerSecond = 0;
    Seconds deadline = 1e9; ///< Longest delay from arrival to start of service that counts as good.
    std::size_t failingTargets = 0; ///< Number of targets that fail every request after the warm-up, from index 0.
    int maxAttempts = 1;
};

struct Arrival {
    Seconds time = 0;
    std::size_t entry = 0;
    std::uint64_t prefix = 0;
    Seconds decode = 0;
};

/** Log-normal number with mean 1. */
inline double logNormal(base::RandomSource& random, double sigma)
{
    const auto radius = std::sqrt(-2 * std::log(1 - random.unit()));
    return std::exp(sigma * radius * std::cos(2 * std::numbers::pi * random.unit()) - sigma * sigma / 2);
}

/** Arrivals of one run. Every policy gets the same trace. */
inline std::vector<Arrival> makeTrace(const ModelOptions& options, std::uint64_t seed)
{
    base::SeededRandom random { seed };
    std::vector<double> cumulative;
    for (std::size_t i = 0; i < options.prefixes; ++i)
        cumulative.push_back(
            (i == 0 ? 0 : cumulative.back()) + std::pow(static_cast<double>(i + 1), -options.prefixSkew));
    std::vector<Arrival> trace;
    for (Seconds time = 0; time < options.duration;) {
        time -= std::log(1 - random.unit()) / options.requestsPerSecond;
        const auto rank = std::ranges::lower_bound(cumulative, random.unit() * cumulative.back());
        trace.push_back({ .time = time,
            .entry = random.below(options.entries),
            .prefix = 1 + static_cast<std::uint64_t>(rank - cumulative.begin()),
            .decode = options.decodeMean * logNormal(random, options.decodeSigma) });
    }
    return trace;
}

/** Decides for one entry. Times are in seconds since the start. */
class Policy {
public:
    Policy() = default;
    Policy(const Policy&) = delete;
    Policy& operator=(const Policy&) = delete;
    virtual ~Policy() = default;

    /** Accepts a request, or returns false to refuse it at once. */
    virtual bool offer(std::size_t request, const Arrival& arrival, Seconds now) = 0;
    /** Next request to send and its target; nullopt if there is nothing to send now. */
    virtual std::optional<std::pair<std::size_t, std::size_t>> next(Seconds now) = 0;
    virtual void finished(std::size_t target, bool success, const routing::LoadReport& load, Seconds now) = 0;
    virtual void heartbeat(std::size_t target, const routing::LoadReport& load, Seconds now) = 0;
    /** Whether a failed request may be tried again. If so, the model calls retry(). */
    virtual bool mayRetry(Seconds now) = 0;
    virtual void retry(std::size_t request, const Arrival& arrival, std::size_t failedTarget, Seconds now) = 0;
};

struct ModelResult {
    std::vector<Seconds> delays; ///< From arrival to start of service, for served requests after the warm-up.
    std::uint64_t hits = 0;
    std::uint64_t requests = 0; ///< After the warm-up.
    std::uint64_t attempts = 0; ///< After the warm-up, including failed attempts.
    std::uint64_t good = 0; ///< Requests whose service started before the deadline.
    std::uint64_t succeeded = 0;

    [[nodiscard]] Seconds quantile(double share)
    {
        if (this->delays.empty())
            return 0;
        const auto index = static_cast<std::size_t>(share * static_cast<double>(this->delays.size() - 1));
        std::ranges::nth_element(this->delays, this->delays.begin() + static_cast<std::ptrdiff_t>(index));
        return this->delays[index];
    }

    void add(const ModelResult& other)
    {
        this->delays.insert(this->delays.end(), other.delays.begin(), other.delays.end());
        this->hits += other.hits;
        this->requests += other.requests;
        this->attempts += other.attempts;
        this->good += other.good;
        this->succeeded += other.succeeded;
    }

    [[nodiscard]] double hitRate() const
    {
        return static_cast<double>(this->hits) / static_cast<double>(std::max<std::size_t>(this->delays.size(), 1));
    }
};

/** Simulates targets with slots, first-in-first-out queues and prefix caches. One policy object per entry chooses the
 * targets. */
class Model {
public:
    Model(const ModelOptions& options, const std::vector<Arrival>& trace, const std::vector<Policy*>& policies)
        : options { options }
        , trace { trace }
        , policies { policies }
        , targets(options.targets)
        , requests(trace.size())
    {
    }

    ModelResult run()
    {
        for (std::size_t i = 0; i < this->trace.size(); ++i)
            this->schedule(this->trace[i].time, EventKind::Arrive, i, 0);
        for (std::size_t i = 0; i < this->targets.size(); ++i)
            this->schedule(this->options.heartbeat * static_cast<double>(i) / static_cast<double>(this->targets.size()),
                EventKind::Heartbeat, 0, i);
        while (!this->events.empty()) {
            const auto event = this->events.top();
            this->events.pop();
            this->now = event.time;
            this->handle(event);
        }
        return std::move(this->result);
    }

private:
    enum class EventKind : std::uint8_t { Arrive, ArriveAtTarget, End, ReturnToEntry, Heartbeat };

    struct Event {
        Seconds time = 0;
        std::uint64_t order = 0;
        EventKind kind {};
        std::size_t request = 0;
        std::size_t target = 0;

        bool operator<(const Event& other) const
        {
            return std::pair { this->time, this->order } > std::pair { other.time, other.order };
        }
    };

    struct Target {
        std::uint32_t running = 0;
        std::deque<std::size_t> queue;
        std::list<std::uint64_t> cache; ///< Most recently used first.
    };

    struct Request {
        int attempts = 0;
        bool failed = false;
        routing::LoadReport load; ///< At the end of the last attempt.
    };

    ModelOptions options;
    const std::vector<Arrival>& trace;
    std::vector<Policy*> policies;
    std::vector<Target> targets;
    std::vector<Request> requests;
    std::priority_queue<Event> events;
    std::uint64_t lastOrder = 0;
    Seconds now = 0;
    ModelResult result;

    void schedule(Seconds time, EventKind kind, std::size_t request, std::size_t target)
    {
        this->events.push(
            { .time = time, .order = ++this->lastOrder, .kind = kind, .request = request, .target = target });
    }

    [[nodiscard]] bool isMeasured(std::size_t request) const
    {
        return this->trace[request].time >= this->options.warmUp;
    }

    [[nodiscard]] routing::LoadReport loadOf(std::size_t target) const
    {
        return { .inFlight = this->targets[target].running,
            .queued = static_cast<std::uint32_t>(this->targets[target].queue.size()),
            .capacity = this->options.capacity };
    }

    void handle(const Event& event)
    {
        const auto& arrival = this->trace[event.request];
        auto& policy = *this->policies[arrival.entry];
        switch (event.kind) {
        case EventKind::Arrive:
            this->result.requests += this->isMeasured(event.request) ? 1 : 0;
            if (policy.offer(event.request, arrival, this->now))
                this->send(arrival.entry);
            break;
        case EventKind::ArriveAtTarget:
            this->arriveAtTarget(event.request, event.target);
            break;
        case EventKind::End:
            this->end(event.request, event.target);
            break;
        case EventKind::ReturnToEntry:
            this->returnToEntry(event.request, event.target);
            break;
        case EventKind::Heartbeat:
            this->sendHeartbeat(event.target);
            break;
        }
    }

    void send(std::size_t entry)
    {
        while (const auto choice = this->policies[entry]->next(this->now)) {
            this->result.attempts += this->isMeasured(choice->first) ? 1 : 0;
            ++this->requests[choice->first].attempts;
            this->schedule(this->now + this->options.network, EventKind::ArriveAtTarget, choice->first, choice->second);
        }
    }

    void arriveAtTarget(std::size_t request, std::size_t target)
    {
        if (target < this->options.failingTargets && this->now >= this->options.warmUp) {
            this->requests[request].failed = true;
            this->requests[request].load = this->loadOf(target);
            this->schedule(this->now + this->options.network, EventKind::ReturnToEntry, request, target);
            return;
        }
        this->targets[target].queue.push_back(request);
        this->startNext(target);
    }

    void startNext(std::size_t index)
    {
        auto& target = this->targets[index];
        if (target.running >= this->options.capacity || target.queue.empty())
            return;
        const auto request = target.queue.front();
        target.queue.pop_front();
        ++target.running;
        const bool hit = this->lookUpAndCache(target.cache, this->trace[request].prefix);
        const auto delay = this->now - this->trace[request].time;
        if (this->isMeasured(request)) {
            this->result.delays.push_back(delay);
            this->result.hits += hit ? 1 : 0;
            this->result.good += delay <= this->options.deadline ? 1 : 0;
        }
        const auto prefill = hit ? this->options.prefillHit : this->options.prefillMiss;
        this->schedule(this->now + prefill + this->trace[request].decode, EventKind::End, request, index);
    }

    [[nodiscard]] bool lookUpAndCache(std::list<std::uint64_t>& cache, std::uint64_t prefix) const
    {
        const auto found = std::ranges::find(cache, prefix);
        const bool hit = found != cache.end();
        if (hit)
            cache.erase(found);
        cache.push_front(prefix);
        if (cache.size() > this->options.cachedPrefixes)
            cache.pop_back();
        return hit;
    }

    void end(std::size_t request, std::size_t target)
    {
        --this->targets[target].running;
        this->requests[request].failed = false;
        this->requests[request].load = this->loadOf(target);
        this->schedule(this->now + this->options.network, EventKind::ReturnToEntry, request, target);
        this->startNext(target);
    }

    void returnToEntry(std::size_t request, std::size_t target)
    {
        const auto& arrival = this->trace[request];
        auto& policy = *this->policies[arrival.entry];
        const auto& state = this->requests[request];
        policy.finished(target, !state.failed, state.load, this->now);
        if (!state.failed)
            this->result.succeeded += this->isMeasured(request) ? 1 : 0;
        else if (state.attempts < this->options.maxAttempts && policy.mayRetry(this->now))
            policy.retry(request, arrival, target, this->now);
        this->send(arrival.entry);
    }

    void sendHeartbeat(std::size_t target)
    {
        for (std::size_t entry = 0; entry < this->policies.size(); ++entry) {
            this->policies[entry]->heartbeat(target, this->loadOf(target), this->now);
            this->send(entry);
        }
        if (this->now < this->options.duration + 60)
            this->schedule(this->now + this->options.heartbeat, EventKind::Heartbeat, 0, target);
    }
};

} // namespace chivewinch::bench
