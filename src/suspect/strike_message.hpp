#pragma once

#include "suspect/strike.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace chivewinch::suspect {

/** Message about strikes between processes of an installation, and the answer to one. */
struct StrikeMessage {
    std::uint64_t digest = 0; ///< Of all strikes that the sender makes known to all processes.
    bool wantsAll = false; ///< The answer must contain all strikes.
    StrikeList strikes;
    std::optional<std::uint64_t> trial; ///< In a request: the blocked fingerprint that the sender wants to run.
    bool returnsTrial = false; ///< In a request: the trial of the sender has ended without a crash.
    bool completesTrial = false; ///< In a request that returns a trial: the run has completed.
    bool grantsTrial = false; ///< In an answer.

    bool operator==(const StrikeMessage&) const = default;
};

[[nodiscard]] std::string encode(const StrikeMessage& message);
/** Returns nullopt if the body is not a valid message. */
[[nodiscard]] std::optional<StrikeMessage> decodeStrikeMessage(const std::string& body);

} // namespace chivewinch::suspect
