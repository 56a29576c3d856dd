#pragma once

#include "expert/activation.hpp"

namespace chivewinch::expert::internal {

template <typename Append> void appendMap(Append&& append, const MapRef& map)
{
    append(static_cast<std::uint64_t>(map.fencing));
    append(map.version);
    append(map.digest);
}

template <typename Append> void appendStep(Append&& append, const StepId& step)
{
    append(static_cast<std::uint64_t>(step.term.decider));
    append(step.term.epoch);
    append(step.number);
}

} // namespace chivewinch::expert::internal
