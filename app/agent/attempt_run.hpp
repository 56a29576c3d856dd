#pragma once

#include "agent/answer_relay.hpp"
#include "delivery/gate.hpp"
#include "http/client.hpp"
#include "protocol/message_reader.hpp"
#include "transport/session.hpp"
#include "usage/record.hpp"
#include "wire/wire.pb.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>

namespace chivewinch::agent {

class Agent;

/**
 * Server side of one attempt stream: reads the AttemptStart message, runs the attempt on the target and sends the
 * answer to the entry.
 */
class AttemptRun final : public transport::StreamObserver, public std::enable_shared_from_this<AttemptRun> {
public:
    AttemptRun(Agent& agent, std::shared_ptr<transport::Session> session, transport::StreamId stream);

    void onData(std::string_view bytes) override;
    void onEnd() override { }
    void onWritable() override { this->writable.cancel(); }
    void onClose(const transport::Error& error) override;

    /** Cancels the request to the target. */
    void cancel();
    [[nodiscard]] const wire::AttemptStart& start() const noexcept { return this->message; }

private:
    Agent& agent;
    std::shared_ptr<transport::Session> session;
    transport::StreamId stream;
    protocol::MessageReader reader;
    wire::AttemptStart message;
    delivery::AttemptKey key;
    base::SteadyTime deadline;
    http::Cancellation cancellation;
    std::unique_ptr<http::ResponseStream> upstream;
    boost::asio::steady_timer writable;
    boost::asio::steady_timer deadlineTimer;
    bool hasStart = false;
    bool isClosed = false;
    bool isCancelled = false;
    bool deadlinePassed = false;

    /** Result of running the attempt on the target. */
    struct RunResult {
        base::Outcome outcome = base::Outcome::Unknown;
        bool complete = false;
        bool targetCrashed = false;
        std::string detail;
    };

    void begin(const wire::AttemptStart& start);
    [[nodiscard]] http::Task<void> run(std::shared_ptr<AttemptRun> self);
    [[nodiscard]] http::Task<RunResult> runOnTarget(std::optional<AnswerRelay>& relay);
    [[nodiscard]] http::Task<RunResult> failureResult(http::Error reason);
    [[nodiscard]] http::Task<bool> relayBody(AnswerRelay& relay, http::Error& reason);
    [[nodiscard]] http::Request targetRequest() const;
    [[nodiscard]] http::Task<void> waitForBufferSpace();
    void startDeadlineTimer();
    void sendHead();
    void sendFrame(AnswerRelay& relay, const AnswerRelay::Chunk& chunk);
    void reportResult(const RunResult& runResult, const AnswerRelay* relay);
    void refuse(base::RefusalReason reason, bool notRun, bool targetCrashed);
    void send(const wire::AttemptReply& reply);
    void recordUsage(usage::Result result, const AnswerRelay* relay);
};

} // namespace chivewinch::agent
