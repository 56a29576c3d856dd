#pragma once

#include <string>

namespace chivewinch::gateway {

/** Names of the header fields that the caller protocol defines; supplied by the deployment. */
struct HeaderNames {
    std::string requestId; ///< ID of one try of a caller; targets echo it.
    std::string timeLeft; ///< Remaining time, in milliseconds, for which the sender waits for the answer.
    std::string apiKey; ///< Caller's key; never forwarded.
    std::string team; ///< Team of the key; set by this process only.
    std::string expectedTarget; ///< A target with another ID refuses the request with 421.
    std::string notRun; ///< On an answer: the target states that it did not run the request.
    std::string faultyTarget; ///< On an answer: address of the target that kept this one from running the request.
    std::string leaving; ///< On an answer: the target finishes its open requests and accepts no new ones.
    std::string requestLimit; ///< On an answer: requests per second that the target takes from all processes together.
    std::string seal; ///< On an answer: shows that the target itself sent it.
    std::string lastEventId; ///< The stream continues after this event.
    std::string promptParts; ///< Shared parts of the prompt, in order, as comma-separated ID:TOKENS.
    std::string targetPriority; ///< Priority in the target's queue; set by this process only.

    bool operator==(const HeaderNames&) const = default;
};

} // namespace chivewinch::gateway
