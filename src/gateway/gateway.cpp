#include "gateway/gateway.hpp"

#include "gateway/request_run.hpp"
#include "http/disconnect_watch.hpp"
#include "http/keep_running.hpp"
#include "http/status.hpp"
#include "logging/event.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <ctime>
#include <exception>
#include <set>
#include <utility>

namespace chivewinch::gateway {

namespace asio = boost::asio;

namespace internal {

// Maximum delay until a waiting request that can no longer start in time is refused.
constexpr std::chrono::milliseconds tickInterval { 50 };

// Minimum length of a suspension of the machine. The boot clock includes suspensions, the steady clock does not.
constexpr std::chrono::milliseconds minSuspension { 500 };

constexpr std::size_t maxStatusConnections = 32;

std::chrono::nanoseconds clockTime(clockid_t clock)
{
    timespec time {};
    (void)::clock_gettime(clock, &time);
    return std::chrono::seconds { time.tv_sec } + std::chrono::nanoseconds { time.tv_nsec };
}

GatewayOptions withLimitOptions(GatewayOptions options)
{
    options.dispatcher.limits.instance = options.instance;
    if (options.relay)
        options.dispatcher.limits.settleTime = relay::propagationTime(*options.relay);
    return options;
}

std::unique_ptr<relay::Relay> makeRelay(asio::io_context& context, const GatewayOptions& options,
    const base::Clock& clock, base::RandomSource& random, const Feeds& feeds)
{
    if (!options.relay || feeds.peers == nullptr || feeds.peersSink == nullptr)
        return nullptr;
    return std::make_unique<relay::Relay>(
        context.get_executor(), *options.relay, clock, random, *feeds.peers, *feeds.peersSink);
}

/** Keeps a request in the set of open ones. */
class OpenRun {
public:
    OpenRun(std::shared_ptr<std::set<RequestRun*>> runs, RequestRun& run)
        : runs { std::move(runs) }
        , run { run }
    {
        this->runs->insert(&this->run);
    }
    OpenRun(const OpenRun&) = delete;
    OpenRun& operator=(const OpenRun&) = delete;
    ~OpenRun() { this->runs->erase(&this->run); }

private:
    std::shared_ptr<std::set<RequestRun*>> runs;
    RequestRun& run;
};

/** Total time for which the machine has been suspended since it booted. */
std::chrono::nanoseconds suspendedTime() { return clockTime(CLOCK_BOOTTIME) - clockTime(CLOCK_MONOTONIC); }

} // namespace internal

Gateway::Gateway(asio::io_context& context, GatewayOptions initialOptions, const base::Clock& clock,
    base::RandomSource& random, Feeds feeds, Decoders decoders)
    : context { context }
    , options { internal::withLimitOptions(std::move(initialOptions)) }
    , clock { clock }
    , random { random }
    , decoders { std::move(decoders) }
    , requestMetrics { this->registry }
    , badInput { clock, this->registry }
    , evacuatedZonesMetric { this->registry.gauge(
          "chivewinch_evacuated_zones", "Zones whose targets get no new requests because of an evacuation") }
    , coldTargetsMetric { this->registry.gauge(
          "chivewinch_cold_targets", "Targets that get a limited rate of requests because they are cold") }
    , configurationGaps { this->registry.seconds("chivewinch_configuration_gap_seconds",
          "Time for which the configuration was not confirmed by the store or another entry") }
    , targets { this->options.targets }
    , dispatcher { this->options.dispatcher, random }
    , clients { context.get_executor(), this->options.attempts, this->options.buffers }
    , configurationWatcher { context.get_executor(), feeds.configuration, feeds.configurationWatch,
        { .onSnapshot =
                [this, table = feeds.configurationWatch.table](const auto& rows) {
                    this->applyEvacuationRows(rows, true);
                    this->applyConfigurationRows(rows);
                    this->forwardRows(table, rows, true);
                },
            .onChanges =
                [this, table = feeds.configurationWatch.table](const auto& rows) {
                    this->applyEvacuationRows(rows, false);
                    this->applyConfigurationRows(rows);
                    this->forwardRows(table, rows, false);
                },
            .onContact = [](bool) {},
            .onConfirmed
            = [this](auto gap) { this->configurationGaps.Observe(std::chrono::duration<double> { gap }.count()); } } }
    , targetsWatcher { context.get_executor(), feeds.targets, feeds.targetsWatch,
        { .onSnapshot =
                [this, table = feeds.targetsWatch.table](const auto& rows) {
                    this->applyTargetRows(rows, true);
                    this->forwardRows(table, rows, true);
                },
            .onChanges =
                [this, table = feeds.targetsWatch.table](const auto& rows) {
                    this->applyTargetRows(rows, false);
                    this->forwardRows(table, rows, false);
                },
            .onContact = [this](bool isInContact) { this->handleListContact(isInContact); } } }
    , relay { internal::makeRelay(context, this->options, clock, random, feeds) }
    , crashes { context.get_executor(), clock, random, this->options.strikes,
        { .instance = this->options.instance,
            .learnTime = this->options.strikeLearnTime,
            .share = this->options.shareStrikes },
        this->relay.get(), { .feed = feeds.strikes, .sink = feeds.strikesSink } }
    , services { .options = this->options,
        .clock = clock,
        .random = random,
        .snapshots = this->snapshots,
        .dispatcher = this->dispatcher,
        .clients = this->clients,
        .crashes = this->crashes,
        .metrics = this->requestMetrics,
        .runTimes = this->runTimes,
        .drainEnd = this->drainEnd }
    , ticker { context }
{
    if (!this->relay) {
        const quota::Member own { this->options.instance, this->options.zone };
        this->dispatcher.targetLimits().setMembers({ own }, clock.now());
        this->crashes.setMembers({ own });
        return;
    }
    // Targets report continuously; only changes that affect requests are relayed.
    this->relay->add(feeds.targetsWatch.table, this->targetsWatcher,
        [this](const auto& left, const auto& right) { return this->isSameTarget(left, right); });
    this->relay->add(feeds.configurationWatch.table, this->configurationWatcher);
    this->limitExchange = std::make_unique<LimitExchange>(
        context.get_executor(), this->dispatcher.targetLimits(), *this->relay, clock, random);
}

Gateway::~Gateway() = default;

bool Gateway::ready() const noexcept
{
    return this->snapshots.current() != nullptr && this->hasTargets && this->crashes.isSettled()
        && !this->drainingSince;
}

std::shared_ptr<http::Server> Gateway::makeServer(
    const settings::Endpoint& listen, std::size_t maxConnections, http::Server::Handler handler)
{
    auto server = std::make_shared<http::Server>(this->context.get_executor(),
        http::ServerOptions { .listen = listen, .buffers = this->options.buffers, .maxConnections = maxConnections },
        std::move(handler), [this](http::RequestFailure kind) { this->badInput.record(kind); });
    if (!server->start()) {
        this->reason = server->lastReason();
        return nullptr;
    }
    return server;
}

bool Gateway::start()
{
    const auto status = [this](const http::Request& request, http::ResponseWriter& writer) {
        return this->serveStatus(request, writer);
    };
    this->callerServer = this->makeServer(this->options.listen, this->options.maxConnections,
        [this](
            const http::Request& request, http::ResponseWriter& writer) { return this->serveCaller(request, writer); });
    this->readinessServer = this->makeServer(this->options.readiness, internal::maxStatusConnections, status);
    if (!this->callerServer || !this->readinessServer)
        return false;
    if (this->options.metrics) {
        this->metricsServer = this->makeServer(*this->options.metrics, internal::maxStatusConnections, status);
        if (!this->metricsServer)
            return false;
    }
    if (this->relay && !this->relay->start()) {
        this->reason = this->relay->lastReason();
        return false;
    }
    this->runInBackground("configuration", [this] { return this->configurationWatcher.run(); });
    this->runInBackground("targets", [this] { return this->targetsWatcher.run(); });
    this->runInBackground("tick", [this] { return this->tick(); });
    if (this->limitExchange)
        this->runInBackground("limits", [this] { return this->limitExchange->run(); });
    this->crashes.start();
    logging::Event { "start" }
        .field("zone", this->options.zone)
        .field("listen", settings::toString(this->options.listen))
        .info();
    return true;
}

void Gateway::runInBackground(std::string name, std::function<http::Task<void>()> task)
{
    asio::co_spawn(this->context, http::keepRunning(std::move(name), std::move(task)), asio::detached);
}

http::Task<void> Gateway::serveCaller(const http::Request& request, http::ResponseWriter& writer)
{
    const auto executor = co_await asio::this_coro::executor;
    RequestRun run { executor, this->services, request, writer };
    http::DisconnectWatch watch { executor };
    watch.start(writer, [&run] { run.handleCallerDisconnect(); });
    const internal::OpenRun open { this->runs, run };
    std::exception_ptr failure;
    try {
        co_await run.run();
    } catch (const std::exception&) {
        failure = std::current_exception();
    }
    // It refers to the run and the writer.
    co_await watch.stop();
    if (failure)
        std::rethrow_exception(failure);
}

http::Task<void> Gateway::serveStatus(const http::Request& request, http::ResponseWriter& writer) const
{
    const auto path = http::pathOf(request);
    http::Response response { .status = http::status::notFound };
    if (path == this->options.readinessPath)
        response = { .status = this->ready() ? http::status::ok : http::status::unavailable,
            .body = this->ready() ? "{}" : R"({"ready":false})" };
    else if (path == this->options.metricsPath)
        response
            = { .status = http::status::ok, .contentType = metrics::textContentType, .body = this->registry.text() };
    (void)co_await writer.send(std::move(response));
}

bool Gateway::isSameTarget(const std::string& left, const std::string& right) const
{
    std::string reason;
    auto before = this->decoders.target("target", left, reason);
    auto after = this->decoders.target("target", right, reason);
    if (!before || !after)
        return false;
    // The rest of the cold time shrinks with each report; a reader has computed its end from an earlier one.
    const bool isCold = after->coldFor.count() > 0;
    if (!this->hasColdRates || (isCold && after->coldFor <= before->coldFor))
        before->coldFor = after->coldFor;
    return before == after;
}

void Gateway::forwardRows(const std::string& table, const std::vector<watch::RowChange>& rows, bool isSnapshot)
{
    if (this->relay)
        this->relay->relayRows(table, rows, isSnapshot);
}

void Gateway::applyConfigurationRows(const std::vector<watch::RowChange>& rows)
{
    for (const auto& row : rows) {
        if (row.key != this->decoders.configurationKey || !row.value)
            continue;
        std::string decodeError;
        auto configuration = this->decoders.configuration(*row.value, decodeError);
        if (!configuration) {
            logging::Event { "configuration_refused" }.field("reason", decodeError).error();
            continue;
        }
        const auto version = configuration->version;
        const auto routes = configuration->routes.size();
        const auto limits = configuration->limits;
        const auto coldRates = configuration->coldRates;
        this->connectionLimits = configuration->targetConnections;
        if (!this->snapshots.replaceIfNewer(std::move(*configuration)))
            continue;
        this->hasColdRates = !coldRates.empty();
        this->dispatcher.targetLimits().coldTargets().setRates(coldRates, this->clock.now());
        this->callerServer->setLimits({ .maxHeaderBytes = limits.maxHeaderBytes,
            .maxBodyBytes = limits.maxBodyBytes,
            .requestTimeout = limits.headerTimeout,
            .idleTimeout = limits.idleTimeout });
        this->divideConnections();
        const auto& source = this->configurationWatcher.confirmation().source;
        logging::Event { "configuration" }
            .field("version", version)
            .field("routes", routes)
            .field("source", source.empty() ? "store" : source)
            .field("gap_ms", this->configurationWatcher.confirmationGap().count())
            .info();
    }
}

void Gateway::applyEvacuationRows(const std::vector<watch::RowChange>& rows, bool isSnapshot)
{
    if (!this->decoders.evacuatedZone)
        return;
    std::set<base::ZoneId> requested;
    for (const auto& row : rows) {
        const auto zone = this->decoders.evacuatedZone(row.key);
        // The row requests the evacuation, whatever its value is.
        if (zone && isSnapshot && row.value)
            requested.insert(*zone);
        else if (zone && !isSnapshot)
            this->evacuations.set(*zone, row.value.has_value());
    }
    if (isSnapshot)
        this->evacuations.replace(requested);
    const auto changes = this->evacuations.takeChanges();
    if (changes.empty())
        return;
    this->dispatcher.setEvacuatedZones(this->evacuations.zones(), this->clock.now());
    this->evacuatedZonesMetric.Set(static_cast<double>(this->evacuations.zones().size()));
    for (const auto& change : changes)
        this->logEvacuation(change);
}

void Gateway::logEvacuation(const membership::ZoneChange& change) const
{
    const auto& known = this->options.knownZones;
    const bool isKnown = known.empty() || known.contains(change.zone);
    logging::Event event { "zone_evacuation" };
    event.field("zone", change.zone).field("state", change.isEvacuated ? "begun" : "ended");
    if (isKnown)
        event.info();
    else
        event.field("reason", "no zone of this name is known").warning();
}

void Gateway::applyTargetRows(const std::vector<watch::RowChange>& rows, bool isSnapshot)
{
    const auto now = this->clock.now();
    std::vector<membership::ListedTarget> listed;
    for (const auto& row : rows) {
        std::string decodeError;
        auto target = row.value ? this->decoders.target(row.key, *row.value, decodeError) : std::nullopt;
        if (row.value && !target)
            logging::Event { "target_entry_refused" }.field("target", row.key).field("reason", decodeError).warning();
        if (target) {
            this->dispatcher.recordColdTime(*target, now);
            // It is not part of the list: the list would change with each report.
            target->coldFor = std::chrono::milliseconds { 0 };
        }
        if (target && isSnapshot)
            listed.push_back(std::move(*target));
        else if (target)
            this->targets.put(*target, now);
        else if (!isSnapshot)
            this->targets.remove(row.key, now);
    }
    if (isSnapshot)
        this->targets.replace(listed, now);
    this->hasTargets = true;
    this->applyTargets();
    if (this->unverifiedOutage && !this->targets.zonesWithMissing().empty())
        this->runInBackground("missing_targets",
            [this, since = *std::exchange(this->unverifiedOutage, std::nullopt)] { return this->verifyOutage(since); });
}

void Gateway::handleListContact(bool isInContact)
{
    const auto now = this->clock.now();
    if (!isInContact) {
        this->targets.markDisconnected(now);
        return;
    }
    const auto begin = this->targets.markReconnected(now, this->targetsWatcher.failedCallAt());
    const bool isVerifiable = begin && this->relay && now - *begin >= this->targetsWatcher.commonOutage();
    this->unverifiedOutage = isVerifiable ? begin : std::nullopt;
}

http::Task<void> Gateway::verifyOutage(base::SteadyTime since)
{
    const auto zones = this->targets.zonesWithMissing();
    for (const auto& zone : zones) {
        const bool wasAvailable = co_await this->relay->hadContact(zone, since);
        const auto removed = wasAvailable ? this->targets.removeMissing(zone) : 0;
        logging::Event { "missing_targets" }
            .field("zone", zone)
            .field("cause", wasAvailable ? "left" : "may_have_expired")
            .field("removed", removed)
            .info();
    }
    this->applyTargets();
}

void Gateway::applyTargets()
{
    if (this->targets.version() == this->targetsVersion)
        return;
    this->targetsVersion = this->targets.version();
    const auto listed = this->targets.snapshot();
    this->dispatcher.setTargets(listed, this->clock.now());
    this->clients.keepOnly(listed);
    const auto leaving = std::ranges::count_if(listed, [](const auto& target) { return target.leaving; });
    logging::Event { "targets" }.field("listed", listed.size()).field("leaving", leaving).info();
}

http::Task<void> Gateway::tick()
{
    auto suspended = internal::suspendedTime();
    while (!this->isStopped) {
        this->ticker.expires_after(internal::tickInterval);
        (void)co_await this->ticker.async_wait(asio::as_tuple(asio::use_awaitable));
        const auto now = internal::suspendedTime();
        if (now - suspended >= internal::minSuspension)
            this->handleSuspension();
        suspended = now;
        this->advance(this->clock.now());
    }
}

void Gateway::advance(base::SteadyTime now)
{
    this->targets.advance(now);
    this->applyTargets();
    this->updateRetryConstant();
    this->updateLimitMembers(now);
    this->dispatcher.targetLimits().advance(now);
    this->crashes.advance(now);
    this->dispatcher.advance(now);
    this->logShareChanges();
    this->logColdChanges();
    this->advanceDrain(now);
}

void Gateway::updateRetryConstant()
{
    if (!this->relay)
        return;
    const auto& peers = this->relay->knownPeers();
    const SharePosition now { .index = peers.place(), .count = peers.count() };
    if (std::exchange(this->position, now) == now)
        return;
    const auto constant = retryConstant(this->options.retries, now);
    this->dispatcher.setRetryConstant(constant);
    this->divideConnections();
    logging::Event { "retry_share" }.field("entries", now.count).field("constant", constant).info();
}

void Gateway::divideConnections()
{
    this->clients.setConnectionLimits(this->connectionLimits, std::max<std::size_t>(this->position.count, 1));
}

void Gateway::updateLimitMembers(base::SteadyTime now)
{
    if (!this->relay || this->peersVersion == this->relay->knownPeers().version())
        return;
    this->peersVersion = this->relay->knownPeers().version();
    if (this->relay->wasRegistered())
        this->dispatcher.targetLimits().setRegisteredBefore();
    std::vector<quota::Member> members;
    for (const auto& [instance, peer] : this->relay->knownPeers().all())
        members.push_back({ instance, peer.zone });
    this->crashes.setMembers(members);
    this->dispatcher.targetLimits().setMembers(std::move(members), now);
}

void Gateway::logShareChanges()
{
    for (const auto& change : this->dispatcher.targetLimits().takeChanges()) {
        logging::Event event { "target_share" };
        event.field("target", change.target);
        if (change.limit)
            event.field("limit", *change.limit);
        event.field("owners", change.owners).field("owner", change.isOwner).info();
    }
}

void Gateway::logColdChanges()
{
    auto& cold = this->dispatcher.targetLimits().coldTargets();
    const auto changes = cold.takeChanges();
    if (changes.empty())
        return;
    this->coldTargetsMetric.Set(static_cast<double>(cold.size()));
    for (const auto& change : changes) {
        logging::Event event { "target_cold" };
        event.field("target", change.target).field("state", change.isCold ? "begun" : "ended");
        if (change.isCold)
            event.field("owners", change.owners).field("owner", change.isOwner);
        event.info();
    }
}

void Gateway::handleSuspension()
{
    this->dispatcher.targetLimits().dropPermits();
    // All known state is outdated, and the other side may have closed the idle connections in the meantime.
    logging::Event { "resumed_after_suspension" }.warning();
    this->clients.closeIdleConnections();
    // A peer's data may be outdated as well; only the store can confirm that nothing has changed.
    if (this->relay)
        this->relay->abandonSource();
    this->configurationWatcher.discardConfirmation();
    this->targetsWatcher.discardConfirmation();
}

void Gateway::drain()
{
    if (this->drainingSince)
        return;
    const auto& timing = this->options.drain;
    this->drainingSince = this->clock.now();
    this->drainEnd = *this->drainingSince + timing.total - timing.answerMargin;
    logging::Event { "drain" }.field("open_requests", this->callerServer->openRequests()).info();
    this->callerServer->disableKeepAlive();
    if (this->relay)
        this->relay->drain();
}

void Gateway::advanceDrain(base::SteadyTime now)
{
    if (!this->drainingSince)
        return;
    const auto passed = now - *this->drainingSince;
    if (passed < this->options.drain.acceptFor)
        return;
    this->callerServer->drain();
    if (now >= *this->drainEnd)
        std::ranges::for_each(*this->runs, &RequestRun::handleDrainEnd);
    if (this->callerServer->idle() || passed >= this->options.drain.total)
        this->stop();
}

void Gateway::stop()
{
    logging::Event { "stop" }.field("cut_requests", this->callerServer->openRequests()).info();
    this->isStopped = true;
    if (this->limitExchange)
        this->limitExchange->stop();
    this->crashes.stop();
    this->context.stop();
}

} // namespace chivewinch::gateway
