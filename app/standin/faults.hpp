#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace chivewinch::standin {

/** Injected faults of a stand-in. The --faults flag and POST /faults set them as fields of a JSON object. */
struct Faults {
    bool down = false; ///< Every request is answered with 503 and has no effect.
    std::chrono::milliseconds delay { 0 }; ///< Added to the handling of each request.
    double loseAnswers = 0; ///< Share of the requests that take effect but get no answer.
    double loseRequests = 0; ///< Share of the requests that have no effect and get no answer.
    std::string crashOn; ///< A request whose body contains this text crashes the stand-in.
    std::int64_t cutAfterTokens = -1; ///< Aborts each answer after this many tokens; -1 disables the fault.
    bool failResumed = false; ///< A request that continues an earlier answer is answered with 500 and an error text.
    bool stall = false; ///< Generation stops making progress until the fault is cleared.

    bool operator==(const Faults&) const = default;
};

/** Applies the fields of a JSON object. Returns nullopt if the object is malformed or has unknown fields. */
[[nodiscard]] std::optional<Faults> applyFaults(Faults faults, std::string_view json);

} // namespace chivewinch::standin
