#include "agent/agent.hpp"

#include "daemon/identity.hpp"
#include "http/listen.hpp"
#include "http/status.hpp"
#include "logging/event.hpp"
#include "protocol/convert.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <utility>

namespace chivewinch::agent {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

namespace internal {

constexpr std::chrono::milliseconds drainCheckInterval { 20 };

// Leaves time to send the last answers and the goodbye before the sockets are closed.
constexpr std::chrono::milliseconds flushDelay { 200 };

http::ClientOptions clientOptions(const settings::Endpoint& server)
{
    http::ClientOptions options;
    options.server = server;
    return options;
}

delivery::GateOptions gateOptions(const AgentOptions& options)
{
    delivery::GateOptions gate;
    gate.maxConcurrent = options.capacity + options.queue;
    gate.maxLifetime = std::chrono::seconds { 30 };
    return gate;
}

suspect::TargetGuardOptions guardOptions()
{
    suspect::TargetGuardOptions guard;
    // The entry prefers other targets for a request that was running during a crash. In a zone with a single target the
    // request can only run on this target again.
    guard.refuseRerunAfterCrash = false;
    return guard;
}

usage::LedgerOptions ledgerOptions(const AgentOptions& options, base::Incarnation incarnation)
{
    usage::LedgerOptions ledger;
    ledger.side = usage::Side::Agent;
    ledger.process = { .instance = options.instance, .incarnation = incarnation };
    ledger.segmentInterval = options.usageInterval;
    return ledger;
}

} // namespace internal

Agent::Agent(asio::io_context& context, AgentOptions agentOptions, usage::SigningKey key)
    : context { context }
    , options { std::move(agentOptions) }
    , incarnation { daemon::makeIncarnation(this->systemClock) }
    , strikes { this->systemClock }
    , targetGuard { this->strikes, this->options.target, internal::guardOptions() }
    , attemptGate { this->systemClock, this->incarnation, internal::gateOptions(this->options),
        [this](const delivery::AttemptStart& start) { return this->checkAttempt(start); } }
    , targetClient { context.get_executor(), internal::clientOptions(this->options.targetEndpoint) }
    , targetMonitor { this->targetClient, this->options.probeInterval,
        [this](base::Incarnation ended) { this->targetCrashed(ended); },
        // Sent immediately: entries wait for this heartbeat before they send attempts and before they decide the
        // outcome of requests that were lost with a previous agent.
        [this] { this->sendHeartbeat(); } }
    , scheduler { context.get_executor() }
    , objects { context.get_executor(), internal::clientOptions(this->options.objectStore) }
    , usageLedger { internal::ledgerOptions(this->options, this->incarnation), std::move(key), this->objects,
        this->scheduler, this->systemClock, this->random }
    , acceptor { context }
    , heartbeatTimer { context }
    , drainTimer { context }
{
}

bool Agent::start()
{
    if (!http::listen(this->acceptor, this->options.listen, this->reason))
        return false;
    http::ServerOptions serverOptions;
    serverOptions.listen = this->options.httpListen;
    this->httpServer = std::make_shared<http::Server>(
        this->context.get_executor(), std::move(serverOptions),
        [this](const http::Request& request, http::ResponseWriter& writer) { return this->serveHttp(request, writer); },
        [](http::RequestFailure) {});
    if (!this->httpServer->start()) {
        this->reason = this->httpServer->lastReason();
        return false;
    }
    this->usageLedger.start();
    asio::co_spawn(
        this->context, [this] { return this->targetMonitor.run(); }, asio::detached);
    this->accept();
    this->scheduleHeartbeat();
    logging::Event { "started" }
        .field("target", this->options.target)
        .field("incarnation", static_cast<std::uint64_t>(this->incarnation))
        .field("listen", settings::toString(this->options.listen))
        .info();
    return true;
}

void Agent::accept()
{
    this->acceptor.async_accept([this](const boost::system::error_code& error, Tcp::socket socket) {
        if (error == asio::error::operation_aborted)
            return;
        if (!error)
            this->startSession(std::move(socket));
        this->accept();
    });
}

void Agent::startSession(Tcp::socket socket)
{
    // The close handler needs the session's pointer to erase it from the set, but the session does not exist yet. The
    // handler therefore reads the pointer from this weak reference, which is set below.
    auto sessionReference = std::make_shared<std::weak_ptr<transport::Session>>();
    auto session = transport::Session::server(
        std::move(socket), {},
        [this](const std::shared_ptr<transport::Session>& connection, transport::StreamId stream,
            std::string_view path) { return this->acceptStream(connection, stream, path); },
        [this, sessionReference](const transport::Error& error) {
            logging::Event { "entry_disconnected" }.field("detail", error.detail).debug();
            this->sessions.erase(sessionReference->lock());
        });
    *sessionReference = session;
    this->sessions.insert(session);
    session->start();
}

std::shared_ptr<transport::StreamObserver> Agent::acceptStream(
    const std::shared_ptr<transport::Session>& session, transport::StreamId stream, std::string_view path)
{
    if (path == protocol::attemptPath)
        return std::make_shared<AttemptRun>(*this, session, stream);
    if (path != protocol::controlPath)
        return nullptr;
    auto control = std::make_shared<protocol::ControlStream>(
        session, stream,
        [this](protocol::ControlStream& from, const wire::Control& message) { this->handleControl(from, message); },
        [this](const std::shared_ptr<protocol::ControlStream>& closed) { this->controls.erase(closed); });
    this->controls.insert(control);
    return control;
}

void Agent::handleControl(protocol::ControlStream& control, const wire::Control& message)
{
    if (message.has_hello()) {
        control.setPeer(message.hello());
        this->usageLedger.addWitnessedProcess({ .instance = message.hello().instance(),
                                                  .incarnation = base::Incarnation { message.hello().incarnation() } },
            usage::Side::Entry);
        wire::Control answer;
        auto& hello = *answer.mutable_hello();
        hello.set_instance(this->options.instance);
        hello.set_zone(this->options.zone);
        hello.set_incarnation(static_cast<std::uint64_t>(this->incarnation));
        hello.set_role("agent");
        hello.set_target(this->options.target);
        control.send(answer);
        control.send(this->heartbeat());
    } else if (message.has_heartbeat()) {
        this->strikes.merge(protocol::toStrikes(message.heartbeat()));
    } else if (message.has_cancel()) {
        this->cancelAttempt(message.cancel());
    }
}

void Agent::cancelAttempt(const wire::Cancel& message)
{
    const auto request = protocol::toCancelRequest(message);
    if (this->attemptGate.cancel(request) != delivery::CancelResult::Running)
        return;
    const auto found = this->runs.find(request.key.attempt);
    if (found == this->runs.end())
        return;
    if (const auto run = found->second.lock())
        run->cancel();
}

base::RefusalReason Agent::checkAttempt(const delivery::AttemptStart& start) const
{
    if (!this->targetMonitor.up())
        return base::RefusalReason::TargetDown;
    if (!this->usageLedger.canAccept())
        return base::RefusalReason::UsageBacklog;
    return this->targetGuard.check(start.fingerprint);
}

void Agent::targetCrashed(base::Incarnation ended)
{
    logging::Event { "target_crashed" }
        .field("target", this->options.target)
        .field("target_incarnation", static_cast<std::uint64_t>(ended))
        .field("in_flight", this->targetGuard.fingerprintsInFlight())
        .warning();
    this->targetGuard.crashed(ended);
    // Sent immediately: an entry that receives a strike late may run the same request on another target and crash that
    // target too.
    this->sendHeartbeat();
}

wire::LoadReport Agent::loadReport() const
{
    auto report = this->targetMonitor.load();
    report.set_in_flight(this->attemptGate.load().inFlight);
    report.set_capacity(this->options.capacity);
    return report;
}

const wire::Hello& Agent::peerOf(const transport::Session& session) const
{
    for (const auto& control : this->controls) {
        if (control->connection() == &session)
            return control->peer();
    }
    return wire::Hello::default_instance();
}

void Agent::addRun(const base::AttemptId& attempt, const std::shared_ptr<AttemptRun>& run)
{
    this->runs.emplace(attempt, run);
}

void Agent::removeRun(const base::AttemptId& attempt) { this->runs.erase(attempt); }

wire::Control Agent::heartbeat()
{
    wire::Control message;
    auto& heartbeat = *message.mutable_heartbeat();
    heartbeat.set_incarnation(static_cast<std::uint64_t>(this->incarnation));
    heartbeat.set_sequence(++this->heartbeatSequence);
    const bool ready = this->targetMonitor.up();
    heartbeat.set_state(this->draining ? wire::PEER_LEAVING : ready ? wire::PEER_LIVE : wire::PEER_NOT_READY);
    heartbeat.set_target_incarnation(static_cast<std::uint64_t>(this->targetMonitor.targetIncarnation()));
    *heartbeat.mutable_load() = this->loadReport();
    protocol::assignStrikes(heartbeat, this->strikes.report());
    return message;
}

void Agent::sendHeartbeat()
{
    const auto message = this->heartbeat();
    for (const auto& control : this->controls)
        control->send(message);
}

void Agent::scheduleHeartbeat()
{
    this->heartbeatTimer.expires_after(this->options.heartbeatInterval);
    this->heartbeatTimer.async_wait([this](const boost::system::error_code& error) {
        if (error)
            return;
        this->sendHeartbeat();
        this->scheduleHeartbeat();
    });
}

void Agent::sendGoodbye()
{
    wire::Control message;
    message.mutable_goodbye()->set_incarnation(static_cast<std::uint64_t>(this->incarnation));
    message.mutable_goodbye()->set_reason("draining");
    for (const auto& control : this->controls)
        control->send(message);
}

void Agent::drain()
{
    if (std::exchange(this->draining, true))
        return;
    logging::Event { "draining" }.field("in_flight", this->attemptGate.load().inFlight).info();
    this->attemptGate.drain();
    this->sendGoodbye();
    this->finishDrainWhenIdle(this->systemClock.now() + this->options.drainTimeout);
}

void Agent::finishDrainWhenIdle(base::SteadyTime deadline)
{
    if (this->attemptGate.idle() || this->systemClock.now() >= deadline) {
        if (!this->attemptGate.idle())
            logging::Event { "drain_timeout" }.field("in_flight", this->attemptGate.load().inFlight).warning();
        this->shutDown();
        return;
    }
    this->drainTimer.expires_after(internal::drainCheckInterval);
    this->drainTimer.async_wait([this, deadline](const boost::system::error_code& error) {
        if (!error)
            this->finishDrainWhenIdle(deadline);
    });
}

void Agent::shutDown()
{
    if (std::exchange(this->closing, true))
        return;
    auto stopContext = [this] {
        this->drainTimer.expires_after(internal::flushDelay);
        this->drainTimer.async_wait([this](const boost::system::error_code&) {
            logging::Event { "stopped" }.info();
            this->context.stop();
        });
    };
    this->usageLedger.close(stopContext);
    // The object store may be unavailable, so the wait for the usage upload is limited to the drain time-out.
    this->heartbeatTimer.expires_after(this->options.drainTimeout);
    this->heartbeatTimer.async_wait([this](const boost::system::error_code& error) {
        if (error)
            return;
        logging::Event { "usage_not_stored" }.field("records", this->usageLedger.status().bufferedRecords).error();
        this->context.stop();
    });
}

http::Task<void> Agent::serveHttp(const http::Request& request, http::ResponseWriter& writer)
{
    const auto path = http::pathOf(request);
    http::Response response;
    response.contentType = "text/plain";
    if (path == "/healthz") {
        response.body = "ok\n";
    } else if (path == "/readyz") {
        const bool ready = !this->draining && this->targetMonitor.up();
        response.status = ready ? http::status::ok : http::status::unavailable;
        response.body = ready ? "ready\n" : "not ready\n";
    } else if (path == "/metrics") {
        response.body = this->registry.text();
    } else {
        response.status = http::status::notFound;
        response.body = "not found\n";
    }
    (void)co_await writer.send(std::move(response));
}

} // namespace chivewinch::agent
