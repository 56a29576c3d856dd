#pragma once

#include <chrono>

namespace chivewinch::base {

using SteadyTime = std::chrono::steady_clock::time_point;
using WallTime = std::chrono::system_clock::time_point;

/** Source of time. Decision code reads the time only through this interface, never from the system clocks. */
class Clock {
public:
    Clock() = default;
    Clock(const Clock&) = delete;
    Clock& operator=(const Clock&) = delete;
    virtual ~Clock() = default;

    /** Monotonic time, for durations and deadlines. */
    [[nodiscard]] virtual SteadyTime now() const noexcept = 0;
    /** Wall-clock time, for timestamps that other processes read. May jump forwards or backwards. */
    [[nodiscard]] virtual WallTime wallNow() const noexcept = 0;
};

/** Clocks of the operating system. */
class SystemClock final : public Clock {
public:
    [[nodiscard]] SteadyTime now() const noexcept override { return std::chrono::steady_clock::now(); }
    [[nodiscard]] WallTime wallNow() const noexcept override { return std::chrono::system_clock::now(); }
};

/** Clock for tests; its time changes only through advance(). */
class ManualClock final : public Clock {
public:
    explicit ManualClock(SteadyTime steady = SteadyTime { std::chrono::hours { 1 } },
        WallTime wall = WallTime { std::chrono::hours { 24 * 365 * 50 } }) noexcept
        : steady { steady }
        , wall { wall }
    {
    }

    [[nodiscard]] SteadyTime now() const noexcept override { return this->steady; }
    [[nodiscard]] WallTime wallNow() const noexcept override { return this->wall; }

    /** Moves both clocks forward by the given duration. */
    void advance(std::chrono::nanoseconds duration) noexcept
    {
        this->steady += std::chrono::duration_cast<SteadyTime::duration>(duration);
        this->wall += std::chrono::duration_cast<WallTime::duration>(duration);
    }

private:
    SteadyTime steady;
    WallTime wall;
};

} // namespace chivewinch::base
