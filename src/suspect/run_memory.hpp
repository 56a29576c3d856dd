#pragma once

#include "base/clock.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace chivewinch::suspect {

/** Remembers when features of requests were last in a run that crashed nothing. Forgets the oldest ones if it is full.
 */
class RunMemory {
public:
    RunMemory(std::size_t capacity, std::chrono::nanoseconds term) noexcept
        : capacity { capacity }
        , term { term }
    {
    }

    void record(std::uint64_t feature, base::SteadyTime now);
    /** Time of the last such run within the term; nullopt if none is remembered. */
    [[nodiscard]] std::optional<base::SteadyTime> lastRun(std::uint64_t feature, base::SteadyTime now) const;
    [[nodiscard]] std::size_t size() const noexcept { return this->recent.size() + this->older.size(); }

private:
    using Times = std::unordered_map<std::uint64_t, base::SteadyTime>;

    std::size_t capacity;
    std::chrono::nanoseconds term;
    Times recent;
    Times older; ///< Replaced by the recent ones when these take half of the capacity.
};

} // namespace chivewinch::suspect
