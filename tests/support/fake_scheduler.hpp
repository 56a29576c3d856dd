#pragma once

#include "base/clock.hpp"
#include "store/scheduler.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace chivewinch::support {

/** Scheduler on a manual clock. Time advances only in runFor(), and callbacks run in the order of their due times. */
class FakeScheduler final : public store::Scheduler {
public:
    explicit FakeScheduler(base::ManualClock& clock) noexcept
        : clock { clock }
    {
    }

    store::TimerId after(std::chrono::nanoseconds delay, std::function<void()> callback) override
    {
        const auto due = this->clock.now() + std::chrono::duration_cast<base::SteadyTime::duration>(delay);
        const auto id = ++this->lastId;
        this->timers.emplace(std::pair { due, id }, std::move(callback));
        this->dueTimes.emplace(id, due);
        return static_cast<store::TimerId>(id);
    }

    void cancel(store::TimerId timer) override
    {
        const auto id = static_cast<std::uint64_t>(timer);
        if (const auto due = this->dueTimes.find(id); due != this->dueTimes.end()) {
            this->timers.erase({ due->second, id });
            this->dueTimes.erase(due);
        }
    }

    /** Advances the clock by the duration and runs every timer that becomes due. */
    void runFor(std::chrono::nanoseconds duration)
    {
        const auto end = this->clock.now() + std::chrono::duration_cast<base::SteadyTime::duration>(duration);
        while (!this->timers.empty() && this->timers.begin()->first.first <= end) {
            auto entry = this->timers.extract(this->timers.begin());
            this->dueTimes.erase(entry.key().second);
            if (entry.key().first > this->clock.now())
                this->clock.advance(entry.key().first - this->clock.now());
            entry.mapped()();
        }
        if (end > this->clock.now())
            this->clock.advance(end - this->clock.now());
    }

    [[nodiscard]] bool idle() const noexcept { return this->timers.empty(); }

private:
    base::ManualClock& clock;
    std::map<std::pair<base::SteadyTime, std::uint64_t>, std::function<void()>> timers;
    std::map<std::uint64_t, base::SteadyTime> dueTimes;
    std::uint64_t lastId = 0;
};

} // namespace chivewinch::support
