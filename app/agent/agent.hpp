#pragma once

#include "agent/attempt_run.hpp"
#include "agent/options.hpp"
#include "agent/target_monitor.hpp"
#include "base/clock.hpp"
#include "base/random.hpp"
#include "delivery/gate.hpp"
#include "http/client.hpp"
#include "http/server.hpp"
#include "metrics/registry.hpp"
#include "protocol/control_stream.hpp"
#include "store_http/asio_scheduler.hpp"
#include "store_http/http_services.hpp"
#include "suspect/strike_table.hpp"
#include "suspect/target_guard.hpp"
#include "transport/session.hpp"
#include "usage/ledger.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <set>
#include <string>

namespace chivewinch::agent {

/** Runs the attempts that entries send for one target. Not thread-safe: all work runs on the context's only thread. */
class Agent {
public:
    Agent(boost::asio::io_context& context, AgentOptions options, usage::SigningKey key);
    Agent(const Agent&) = delete;
    Agent& operator=(const Agent&) = delete;

    /** Starts serving. Returns false and sets lastReason() if an address cannot be bound. */
    [[nodiscard]] bool start();
    [[nodiscard]] const std::string& lastReason() const noexcept { return this->reason; }
    /**
     * Refuses new attempts and sends a goodbye to the entries. Stops the context after the running attempts have
     * finished and their usage is stored. The drain time-out limits each of these two waits.
     */
    void drain();

    [[nodiscard]] delivery::Gate& gate() noexcept { return this->attemptGate; }
    [[nodiscard]] suspect::TargetGuard& guard() noexcept { return this->targetGuard; }
    [[nodiscard]] http::Client& target() noexcept { return this->targetClient; }
    [[nodiscard]] TargetMonitor& monitor() noexcept { return this->targetMonitor; }
    [[nodiscard]] usage::Ledger& ledger() noexcept { return this->usageLedger; }
    [[nodiscard]] metrics::Registry& metrics() noexcept { return this->registry; }
    [[nodiscard]] const base::Clock& clock() const noexcept { return this->systemClock; }
    [[nodiscard]] wire::LoadReport loadReport() const;
    /** Hello message of the entry that is connected through the session; empty if the entry has sent none. */
    [[nodiscard]] const wire::Hello& peerOf(const transport::Session& session) const;

    void addRun(const base::AttemptId& attempt, const std::shared_ptr<AttemptRun>& run);
    void removeRun(const base::AttemptId& attempt);

private:
    boost::asio::io_context& context;
    AgentOptions options;
    base::SystemClock systemClock;
    base::SeededRandom random { base::entropySeed() };
    base::Incarnation incarnation;
    metrics::Registry registry;
    suspect::StrikeTable strikes;
    suspect::TargetGuard targetGuard;
    delivery::Gate attemptGate;
    http::Client targetClient;
    TargetMonitor targetMonitor;
    store_http::AsioScheduler scheduler;
    store_http::HttpObjectStore objects;
    usage::Ledger usageLedger;
    boost::asio::ip::tcp::acceptor acceptor;
    std::shared_ptr<http::Server> httpServer;
    boost::asio::steady_timer heartbeatTimer;
    boost::asio::steady_timer drainTimer;
    std::map<base::AttemptId, std::weak_ptr<AttemptRun>> runs;
    std::set<std::shared_ptr<protocol::ControlStream>> controls;
    std::set<std::shared_ptr<transport::Session>> sessions;
    std::uint64_t heartbeatSequence = 0;
    std::string reason;
    bool draining = false;
    bool closing = false;

    void accept();
    void startSession(boost::asio::ip::tcp::socket socket);
    [[nodiscard]] std::shared_ptr<transport::StreamObserver> acceptStream(
        const std::shared_ptr<transport::Session>& session, transport::StreamId stream, std::string_view path);
    void handleControl(protocol::ControlStream& control, const wire::Control& message);
    void cancelAttempt(const wire::Cancel& message);
    [[nodiscard]] base::RefusalReason checkAttempt(const delivery::AttemptStart& start) const;
    void targetCrashed(base::Incarnation ended);
    void scheduleHeartbeat();
    void sendHeartbeat();
    [[nodiscard]] wire::Control heartbeat();
    void sendGoodbye();
    void finishDrainWhenIdle(base::SteadyTime deadline);
    void shutDown();
    [[nodiscard]] http::Task<void> serveHttp(const http::Request& request, http::ResponseWriter& writer);
};

} // namespace chivewinch::agent
