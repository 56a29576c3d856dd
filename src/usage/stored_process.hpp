#pragma once

#include "usage/record.hpp"
#include "usage/segment.pb.h"

namespace chivewinch::usage::internal {

inline void assign(stored::Process& out, const ProcessId& process)
{
    out.set_instance(process.instance);
    out.set_incarnation(static_cast<std::uint64_t>(process.incarnation));
}

[[nodiscard]] inline ProcessId toProcess(const stored::Process& in)
{
    return { .instance = in.instance(), .incarnation = static_cast<base::Incarnation>(in.incarnation()) };
}

} // namespace chivewinch::usage::internal
