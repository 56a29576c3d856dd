#pragma once

#include <string>

namespace chivewinch::gateway {

/** Names of the header fields that the caller protocol gives a meaning; supplied by the deployment. */
struct HeaderNames {
    std::string requestId; ///< Identity of one try of a caller; targets echo it.
    std::string timeLeft; ///< Milliseconds for which the sender waits for the answer.
    std::string apiKey; ///< Caller's key; never passed on.
    std::string team; ///< Team of the key; set by this process only.
    std::string expectedTarget; ///< A target with another identity refuses the request with 421.
    std::string notRun; ///< On an answer: the target states that it did not run the request.
    std::string leaving; ///< On an answer: the target finishes its work and takes nothing new.
    std::string seal; ///< On an answer: marks it as the target's own.
    std::string lastEventId; ///< The stream continues after this event.
    std::string targetPriority; ///< Order in the target's queue; set by this process only.

    bool operator==(const HeaderNames&) const = default;
};

} // namespace chivewinch::gateway
