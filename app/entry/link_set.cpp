#include "entry/link_set.hpp"

#include "base/hash.hpp"
#include "logging/event.hpp"
#include "protocol/convert.hpp"
#include "routing/subset.hpp"

#include <set>
#include <utility>
#include <vector>

namespace chivewinch::entry {

namespace internal {

// Number of targets in the local zone, per model or service, that an entry is connected to.
constexpr std::size_t linksPerPool = 16;

// Number of targets in other zones, per model or service, that an entry is connected to for spill-over.
constexpr std::size_t remoteLinksPerPool = 4;

using Targets = std::vector<const bundle::Target*>;

/** Adds this entry's subset of the candidates, which are either all in the local zone or all in other zones. */
void addSubset(
    std::set<const bundle::Target*>& out, const Targets& candidates, std::uint64_t entryHash, std::size_t size)
{
    std::vector<std::uint64_t> hashes;
    hashes.reserve(candidates.size());
    for (const auto* target : candidates)
        hashes.push_back(base::hash64(target->id));
    for (const auto index : routing::chooseSubset(entryHash, hashes, size))
        out.insert(candidates[index]);
}

void addPool(std::set<const bundle::Target*>& out, const Targets& targets, const EntryOptions& options)
{
    Targets local;
    Targets remote;
    for (const auto* target : targets)
        (target->zone == options.zone ? local : remote).push_back(target);
    const auto entryHash = base::hash64(options.instance);
    addSubset(out, local, entryHash, linksPerPool);
    addSubset(out, remote, entryHash, remoteLinksPerPool);
}

std::set<const bundle::Target*> targetsOf(const bundle::Snapshot& snapshot, const EntryOptions& options)
{
    std::set<const bundle::Target*> targets;
    for (const auto& model : snapshot.bundle().models)
        addPool(targets, snapshot.targetsByModel(model.id), options);
    for (const auto& service : snapshot.bundle().services)
        addPool(targets, snapshot.targetsByService(service.id), options);
    return targets;
}

settings::Endpoint endpointOf(const bundle::Target& target)
{
    return { .address = target.address, .port = static_cast<std::uint16_t>(target.port) };
}

membership::TargetState stateOf(wire::PeerState state)
{
    switch (state) {
    case wire::PEER_LEAVING:
        return membership::TargetState::Leaving;
    case wire::PEER_NOT_READY:
        return membership::TargetState::Joining;
    default:
        return membership::TargetState::Live;
    }
}

} // namespace internal

LinkSet::LinkSet(boost::asio::any_io_executor executor, const EntryOptions& options, Tables& tables,
    const base::Clock& clock, HeartbeatSource& heartbeats, AgentHelloHandler onAgentHello)
    : executor { std::move(executor) }
    , options { options }
    , tables { tables }
    , clock { clock }
    , heartbeats { heartbeats }
    , onAgentHello { std::move(onAgentHello) }
{
}

void LinkSet::applyBundle(const bundle::Snapshot& snapshot)
{
    const auto wanted = internal::targetsOf(snapshot, this->options);
    this->links.with([&](Links& current) {
        Links next;
        for (const auto* target : wanted) {
            const auto endpoint = internal::endpointOf(*target);
            auto known = current.extract(target->id);
            if (known && known.mapped().endpoint == endpoint) {
                next.insert(std::move(known));
                continue;
            }
            if (known)
                known.mapped().link->stop();
            Entry entry { .endpoint = endpoint, .link = this->makeLink(*target), .agent = {} };
            entry.link->start();
            next.emplace(target->id, std::move(entry));
        }
        for (const auto& [id, entry] : current) {
            entry.link->stop();
            this->disconnectedTargets.with([&id = id](auto& targets) { targets.erase(id); });
        }
        current = std::move(next);
    });
}

std::shared_ptr<Link> LinkSet::makeLink(const bundle::Target& target)
{
    LinkOptions linkOptions;
    linkOptions.endpoint = internal::endpointOf(target);
    linkOptions.heartbeatInterval = this->options.heartbeatInterval;
    LinkHandlers handlers;
    handlers.onControl = [this, id = target.id, zone = target.zone](
                             const wire::Control& message) { this->handleControl(id, zone, message); };
    handlers.onConnected = [] {};
    // A target becomes suspect by missing heartbeats. A lost connection alone doesn't show that its other attempts
    // failed.
    handlers.onDisconnected = [] {};
    handlers.makeHello = [this] { return this->heartbeats.hello(); };
    handlers.makeHeartbeat = [this] { return this->heartbeats.heartbeat(); };
    return std::make_shared<Link>(this->executor, std::move(linkOptions), std::move(handlers));
}

std::shared_ptr<Link> LinkSet::find(const base::TargetId& target)
{
    return this->links.with([&target](Links& links) -> std::shared_ptr<Link> {
        const auto found = links.find(target);
        return found == links.end() ? nullptr : found->second.link;
    });
}

std::vector<base::TargetId> LinkSet::disconnected()
{
    return this->disconnectedTargets.with([](const auto& targets) {
        return std::vector<base::TargetId> { targets.begin(), targets.end() };
    });
}

std::string LinkSet::agentInstance(const base::TargetId& target)
{
    return this->links.with([&target](Links& links) -> std::string {
        const auto found = links.find(target);
        return found == links.end() ? std::string {} : found->second.agent;
    });
}

void LinkSet::stop()
{
    this->links.with([](Links& links) {
        for (const auto& [id, entry] : links)
            entry.link->stop();
    });
}

void LinkSet::handleControl(const base::TargetId& target, const base::ZoneId& zone, const wire::Control& message)
{
    if (message.has_hello()) {
        this->handleHello(target, zone, message.hello());
    } else if (message.has_heartbeat()) {
        this->handleHeartbeat(target, message.heartbeat());
    } else if (message.has_goodbye()) {
        this->apply({ .kind = membership::EventKind::Goodbye,
            .target = target,
            .incarnation = base::Incarnation { message.goodbye().incarnation() } });
    }
}

void LinkSet::handleHello(const base::TargetId& target, const base::ZoneId& zone, const wire::Hello& hello)
{
    if (hello.target() != target) {
        logging::Event { "wrong_target" }.field("expected", target).field("found", hello.target()).error();
        return;
    }
    this->links.with([&](Links& links) {
        if (const auto found = links.find(target); found != links.end())
            found->second.agent = hello.instance();
    });
    this->onAgentHello(hello.instance(), base::Incarnation { hello.incarnation() });
    this->apply({ .kind = membership::EventKind::Hello,
        .target = target,
        .zone = zone,
        .incarnation = base::Incarnation { hello.incarnation() } });
}

void LinkSet::handleHeartbeat(const base::TargetId& target, const wire::Heartbeat& heartbeat)
{
    this->apply({ .kind = membership::EventKind::Heartbeat,
        .target = target,
        .incarnation = base::Incarnation { heartbeat.incarnation() },
        .sequence = heartbeat.sequence(),
        .state = internal::stateOf(heartbeat.state()) });
    const auto strikes = protocol::toStrikes(heartbeat);
    this->tables.suspects.with([&](Suspects& suspects) {
        suspects.strikes.merge(strikes);
        suspects.lostAgents.recordTargetIncarnation(
            suspects.strikes, target, base::Incarnation { heartbeat.target_incarnation() });
    });
    const auto& load = heartbeat.load();
    this->tables.routing.with([&](Routing& routing) {
        routing.router.reported(target,
            { .inFlight = load.in_flight(), .queued = load.queued(), .capacity = load.capacity() }, this->clock.now());
        routing.waiting.advance(routing.router, this->clock.now());
    });
}

void LinkSet::apply(const membership::Event& event)
{
    const auto now = this->clock.now();
    this->tables.membership.with([&](membership::TargetTable& table) { (void)table.apply(event, now); });
    this->tables.refreshTargets();
}

} // namespace chivewinch::entry
