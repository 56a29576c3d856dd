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

/** How an attempt ended. */
struct AttemptEnd {
    delivery::EventKind kind = delivery::EventKind::ConnectionLost;
    bool notRun = false; ///< Proved by the target, or nothing was sent.
    bool crashed = false; ///< The connection ended while the target had the request.
    bool callerFailed = false; ///< The caller's connection took no more bytes.
    std::optional<http::Response> answer; ///< Failure of the target, for the caller if there is no better answer.
    routing::Result result = routing::Result::Failure;
    std::string detail; ///< For the log.
};

/** What an attempt needs to know of its request. */
struct AttemptInput {
    const http::Request& request;
    const RequestHead& head;
    const Route& route;
    std::string_view team;
    base::SteadyTime deadline; ///< End of the time that the caller or the route allows.
    bool isLast = false; ///< No further attempt may follow.
};

/** Sends a request to one target and brings its answer to the caller. */
class Attempt {
public:
    Attempt(Services& services, const AttemptInput& input, EventSequence& events, StreamTiming& timing,
        http::ResponseWriter& writer);

    [[nodiscard]] http::Task<AttemptEnd> run(const membership::ListedTarget& target);
    /** The caller has left: the target must stop working. */
    void cancel();

private:
    Services& services;
    const AttemptInput& input;
    EventSequence& events;
    StreamTiming& timing;
    http::ResponseWriter& writer;
    http::Cancellation cancellation;
    std::unique_ptr<http::ResponseStream> stream;
    base::SteadyTime started {};
    base::SteadyTime limit {};
    base::SteadyTime lastEventAt {}; ///< Of the events for the caller; the start of the attempt before the first one.

    [[nodiscard]] std::chrono::milliseconds timeUntil(base::SteadyTime end) const;
    [[nodiscard]] std::chrono::milliseconds streamSilence() const;
    [[nodiscard]] std::chrono::milliseconds silenceLimit() const;
    [[nodiscard]] http::Request makeRequest(const membership::ListedTarget& target) const;
    /** Takes over what the target says about itself in the head of its answer. */
    void noteTarget(const membership::ListedTarget& target, const AnswerHead& head);
    [[nodiscard]] AttemptEnd lost(const http::Error& reason) const;
    [[nodiscard]] http::Task<AttemptEnd> relayWhole(bool isSuccess);
    [[nodiscard]] http::Task<AttemptEnd> relayEvents();
    [[nodiscard]] http::Task<bool> startStream();
    [[nodiscard]] http::Task<std::optional<AttemptEnd>> forwardEvents(http::EventSplitter& splitter);
};

} // namespace chivewinch::gateway
