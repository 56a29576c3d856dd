#include "suspect/run_memory.hpp"

#include <utility>

namespace chivewinch::suspect {

void RunMemory::record(std::uint64_t feature, base::SteadyTime now)
{
    this->recent.insert_or_assign(feature, now);
    if (this->recent.size() >= this->capacity / 2)
        this->older = std::exchange(this->recent, {});
}

std::optional<base::SteadyTime> RunMemory::lastRun(std::uint64_t feature, base::SteadyTime now) const
{
    for (const auto* times : { &this->recent, &this->older })
        if (const auto found = times->find(feature); found != times->end())
            return now - found->second < this->term ? std::optional { found->second } : std::nullopt;
    return std::nullopt;
}

} // namespace chivewinch::suspect
