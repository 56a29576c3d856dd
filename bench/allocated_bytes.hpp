#pragma once

#include <cstddef>
#include <cstdlib>
#include <malloc.h>
#include <new>

namespace chivewinch::bench::internal {

inline std::size_t allocated = 0;

} // namespace chivewinch::bench::internal

// Replaces the allocation functions of the program to count allocated bytes. mallinfo2 isn't suitable, since it counts
// freed blocks in the thread cache as used.
[[gnu::noinline]] void* operator new(std::size_t size)
{
    void* block = std::malloc(size);
    if (block == nullptr)
        throw std::bad_alloc {};
    chivewinch::bench::internal::allocated += malloc_usable_size(block);
    return block;
}

[[gnu::noinline]] void operator delete(void* block) noexcept
{
    chivewinch::bench::internal::allocated -= malloc_usable_size(block);
    std::free(block);
}

[[gnu::noinline]] void operator delete(void* block, std::size_t) noexcept
{
    chivewinch::bench::internal::allocated -= malloc_usable_size(block);
    std::free(block);
}

namespace chivewinch::bench {

/** Bytes that are allocated by operator new at the moment. Not thread-safe: the program must be single-threaded. */
inline std::size_t allocatedBytes() { return internal::allocated; }

} // namespace chivewinch::bench
