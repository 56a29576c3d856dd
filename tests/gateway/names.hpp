#pragma once

#include "gateway/header_names.hpp"

#include <cstdint>
#include <string>

namespace chivewinch::gateway {

/** Text of a stream event with the given ID. */
inline std::string eventText(std::uint64_t id) { return "id: " + std::to_string(id) + "\ndata: x\n\n"; }

/** Header field names for these tests; they differ from those of any deployment. */
inline HeaderNames testNames()
{
    return { .requestId = "T-Id",
        .timeLeft = "T-Left",
        .apiKey = "T-Key",
        .team = "T-Team",
        .expectedTarget = "T-Target",
        .notRun = "T-Not-Run",
        .faultyTarget = "T-Faulty",
        .leaving = "T-Leaving",
        .requestLimit = "T-Limit",
        .seal = "T-Seal",
        .lastEventId = "Last-Event-Id",
        .promptParts = "T-Parts",
        .targetPriority = "T-Priority" };
}

} // namespace chivewinch::gateway
