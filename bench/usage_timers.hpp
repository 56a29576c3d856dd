#pragma once

#include "base/clock.hpp"
#include "store/scheduler.hpp"

#include <functional>
#include <map>
#include <utility>

namespace chivewinch::bench {

/** Holds one timer, which runs when the benchmark calls fire(). A ledger has at most one timer. */
class ManualTimer final : public store::Scheduler {
public:
    store::TimerId after(std::chrono::nanoseconds, std::function<void()> callback) override
    {
        this->callback = std::move(callback);
        return {};
    }
    void cancel(store::TimerId) override { this->callback = nullptr; }
    void fire() { std::exchange(this->callback, nullptr)(); }

private:
    std::function<void()> callback;
};

/** Advances the clock and runs timers in the order of their due times. cancel() does nothing. */
class TimerQueue final : public store::Scheduler {
public:
    explicit TimerQueue(base::ManualClock& clock)
        : clock { clock }
    {
    }

    store::TimerId after(std::chrono::nanoseconds delay, std::function<void()> callback) override
    {
        this->timers.emplace(this->clock.now() + delay, std::move(callback));
        return {};
    }
    void cancel(store::TimerId) override { }

    void runUntil(base::SteadyTime end)
    {
        while (!this->timers.empty() && this->timers.begin()->first <= end) {
            auto timer = this->timers.extract(this->timers.begin());
            this->clock.advance(timer.key() - this->clock.now());
            timer.mapped()();
        }
    }

private:
    base::ManualClock& clock;
    std::multimap<base::SteadyTime, std::function<void()>> timers;
};

} // namespace chivewinch::bench
