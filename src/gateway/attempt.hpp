#pragma once

#include "delivery/delivery_plan.hpp"
#include "gateway/answer_check.hpp"
#include "gateway/event_sequence.hpp"
#include "gateway/forwarding.hpp"
#include "gateway/services.hpp"
#include "gateway/stream_timing.hpp"
#include "http/client.hpp"
#include "http/response_writer.hpp"
#include "http/sse.hpp"
#include "routing/request.hpp"

#include <memory>
#include <optional>
#include <string>

namespace chivewinch::gateway {

/** Result of an attempt. */
struct AttemptResult {
    delivery::EventKind kind = delivery::EventKind::ConnectionLost;
    bool notRun = false; ///< The target states that it has not run the request, or nothing was sent.
    bool crashed = false; ///< The connection was lost after the request was sent.
    /** The run can have crashed its target: it had not written for long, and the target had not stalled. */
    bool canBeCause = false;
    bool targetEnded = false; ///< The process of the target has ended, so that its connections are refused.
    /** Last sign of the target, or start of the attempt, if the attempt ended without an answer. */
    std::optional<base::SteadyTime> silentSince;
    bool gaveUp = false; ///< The attempt was ended by a time limit of this process.
    /** Time since the target began to write the body of its answer; nullopt if it has not. */
    std::optional<std::chrono::nanoseconds> writingTime;
    bool callerFailed = false; ///< Writing to the caller failed.
    /** Failure from the target; sent to the caller if no attempt gets a better answer. */
    std::optional<http::Response> answer;
    http::BufferReservation memory; ///< Of the answer.
    routing::Result result = routing::Result::Failure;
    std::string detail; ///< For the log.
};

/** Time from which a target that writes an answer is not crashed by it any more. */
constexpr std::chrono::milliseconds longestTimeToCrash { 1'000 };

/** Properties of the request that an attempt needs. */
struct AttemptInput {
    const http::Request& request;
    const RequestHead& head;
    const Route& route;
    std::string_view team;
    base::SteadyTime deadline; ///< The earlier of the limits set by the caller and the route.
    bool isLast = false; ///< No further attempt is allowed.
};

/** Sends a request to one target and relays its answer to the caller. */
class Attempt {
public:
    Attempt(Services& services, const AttemptInput& input, EventSequence& events, StreamTiming& timing,
        http::ResponseWriter& writer);

    [[nodiscard]] http::Task<AttemptResult> run(const membership::ListedTarget& target);
    /** Cancels the request at the target after the caller has disconnected. */
    void cancel();

private:
    Services& services;
    const AttemptInput& input;
    EventSequence& events;
    StreamTiming& timing;
    http::ResponseWriter& writer;
    http::Cancellation cancellation;
    bool isCancelled = false;
    std::shared_ptr<http::Client> client;
    std::unique_ptr<http::ResponseStream> stream;
    base::SteadyTime started {};
    base::SteadyTime limit {};
    std::optional<base::SteadyTime> bodyBegan; ///< Time of the first bytes of the body.
    std::optional<base::SteadyTime> lastBytesAt; ///< Time of the newest bytes of the body.
    base::SteadyTime lastEventAt {}; ///< Time of the last event sent to the caller, or start of the attempt.
    membership::ListedTarget target;

    [[nodiscard]] std::chrono::milliseconds timeUntil(base::SteadyTime end) const;
    [[nodiscard]] std::chrono::milliseconds eventTimeout() const;
    [[nodiscard]] std::chrono::milliseconds nextReadTimeout() const;
    [[nodiscard]] http::Request makeRequest(const membership::ListedTarget& target) const;
    /** Records the state that the target reports in the header fields of its answer. */
    void recordTargetState(const membership::ListedTarget& target, const AnswerHead& head);
    /** Closes the group of a target that another target of the group keeps from running requests. */
    void recordGroupFault(const membership::ListedTarget& target, const AnswerHead& head, base::SteadyTime now);
    void recordRequestLimit(const membership::ListedTarget& target, const AnswerHead& head, base::SteadyTime now);
    [[nodiscard]] AttemptResult transportFailure(const http::Error& reason) const;
    [[nodiscard]] delivery::EventKind lostKind() const;
    /** Ends the answer, for which the process has no memory. */
    [[nodiscard]] AttemptResult noMemory();
    /** Last sign of the target; nullopt if it has been sending bytes. */
    [[nodiscard]] std::optional<base::SteadyTime> silentSince() const;
    /** Finds out whether the run can have crashed the target. */
    [[nodiscard]] http::Task<void> examineCrash(AttemptResult& end);
    /**
     * Checks the end of an answer without a stated end, which is complete only if its sender is known to run after it.
     * Returns the failure of the attempt; nullopt if the answer is complete.
     */
    [[nodiscard]] http::Task<std::optional<AttemptResult>> checkEnd();
    [[nodiscard]] http::Task<AttemptResult> send(const membership::ListedTarget& target);
    /** Reads the next bytes of the body; see http::ResponseStream::read. */
    [[nodiscard]] http::Task<std::optional<std::string>> read(http::Error& reason);
    [[nodiscard]] http::Task<AttemptResult> relayBufferedAnswer(bool isSuccess);
    [[nodiscard]] http::Task<AttemptResult> relayEvents();
    [[nodiscard]] http::Task<bool> startStream();
    [[nodiscard]] http::Task<std::optional<AttemptResult>> forwardEvents(http::EventSplitter& splitter);
};

} // namespace chivewinch::gateway
