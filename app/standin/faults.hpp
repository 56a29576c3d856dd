#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace chivewinch::standin {

/** Faults of a stand-in. They are set by flags and by POST /faults with the same names in a JSON object. */
struct Faults {
    bool down = false; ///< Every request is answered with 503 and has no effect.
    std::chrono::milliseconds delay { 0 }; ///< Added to each request.
    double loseAnswers = 0; ///< Share of the requests that take effect and get no answer.
    double loseRequests = 0; ///< Share of the requests that have no effect and get no answer.
    std::string crashOn; ///< A request whose body contains this text crashes the stand-in.
    std::int64_t cutAfterTokens = -1; ///< Cuts each stream after this many tokens; -1 for never.
    bool stall = false; ///< Streams stop to make progress.

    bool operator==(const Faults&) const = default;
};

/** Applies the fields of a JSON object; nullopt if it is malformed or has unknown fields. */
[[nodiscard]] std::optional<Faults> applyFaults(Faults faults, std::string_view json);

} // namespace chivewinch::standin
