#pragma once

#include "base/id.hpp"
#include "wire/wire.pb.h"

namespace chivewinch::wire {

/** Fills a protobuf identifier from its value type. */
inline void assign(AttemptId& out, const base::AttemptId& id)
{
    out.mutable_request()->set_high(id.request.high);
    out.mutable_request()->set_low(id.request.low);
    out.set_number(id.number);
}

[[nodiscard]] inline base::AttemptId toBase(const AttemptId& id)
{
    return { .request = { .high = id.request().high(), .low = id.request().low() }, .number = id.number() };
}

} // namespace chivewinch::wire
