#pragma once

#include <atomic>
#include <cstddef>
#include <memory>
#include <utility>

namespace chivewinch::http {

/** Bytes that the buffers of a process may hold together. Thread-safe. */
class BufferBudget {
public:
    explicit BufferBudget(std::size_t limit) noexcept
        : maximum { limit }
    {
    }
    BufferBudget(const BufferBudget&) = delete;
    BufferBudget& operator=(const BufferBudget&) = delete;
    ~BufferBudget() = default;

    [[nodiscard]] std::size_t limit() const noexcept { return this->maximum; }
    [[nodiscard]] std::size_t used() const noexcept { return this->taken.load(); }

private:
    friend class BufferReservation;
    const std::size_t maximum;
    std::atomic<std::size_t> taken { 0 };

    [[nodiscard]] bool take(std::size_t held, std::size_t extra) noexcept;
    void giveBack(std::size_t bytes) noexcept { this->taken -= bytes; }
};

/**
 * The bytes of one buffer in a budget; returned when the reservation ends. A buffer may grow as long as it is no larger
 * than what remains of the budget afterwards. Many large buffers together therefore never use up what small ones need,
 * and with N equal ones each gets an (N + 1)th of the budget.
 */
class BufferReservation {
public:
    BufferReservation() noexcept = default;
    /** @param budget Nullptr for no limit. */
    explicit BufferReservation(std::shared_ptr<BufferBudget> budget) noexcept
        : budget { std::move(budget) }
    {
    }
    BufferReservation(BufferReservation&& other) noexcept;
    BufferReservation& operator=(BufferReservation&& other) noexcept;
    BufferReservation(const BufferReservation&) = delete;
    BufferReservation& operator=(const BufferReservation&) = delete;
    ~BufferReservation() { this->release(); }

    /** Extends the reservation to the given bytes in all. Returns false, and changes nothing, if they are refused. */
    [[nodiscard]] bool growTo(std::size_t bytes) noexcept;
    void release() noexcept;
    [[nodiscard]] std::size_t bytes() const noexcept { return this->held; }

private:
    std::shared_ptr<BufferBudget> budget;
    std::size_t held = 0;
};

/**
 * Makes the allocator return large buffers to the system as soon as they are freed, so that the memory of the process
 * stays close to what its budget counts. Called once, before the first allocation of a buffer.
 */
void returnLargeBuffersAtOnce() noexcept;

} // namespace chivewinch::http
