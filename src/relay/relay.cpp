#include "relay/relay.hpp"

#include "http/keep_running.hpp"
#include "http/status.hpp"
#include "logging/event.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace chivewinch::relay {

namespace asio = boost::asio;

namespace internal {

constexpr const char* contentType = "application/cbor";

// Each peer of a zone holds one connection. A zone of the largest planned installation has some hundred peers.
constexpr std::size_t maxConnections = 500;

} // namespace internal

std::chrono::milliseconds propagationTime(const RelayOptions& options) noexcept
{
    // One reading of the table may have just begun, and one may fail. Then a peer passes the rows on, or a process
    // whose source has failed reads the store itself.
    return 2 * (options.peersWatch.pause + options.peersWatch.wait + options.wait + options.slack);
}

Relay::Relay(const asio::any_io_executor& executor, RelayOptions given, const base::Clock& clock,
    base::RandomSource& random, watch::RowFeed& peersFeed, watch::RowSink& peersSink)
    : executor { executor }
    , options { std::move(given) }
    , clock { clock }
    , random { random }
    , sink { peersSink }
    , peers { { .instance = this->options.instance, .zone = this->options.zone, .endpoint = this->options.listen },
        this->options.backoff }
    , peersWatcher { executor, peersFeed, this->options.peersWatch,
        { .onSnapshot =
                [this](const auto& rows) {
                    this->peers.replace(rows);
                    this->relayRows(this->options.peersWatch.table, rows, true);
                },
            .onChanges =
                [this](const auto& rows) {
                    this->peers.change(rows);
                    this->relayRows(this->options.peersWatch.table, rows, false);
                },
            .onContact = [](bool) {} } }
    , clients { executor,
        { .connectTimeout = this->options.slack,
            .readTimeout = this->options.wait + this->options.slack,
            .maxIdleConnections = 1,
            .buffers = this->options.buffers,
            .responseTimeoutFactor = 1 } }
    , timer { executor }
{
}

Relay::~Relay() = default;

void Relay::add(std::string table, watch::RowWatcher& watcher, TableCopy::EquivalencePredicate isEquivalent)
{
    this->tables.emplace_back(std::move(table), watcher, TableCopy { this->random.next(), std::move(isEquivalent) });
}

void Relay::relayRows(const std::string& table, const std::vector<watch::RowChange>& rows, bool isSnapshot)
{
    const auto found = std::ranges::find(this->tables, table, &RelayedTable::name);
    if (found == this->tables.end() || !found->recordRows(rows, isSnapshot))
        return;
    for (const auto& waiter : std::exchange(this->waiting, {}))
        waiter->cancel();
}

bool Relay::start()
{
    this->add(this->options.peersWatch.table, this->peersWatcher);
    this->server = std::make_shared<http::Server>(
        this->executor,
        http::ServerOptions { .listen = this->options.listen,
            .buffers = this->options.buffers,
            .maxConnections = internal::maxConnections },
        [this](const http::Request& request, http::ResponseWriter& writer) { return this->serve(request, writer); },
        [](http::RequestFailure kind) { logging::Event { "bad_input" }.field("reason", http::toString(kind)).info(); });
    if (!this->server->start()) {
        this->reason = this->server->lastReason();
        return false;
    }
    asio::co_spawn(this->executor, http::keepRunning("relay", [this] { return this->run(); }), asio::detached);
    return true;
}

void Relay::abandonSource()
{
    ++this->abandoned;
    if (this->relayed)
        this->peers.recordRefusal(this->source, this->clock.now());
    this->setRelayed({});
}

void Relay::drain() { this->isDraining = true; }

void Relay::stop()
{
    this->isStopped = true;
    this->timer.cancel();
    this->peersWatcher.stop();
    if (this->server)
        this->server->abort();
}

http::Task<void> Relay::sleep(std::chrono::milliseconds time)
{
    if (this->isStopped)
        co_return;
    this->timer.expires_after(time);
    (void)co_await this->timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

http::Task<void> Relay::registerSelf()
{
    const Peer own { .instance = this->options.instance, .zone = this->options.zone, .endpoint = this->options.listen };
    for (bool isFirst = true; !this->isStopped; isFirst = false) {
        const auto result = co_await this->sink.put(own.instance, encode(own));
        // After a write that was not acknowledged, an unchanged row can be its own result.
        this->isRegisteredBefore = isFirst && result == watch::PutResult::Unchanged;
        if (result != watch::PutResult::Failed)
            break;
        co_await this->sleep(this->options.retryTime);
    }
}

http::Task<void> Relay::run()
{
    if (!this->isWatchingPeers) {
        co_await this->registerSelf();
        // The peers of a process that was registered before have not waited for it.
        if (!this->isRegisteredBefore)
            co_await this->sleep(this->options.settleTime);
        this->isWatchingPeers = true;
        asio::co_spawn(
            this->executor, http::keepRunning("peers", [this] { return this->peersWatcher.run(); }), asio::detached);
    }
    while (!this->isStopped) {
        const auto peer = this->peers.source(this->clock.now());
        if (!peer) {
            this->setRelayed({});
            co_await this->sleep(this->options.retryTime);
            continue;
        }
        const bool polled = co_await this->pollPeer(*peer);
        if (polled)
            this->peers.recordSuccess(peer->instance);
        this->setRelayed(polled ? peer->instance : std::string {});
    }
}

void Relay::setRelayed(const std::string& from)
{
    if (from == this->source && this->relayed == !from.empty())
        return;
    this->source = from;
    this->relayed = !from.empty();
    for (auto& table : this->tables)
        table.setPaused(this->relayed);
    logging::Event { "rows_source" }.field("source", from.empty() ? "store" : from).info();
}

http::Task<bool> Relay::pollPeer(Peer peer)
{
    RelayQuery query { .wait = this->options.wait };
    for (const auto& table : this->tables)
        query.tables.emplace(table.name(), table.query());
    const auto client = this->clients.of(peer.endpoint);
    http::Error error;
    const http::SendOptions send;
    const auto sentAt = this->clock.now();
    const auto abandonedBefore = this->abandoned;
    const auto response
        = co_await client->send(http::makeRequest("POST", path, encode(query), internal::contentType), send, error);
    // The answer may be from before a suspension.
    if (this->abandoned != abandonedBefore)
        co_return false;
    if (!response) {
        this->peers.recordTimeout(peer.instance, this->clock.now());
        co_return false;
    }
    const auto answer = response->status == http::status::ok ? decodeAnswer(response->body) : std::nullopt;
    const bool isTaken = answer && this->applyAnswer(*answer, query, peer.instance, sentAt);
    if (!isTaken)
        this->peers.recordRefusal(peer.instance, this->clock.now());
    co_return isTaken;
}

bool Relay::applyAnswer(
    const RelayAnswer& answer, const RelayQuery& query, const std::string& from, base::SteadyTime sentAt)
{
    const auto now = this->clock.now();
    bool isComplete = true;
    for (auto& table : this->tables) {
        const auto found = answer.tables.find(table.name());
        if (found == answer.tables.end()) {
            isComplete = false;
            continue;
        }
        // The query arrived after it was sent, so that this is not later than the confirmation at the source.
        const watch::Confirmation confirmation { .source = from, .at = std::min(now, sentAt - found->second.age) };
        isComplete = table.apply(found->second, query.tables.at(table.name()), confirmation) && isComplete;
    }
    return isComplete;
}

bool Relay::canServe() const
{
    if (this->relayed || this->isDraining || this->tables.empty())
        return false;
    return std::ranges::all_of(this->tables, [](const auto& table) {
        return table.watcher().inContact() && table.copy().isKnown() && !table.watcher().isOverdue();
    });
}

bool Relay::hasRowsFor(const RelayQuery& query) const
{
    return std::ranges::any_of(this->tables, [&query](const auto& table) {
        const auto found = query.tables.find(table.name());
        return found != query.tables.end() && table.hasRowsFor(found->second);
    });
}

http::Task<void> Relay::waitForChange(const RelayQuery& query)
{
    auto waiter = std::make_shared<asio::steady_timer>(this->executor);
    waiter->expires_after(std::min(query.wait, this->options.wait));
    this->waiting.push_back(waiter);
    (void)co_await waiter->async_wait(asio::as_tuple(asio::use_awaitable));
    std::erase(this->waiting, waiter);
}

RelayAnswer Relay::answerTo(const RelayQuery& query, base::SteadyTime arrivedAt) const
{
    RelayAnswer answer;
    for (const auto& table : this->tables) {
        const auto found = query.tables.find(table.name());
        if (found == query.tables.end())
            continue;
        auto update = table.answer(found->second);
        const auto confirmedAt = table.watcher().confirmation().at;
        update.age = confirmedAt ? std::chrono::ceil<std::chrono::milliseconds>(arrivedAt - *confirmedAt) : unknownAge;
        answer.tables.emplace(table.name(), std::move(update));
    }
    return answer;
}

void Relay::addService(std::string servicePath, Service service)
{
    this->services.insert_or_assign(std::move(servicePath), std::move(service));
}

http::Task<std::optional<std::string>> Relay::call(std::string instance, std::string servicePath, std::string body)
{
    const auto peer = this->peers.all().find(instance);
    if (peer == this->peers.all().end())
        co_return std::nullopt;
    const auto client = this->clients.of(peer->second.endpoint);
    http::Error error;
    const http::SendOptions send;
    auto response = co_await client->send(
        http::makeRequest("POST", servicePath, std::move(body), internal::contentType), send, error);
    if (!response || response->status != http::status::ok)
        co_return std::nullopt;
    co_return std::move(response->body);
}

std::string Relay::contactAnswer() const
{
    ContactAnswer answer;
    if (!this->tables.empty())
        answer.contact = this->tables.front().watcher().contactTime(this->options.maxAge);
    return encode(answer);
}

http::Task<bool> Relay::hadContact(base::ZoneId zone, base::SteadyTime since)
{
    std::vector<std::string> witnesses;
    for (const auto& [instance, peer] : this->peers.all()) {
        if (peer.zone == zone && instance != this->options.instance)
            witnesses.push_back(instance);
    }
    for (std::size_t asked = 0; asked < maxWitnesses && !witnesses.empty(); ++asked) {
        const auto next = witnesses.begin() + static_cast<std::ptrdiff_t>(this->random.below(witnesses.size()));
        const auto instance = *next;
        witnesses.erase(next);
        const auto body = co_await this->call(instance, contactPath, {});
        const auto answer = body ? decodeContactAnswer(*body) : std::nullopt;
        if (answer && answer->contact >= this->clock.now() - since)
            co_return true;
    }
    co_return false;
}

http::Task<http::Response> Relay::serveRows(std::string body)
{
    http::Response response { .status = http::status::badRequest };
    const auto arrivedAt = this->clock.now();
    const auto query = decodeQuery(body);
    if (!query)
        co_return response;
    if (this->canServe() && !this->hasRowsFor(*query))
        co_await this->waitForChange(*query);
    response.status = http::status::unavailable;
    if (this->canServe())
        response = { .status = http::status::ok,
            .contentType = internal::contentType,
            .body = encode(this->answerTo(*query, arrivedAt)) };
    co_return response;
}

http::Task<void> Relay::serve(const http::Request& request, http::ResponseWriter& writer)
{
    http::Response response { .status = http::status::notFound };
    if (http::pathOf(request) == path) {
        response = co_await this->serveRows(request.body());
    } else if (http::pathOf(request) == contactPath) {
        response = { .status = http::status::ok, .contentType = internal::contentType, .body = this->contactAnswer() };
    } else if (const auto service = this->services.find(http::pathOf(request)); service != this->services.end()) {
        auto body = service->second(request.body());
        response.status = body ? http::status::ok : http::status::badRequest;
        if (body) {
            response.contentType = internal::contentType;
            response.body = std::move(*body);
        }
    }
    (void)co_await writer.send(std::move(response));
}

} // namespace chivewinch::relay
