#include "entry/peer_set.hpp"

#include "base/hash.hpp"
#include "logging/event.hpp"
#include "protocol/convert.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>

#include <algorithm>
#include <utility>

namespace chivewinch::entry {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

namespace internal {

// Largest number of links that an entry opens. Together with the links that other entries open to it, the graph of
// entries is well connected.
constexpr std::size_t maxPeerLinks = 8;

/** Returns the peers with the largest rendezvous hashes for this entry. */
std::vector<settings::Endpoint> choosePeers(std::vector<settings::Endpoint> peers, const std::string& instance)
{
    const auto weight = [&instance](const settings::Endpoint& peer) {
        return base::hash64(settings::toString(peer), base::hash64(instance));
    };
    std::ranges::sort(peers, std::ranges::greater {}, weight);
    peers.resize(std::min(peers.size(), maxPeerLinks));
    return peers;
}

membership::TargetState toState(wire::PeerState state)
{
    return state == wire::PEER_LEAVING ? membership::TargetState::Leaving : membership::TargetState::Live;
}

wire::Control toControl(const bundle::PeerReply& reply)
{
    wire::Control message;
    auto& out = *message.mutable_bundle_reply();
    out.set_version(static_cast<std::uint64_t>(reply.version));
    out.set_manifest(reply.manifest);
    for (const auto& part : reply.parts)
        out.add_parts(part);
    return message;
}

} // namespace internal

PeerSet::PeerSet(const asio::any_io_executor& control, asio::any_io_executor links, const EntryOptions& options,
    Tables& tables, const base::Clock& clock, HeartbeatSource& heartbeats, PeerHandlers handlers)
    : control { control }
    , linkExecutor { std::move(links) }
    , options { options }
    , tables { tables }
    , clock { clock }
    , heartbeats { heartbeats }
    , handlers { std::move(handlers) }
    , acceptor { control }
    , heartbeatTimer { control }
{
}

void PeerSet::start()
{
    this->accept();
    this->openLinks();
    this->scheduleHeartbeat();
}

void PeerSet::stop()
{
    boost::system::error_code ignored;
    this->acceptor.close(ignored);
    this->heartbeatTimer.cancel();
    for (const auto& link : this->links)
        link->stop();
    for (const auto& session : std::set { this->sessions })
        session->close();
}

void PeerSet::openLinks()
{
    for (const auto& endpoint : internal::choosePeers(this->options.peers, this->options.instance)) {
        this->links.push_back(this->makeLink(endpoint));
        this->links.back()->start();
    }
}

std::shared_ptr<Link> PeerSet::makeLink(const settings::Endpoint& endpoint)
{
    LinkOptions linkOptions;
    linkOptions.endpoint = endpoint;
    linkOptions.heartbeatInterval = this->options.heartbeatInterval;
    const auto holder = std::make_shared<std::weak_ptr<Link>>();
    LinkHandlers linkHandlers;
    linkHandlers.onControl = [this, holder](const wire::Control& message) {
        asio::post(this->control, [this, holder, message] {
            const auto link = holder->lock();
            if (!link)
                return;
            const Send send = [holder](const wire::Control& out) {
                if (const auto open = holder->lock())
                    open->send(out);
            };
            this->handle(link.get(), this->peerOfLink[link.get()], message, send);
        });
    };
    linkHandlers.onConnected = [] {};
    linkHandlers.onDisconnected = [this, holder] {
        asio::post(this->control, [this, holder] {
            if (const auto link = holder->lock())
                this->removeConnection(link.get(), this->peerOfLink[link.get()]);
        });
    };
    linkHandlers.makeHello = [this] { return this->heartbeats.hello(); };
    linkHandlers.makeHeartbeat = [this] { return this->heartbeats.heartbeat(); };
    auto link = std::make_shared<Link>(this->linkExecutor, std::move(linkOptions), std::move(linkHandlers));
    *holder = link;
    return link;
}

void PeerSet::accept()
{
    this->acceptor.async_accept(this->control, [this](const boost::system::error_code& error, Tcp::socket socket) {
        if (error == asio::error::operation_aborted)
            return;
        if (!error)
            this->startSession(std::move(socket));
        this->accept();
    });
}

void PeerSet::startSession(Tcp::socket socket)
{
    const auto holder = std::make_shared<std::weak_ptr<transport::Session>>();
    auto session = transport::Session::server(
        std::move(socket), {},
        [this](const std::shared_ptr<transport::Session>& connection, transport::StreamId stream,
            std::string_view path) -> std::shared_ptr<transport::StreamObserver> {
            if (path != protocol::controlPath)
                return nullptr;
            auto control = std::make_shared<protocol::ControlStream>(
                connection, stream,
                [this](protocol::ControlStream& from, const wire::Control& message) {
                    if (message.has_hello())
                        from.setPeer(message.hello());
                    const auto kept = from.shared_from_this();
                    this->handle(
                        &from, from.peer().instance(), message, [kept](const wire::Control& out) { kept->send(out); });
                },
                [this](const std::shared_ptr<protocol::ControlStream>& ended) { this->closed(ended); });
            this->streams.insert(control);
            return control;
        },
        [this, holder](const transport::Error&) { this->sessions.erase(holder->lock()); });
    *holder = session;
    this->sessions.insert(session);
    session->start();
}

void PeerSet::closed(const std::shared_ptr<protocol::ControlStream>& stream)
{
    this->removeConnection(stream.get(), stream->peer().instance());
    this->streams.erase(stream);
}

void PeerSet::scheduleHeartbeat()
{
    this->heartbeatTimer.expires_after(this->options.heartbeatInterval);
    this->heartbeatTimer.async_wait([this](const boost::system::error_code& error) {
        if (error)
            return;
        this->sendToStreams(this->heartbeats.heartbeat());
        this->scheduleHeartbeat();
    });
}

void PeerSet::sendToStreams(const wire::Control& message)
{
    for (const auto& stream : this->streams)
        stream->send(message);
}

void PeerSet::sendGoodbye()
{
    const auto message = this->heartbeats.goodbye();
    this->sendToStreams(message);
    for (const auto& link : this->links)
        link->send(message);
}

void PeerSet::handle(const void* connection, const std::string& peer, const wire::Control& message, const Send& send)
{
    if (message.has_hello()) {
        this->handleHello(connection, message.hello(), send);
        return;
    }
    // Messages before the hello are ignored, since the hello identifies the peer.
    if (peer.empty())
        return;
    if (message.has_heartbeat()) {
        this->handleHeartbeat(peer, message.heartbeat());
    } else if (message.has_goodbye()) {
        this->apply({ .kind = membership::EventKind::Goodbye,
            .target = peer,
            .incarnation = base::Incarnation { message.goodbye().incarnation() } });
    } else if (message.has_bundle_request()) {
        this->handleBundleRequest(message.bundle_request(), send);
    } else if (message.has_bundle_reply()) {
        this->handleBundleReply(peer, message.bundle_reply());
    }
}

void PeerSet::handleHello(const void* connection, const wire::Hello& hello, const Send& send)
{
    if (hello.role() != "entry" || hello.instance().empty())
        return;
    const bool isLink = std::ranges::any_of(this->links, [&](const auto& link) { return link.get() == connection; });
    if (isLink)
        this->peerOfLink[connection] = hello.instance();
    else
        send(this->heartbeats.hello());
    auto& peer = this->peers[hello.instance()];
    peer.zone = hello.zone();
    peer.connections[connection] = send;
    this->apply({ .kind = membership::EventKind::Hello,
        .target = hello.instance(),
        .zone = hello.zone(),
        .incarnation = base::Incarnation { hello.incarnation() } });
    send(this->heartbeats.heartbeat());
}

void PeerSet::handleHeartbeat(const std::string& peer, const wire::Heartbeat& heartbeat)
{
    const auto known = this->peers.find(peer);
    if (known == this->peers.end())
        return;
    this->apply({ .kind = membership::EventKind::Heartbeat,
        .target = peer,
        .incarnation = base::Incarnation { heartbeat.incarnation() },
        .sequence = heartbeat.sequence(),
        .state = internal::toState(heartbeat.state()) });
    const auto strikes = protocol::toStrikes(heartbeat);
    if (!strikes.empty())
        this->tables.suspects.with([&strikes](Suspects& suspects) { suspects.strikes.merge(strikes); });
    known->second.version = std::max(known->second.version, base::BundleVersion { heartbeat.bundle_version() });
    this->handlers.onVersion(peer, known->second.zone, base::BundleVersion { heartbeat.bundle_version() });
}

void PeerSet::handleBundleRequest(const wire::BundleRequest& request, const Send& send)
{
    bundle::PeerRequest asked { .have = base::BundleVersion { request.have_version() }, .parts = {} };
    asked.parts.assign(request.part_hashes().begin(), request.part_hashes().end());
    send(internal::toControl(this->handlers.answer(asked)));
}

void PeerSet::handleBundleReply(const std::string& peer, const wire::BundleReply& reply)
{
    bundle::PeerReply received {
        .version = base::BundleVersion { reply.version() }, .manifest = reply.manifest(), .parts = {}
    };
    received.parts.assign(reply.parts().begin(), reply.parts().end());
    this->handlers.onReply(peer, received);
}

void PeerSet::request(const std::string& peer, bundle::PeerRequest request)
{
    const auto known = this->peers.find(peer);
    if (known == this->peers.end() || known->second.connections.empty())
        return;
    wire::Control message;
    auto& out = *message.mutable_bundle_request();
    out.set_have_version(static_cast<std::uint64_t>(request.have));
    for (const auto& hash : request.parts)
        out.add_part_hashes(hash);
    known->second.connections.begin()->second(message);
}

void PeerSet::announce(base::BundleVersion)
{
    const auto message = this->heartbeats.heartbeat();
    this->sendToStreams(message);
    for (const auto& link : this->links)
        link->send(message);
}

void PeerSet::apply(const membership::Event& event)
{
    (void)this->table.apply(event, this->clock.now());
    this->notifyMembershipChange();
}

void PeerSet::advance()
{
    this->table.advance(this->clock.now());
    this->notifyMembershipChange();
}

void PeerSet::notifyMembershipChange()
{
    if (std::exchange(this->tableVersion, this->table.version()) != this->table.version())
        this->handlers.onMembership();
}

void PeerSet::removeConnection(const void* connection, const std::string& peer)
{
    const auto known = this->peers.find(peer);
    if (known == this->peers.end())
        return;
    known->second.connections.erase(connection);
    if (known->second.connections.empty())
        this->handlers.onGone(peer);
}

std::vector<std::string> PeerSet::liveIn(const base::ZoneId& zone) const
{
    std::vector<std::string> live;
    for (const auto& view : this->table.snapshot()) {
        if (view.state == membership::TargetState::Live && view.zone == zone)
            live.push_back(view.target);
    }
    return live;
}

std::size_t PeerSet::liveCount() const { return this->table.count(membership::TargetState::Live); }

std::map<std::string, base::BundleVersion> PeerSet::versions() const
{
    std::map<std::string, base::BundleVersion> result;
    for (const auto& view : this->table.snapshot()) {
        const auto known = this->peers.find(view.target);
        if (view.state == membership::TargetState::Live && known != this->peers.end())
            result.emplace(view.target, known->second.version);
    }
    return result;
}

} // namespace chivewinch::entry
