#include "http/buffer_budget.hpp"

#include <malloc.h>
#include <utility>

namespace chivewinch::http {

namespace internal {

// A fixed threshold; by default the allocator raises it to the size of the largest buffer that was freed.
constexpr int largeBufferBytes = 256 << 10;

} // namespace internal

bool BufferBudget::take(std::size_t held, std::size_t extra) noexcept
{
    auto present = this->taken.load();
    do {
        if (extra > this->maximum || present > this->maximum - extra || held + extra > this->maximum - present - extra)
            return false;
    } while (!this->taken.compare_exchange_weak(present, present + extra));
    return true;
}

BufferReservation::BufferReservation(BufferReservation&& other) noexcept
    : budget { std::move(other.budget) }
    , held { std::exchange(other.held, 0) }
{
}

BufferReservation& BufferReservation::operator=(BufferReservation&& other) noexcept
{
    if (this == &other)
        return *this;
    this->release();
    this->budget = std::move(other.budget);
    this->held = std::exchange(other.held, 0);
    return *this;
}

bool BufferReservation::growTo(std::size_t bytes) noexcept
{
    if (bytes <= this->held)
        return true;
    if (this->budget && !this->budget->take(this->held, bytes - this->held))
        return false;
    this->held = bytes;
    return true;
}

void returnLargeBuffersAtOnce() noexcept { (void)mallopt(M_MMAP_THRESHOLD, internal::largeBufferBytes); }

void BufferReservation::release() noexcept
{
    const auto bytes = std::exchange(this->held, 0);
    if (this->budget)
        this->budget->giveBack(bytes);
}

} // namespace chivewinch::http
