#include "entry/entry.hpp"

#include "daemon/identity.hpp"
#include "http/status.hpp"
#include "logging/event.hpp"

#include <boost/asio/bind_executor.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>

#include <utility>

namespace chivewinch::entry {

namespace asio = boost::asio;

namespace internal {

constexpr std::chrono::milliseconds tickInterval { 50 };
constexpr std::chrono::seconds rolloutCheckInterval { 1 };
constexpr std::chrono::milliseconds drainCheckInterval { 20 };
constexpr std::chrono::milliseconds flushTime { 200 };

http::ClientOptions clientOptions(const settings::Endpoint& server)
{
    http::ClientOptions options;
    options.server = server;
    options.readTimeout = std::chrono::seconds { 2 };
    return options;
}

claim::ClaimOptions claimOptions(const EntryOptions& options)
{
    claim::ClaimOptions claims;
    claims.entry = options.instance;
    return claims;
}

usage::LedgerOptions ledgerOptions(const EntryOptions& options, base::Incarnation incarnation)
{
    usage::LedgerOptions ledger;
    ledger.side = usage::Side::Entry;
    ledger.process = { .instance = options.instance, .incarnation = incarnation };
    ledger.segmentInterval = options.usageInterval;
    return ledger;
}

} // namespace internal

Entry::Entry(
    asio::io_context& context, EntryOptions entryOptions, usage::SigningKey key, const bundle::TrustedKeys& ownerKeys)
    : context { context }
    , options { std::move(entryOptions) }
    , incarnation { daemon::makeIncarnation(this->clock) }
    , tables { this->options, this->clock }
    , control { asio::make_strand(context) }
    , scheduler { this->control }
    , tableService { this->control, internal::clientOptions(this->options.tableService) }
    , objects { this->control, internal::clientOptions(this->options.objectStore) }
    , storeClient { this->tableService, this->objects, this->scheduler, this->clock, this->controlRandom }
    , claims { this->clock, this->scheduler, this->controlRandom, this->tableService, this->objects,
        internal::claimOptions(this->options) }
    , claimClient { this->control, this->claims }
    , ledger { internal::ledgerOptions(this->options, this->incarnation), std::move(key), this->objects,
        this->scheduler, this->clock, this->controlRandom }
    , heartbeats { this->options, this->tables, this->incarnation }
    , links { context.get_executor(), this->options, this->tables, this->clock, this->heartbeats,
        [this](const std::string& instance, base::Incarnation agent) { this->addWitnessedProcess(instance, agent); } }
    , peers { this->control, context.get_executor(), this->options, this->tables, this->clock, this->heartbeats,
        this->peerHandlers() }
    , bundles { { .options = this->options,
                    .store = this->storeClient,
                    .scheduler = this->scheduler,
                    .clock = this->clock,
                    .random = this->controlRandom,
                    .peers = this->peers,
                    .incarnation = this->incarnation },
        ownerKeys, [this](const std::shared_ptr<const bundle::Snapshot>& snapshot) { this->applyBundle(snapshot); } }
    , services { this->makeServices() }
    , callers { this->services, this->claimClient }
    , tickTimer { this->control }
    , drainTimer { this->control }
    , gauges { this->registry }
{
}

void Entry::updateGauges(std::size_t waiting)
{
    const auto snapshot = this->tables.snapshot();
    const auto live = this->tables.membership.with(
        [](const membership::TargetTable& table) { return table.count(membership::TargetState::Live); });
    this->gauges.bundleVersion.Set(snapshot ? static_cast<double>(snapshot->version()) : 0);
    this->gauges.liveTargets.Set(static_cast<double>(live));
    this->gauges.livePeers.Set(static_cast<double>(this->peers.liveCount()));
    this->gauges.waitingRequests.Set(static_cast<double>(waiting));
    this->gauges.openRequests.Set(static_cast<double>(this->server->openRequests()));
    this->gauges.usageBufferedBytes.Set(static_cast<double>(this->ledger.status().bufferedBytes));
    this->gauges.unsettledClaimBytes.Set(static_cast<double>(this->claims.unsettledBytes()));
    this->gauges.rolloutLease.Set(this->bundles.holdsRolloutLease() ? 1 : 0);
}

Services Entry::makeServices()
{
    return {
        .options = this->options,
        .clock = this->clock,
        .tables = this->tables,
        .metrics = this->registry,
        .timeToFirstToken = this->registry.seconds(
            "chivewinch_time_to_first_token_seconds", "Time from arrival to the first bytes of the answer"),
        .requestTime
        = this->registry.seconds("chivewinch_request_seconds", "Time from arrival to the end of the answer"),
        .droppedFrames
        = this->registry.counter("chivewinch_frames_dropped_total", "Frames that did not match the open attempt"),
        .linkOf = [this](const base::TargetId& target) { return this->links.find(target); },
        .disconnectedTargets = [this] { return this->links.disconnected(); },
        .countUsage = [this](const usage::Record& record) { this->countUsage(record); },
        .agentInstanceOf = [this](const base::TargetId& target) { return this->links.agentInstance(target); },
    };
}

bool Entry::start()
{
    http::ServerOptions serverOptions;
    serverOptions.listen = this->options.listen;
    serverOptions.maxBodyBytes = this->options.maxBodyBytes;
    serverOptions.maxConnections = this->options.maxConnections;
    this->server = std::make_shared<http::Server>(
        this->context.get_executor(), std::move(serverOptions),
        [this](const http::Request& request, http::ResponseWriter& writer) { return this->handle(request, writer); },
        [this](http::RequestFailure kind) {
            const bool large = kind == http::RequestFailure::BodyTooLarge;
            this->registry.refused(large ? base::RefusalReason::BodyTooLarge : base::RefusalReason::BadRequest);
        });
    if (!this->peers.listen()) {
        this->reason = this->peers.lastReason();
        return false;
    }
    if (!this->server->start()) {
        this->reason = this->server->lastReason();
        return false;
    }
    asio::post(this->control, [this] {
        this->ledger.start();
        this->peers.start();
        this->bundles.start();
        this->scheduleTick();
    });
    logging::Event { "started" }
        .field("zone", this->options.zone)
        .field("incarnation", static_cast<std::uint64_t>(this->incarnation))
        .field("listen", settings::toString(this->options.listen))
        .info();
    return true;
}

PeerHandlers Entry::peerHandlers()
{
    PeerHandlers handlers;
    handlers.onVersion = [this](const std::string& peer, const base::ZoneId& zone, base::BundleVersion version) {
        this->bundles.onVersion(peer, zone, version);
    };
    handlers.onGone = [this](const std::string& peer) { this->bundles.onPeerGone(peer); };
    handlers.onReply
        = [this](const std::string& peer, const bundle::PeerReply& reply) { this->bundles.onReply(peer, reply); };
    handlers.answer = [this](const bundle::PeerRequest& request) { return this->bundles.answer(request); };
    handlers.onMembership = [this] { this->updateMembership(); };
    return handlers;
}

void Entry::updateMembership()
{
    this->bundles.onMembership();
    auto zonePeers = this->peers.liveIn(this->options.zone);
    zonePeers.push_back(this->options.instance);
    this->tables.routing.with([&zonePeers](Routing& routing) { routing.router.setPeers(zonePeers); });
    const auto snapshot = this->tables.snapshot();
    const auto live = this->peers.liveCount() + 1;
    if (!snapshot)
        return;
    this->tables.limits.with([&](Limits& limits) { limits.teams.setEntries(live, snapshot->expectedEntries()); });
}

void Entry::applyBundle(const std::shared_ptr<const bundle::Snapshot>& snapshot)
{
    this->tables.applyBundle(snapshot);
    this->updateMembership();
    this->links.applyBundle(*snapshot);
    this->tables.refreshTargets();
    logging::Event { "bundle_in_force" }.field("version", static_cast<std::uint64_t>(snapshot->version())).info();
}

void Entry::countUsage(const usage::Record& record)
{
    asio::post(this->control, [this, record] { this->ledger.add(record); });
}

void Entry::addWitnessedProcess(const std::string& instance, base::Incarnation agent)
{
    asio::post(this->control, [this, instance, agent] {
        this->ledger.addWitnessedProcess({ .instance = instance, .incarnation = agent }, usage::Side::Agent);
    });
}

void Entry::scheduleTick()
{
    this->tickTimer.expires_after(internal::tickInterval);
    this->tickTimer.async_wait([this](const boost::system::error_code& error) {
        if (error)
            return;
        this->tick();
        this->scheduleTick();
    });
}

void Entry::tick()
{
    const auto now = this->clock.now();
    this->tables.membership.with([now](membership::TargetTable& table) { table.advance(now); });
    this->tables.refreshTargets();
    this->tables.suspects.with([](Suspects& suspects) { suspects.lostAgents.advance(suspects.strikes); });
    const auto waiting = this->tables.routing.with([now](Routing& routing) {
        routing.waiting.advance(routing.router, now);
        return routing.waiting.size();
    });
    this->tables.limits.with([waiting](Limits& limits) { limits.shedder.setQueued(waiting); });
    this->callers.setUsageAccepts(this->ledger.canAccept());
    this->peers.advance();
    if (now >= this->nextRolloutCheck) {
        this->nextRolloutCheck = now + internal::rolloutCheckInterval;
        this->bundles.advanceRollout();
        this->updateGauges(waiting);
    }
}

http::Task<void> Entry::handle(const http::Request& request, http::ResponseWriter& writer)
{
    auto admin = this->adminResponse(http::pathOf(request));
    if (admin) {
        (void)co_await writer.send(std::move(*admin));
        co_return;
    }
    co_await this->callers.serve(request, writer);
}

std::optional<http::Response> Entry::adminResponse(std::string_view path)
{
    http::Response response;
    response.contentType = "text/plain";
    if (path == "/healthz") {
        response.body = "ok\n";
    } else if (path == "/readyz") {
        const bool ready = !this->draining && this->tables.snapshot() != nullptr;
        response.status = ready ? http::status::ok : http::status::unavailable;
        response.body = ready ? "ready\n" : "not ready\n";
    } else if (path == "/metrics") {
        response.body = this->registry.text();
    } else if (path == "/status") {
        response.contentType = "application/json";
        response.body = this->statusJson();
    } else {
        return std::nullopt;
    }
    return response;
}

std::string Entry::statusJson()
{
    auto targets = nlohmann::ordered_json::array();
    const auto views = this->tables.membership.with([](membership::TargetTable& table) { return table.snapshot(); });
    for (const auto& view : views) {
        targets.push_back(
            { { "target", view.target }, { "zone", view.zone }, { "state", membership::toString(view.state) },
                { "incarnation", static_cast<std::uint64_t>(view.incarnation) } });
    }
    const auto snapshot = this->tables.snapshot();
    const auto version = snapshot ? static_cast<std::uint64_t>(snapshot->version()) : 0;
    const nlohmann::ordered_json status { { "instance", this->options.instance }, { "zone", this->options.zone },
        { "bundle_version", version }, { "draining", this->draining.load() },
        { "open_requests", this->server->openRequests() }, { "targets", std::move(targets) } };
    return status.dump();
}

void Entry::drain()
{
    if (this->draining.exchange(true))
        return;
    logging::Event { "draining" }.field("open_requests", this->server->openRequests()).info();
    this->server->drain();
    this->heartbeats.setLeaving();
    asio::dispatch(this->control, [this] {
        this->bundles.stop();
        this->peers.sendGoodbye();
        this->finishDrainWhenIdle(this->clock.now() + this->options.drainTimeout);
    });
}

void Entry::finishDrainWhenIdle(base::SteadyTime deadline)
{
    // Repeats of a request whose claim is not settled would get an unknown outcome.
    const bool idle = this->server->openRequests() == 0 && this->claims.keys() == 0;
    if (idle || this->clock.now() >= deadline) {
        if (!idle) {
            logging::Event { "drain_timeout" }
                .field("open_requests", this->server->openRequests())
                .field("unsettled_claims", this->claims.keys())
                .warning();
        }
        this->closeLedger();
        return;
    }
    this->drainTimer.expires_after(internal::drainCheckInterval);
    this->drainTimer.async_wait([this, deadline](const boost::system::error_code& error) {
        if (!error)
            this->finishDrainWhenIdle(deadline);
    });
}

void Entry::closeLedger()
{
    const auto stop = [this] {
        this->links.stop();
        this->peers.stop();
        this->drainTimer.expires_after(internal::flushTime);
        this->drainTimer.async_wait([this](const boost::system::error_code&) {
            logging::Event { "stopped" }.info();
            this->context.stop();
        });
    };
    this->ledger.close(stop);
    // The store may be down, so the process waits for it no longer than the drain time-out.
    this->tickTimer.expires_after(this->options.drainTimeout);
    this->tickTimer.async_wait([this](const boost::system::error_code& error) {
        if (error)
            return;
        logging::Event { "usage_not_stored" }.field("records", this->ledger.status().bufferedRecords).error();
        this->context.stop();
    });
}

} // namespace chivewinch::entry
