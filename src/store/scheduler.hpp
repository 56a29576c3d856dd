#pragma once

#include <chrono>
#include <cstdint>
#include <functional>

namespace chivewinch::store {

enum class TimerId : std::uint64_t {};

/** Runs callbacks later, on the thread that owns the calling component. */
class Scheduler {
public:
    Scheduler() = default;
    Scheduler(const Scheduler&) = delete;
    Scheduler& operator=(const Scheduler&) = delete;
    virtual ~Scheduler() = default;

    /** Runs the callback once after the delay, never before the call returns. */
    virtual TimerId after(std::chrono::nanoseconds delay, std::function<void()> callback) = 0;

    /** Prevents the callback from running. Has no effect if it has already run. */
    virtual void cancel(TimerId timer) = 0;
};

} // namespace chivewinch::store
