#pragma once

#include "bundle/peer_exchange.hpp"
#include "entry/heartbeat_source.hpp"
#include "entry/link.hpp"
#include "http/listen.hpp"
#include "membership/target_table.hpp"
#include "protocol/control_stream.hpp"
#include "transport/session.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace chivewinch::entry {

/** Callbacks for messages and changes of peers, called on the control strand. */
struct PeerHandlers {
    std::function<void(const std::string& peer, const base::ZoneId& zone, base::BundleVersion version)> onVersion;
    std::function<void(const std::string& peer)> onGone;
    std::function<void(const std::string& peer, const bundle::PeerReply&)> onReply;
    std::function<bundle::PeerReply(const bundle::PeerRequest&)> answer;
    /** Called when the set of live entries has changed. */
    std::function<void()> onMembership;
};

/** Connections to other entries, opened by either side. Used on the control strand only. */
class PeerSet final : public bundle::PeerChannel {
public:
    PeerSet(const boost::asio::any_io_executor& control, boost::asio::any_io_executor links,
        const EntryOptions& options, Tables& tables, const base::Clock& clock, HeartbeatSource& heartbeats,
        PeerHandlers handlers);

    /** Returns false and sets lastReason() if the address cannot be bound. */
    [[nodiscard]] bool listen() { return http::listen(this->acceptor, this->options.peerListen, this->reason); }
    [[nodiscard]] const std::string& lastReason() const noexcept { return this->reason; }
    void start();
    void stop();
    /** Marks peers with missing heartbeats as suspect; must be called several times per heartbeat interval. */
    void advance();
    /** Sends a goodbye to all peers. */
    void sendGoodbye();

    void request(const std::string& peer, bundle::PeerRequest request) override;
    void announce(base::BundleVersion version) override;

    /** Live entries of a zone, without this one. */
    [[nodiscard]] std::vector<std::string> liveIn(const base::ZoneId& zone) const;
    [[nodiscard]] std::size_t liveCount() const;
    /** Newest version that each live peer has reported. */
    [[nodiscard]] std::map<std::string, base::BundleVersion> versions() const;

private:
    using Send = std::function<void(const wire::Control&)>;

    struct Peer {
        base::ZoneId zone;
        base::BundleVersion version {};
        std::map<const void*, Send> connections; ///< Keyed by the address of the link or control stream.
    };

    boost::asio::any_io_executor control;
    boost::asio::any_io_executor linkExecutor;
    const EntryOptions& options;
    Tables& tables;
    const base::Clock& clock;
    HeartbeatSource& heartbeats;
    PeerHandlers handlers;
    std::string reason;
    boost::asio::ip::tcp::acceptor acceptor;
    boost::asio::steady_timer heartbeatTimer;
    std::vector<std::shared_ptr<Link>> links;
    std::map<const void*, std::string> peerOfLink;
    std::set<std::shared_ptr<transport::Session>> sessions;
    std::set<std::shared_ptr<protocol::ControlStream>> streams;
    membership::PeerTable table;
    std::uint64_t tableVersion = 0;
    std::map<std::string, Peer> peers;

    void openLinks();
    [[nodiscard]] std::shared_ptr<Link> makeLink(const settings::Endpoint& endpoint);
    void accept();
    void startSession(boost::asio::ip::tcp::socket socket);
    void closed(const std::shared_ptr<protocol::ControlStream>& stream);
    void scheduleHeartbeat();
    void sendToStreams(const wire::Control& message);
    void handle(const void* connection, const std::string& peer, const wire::Control& message, const Send& send);
    void handleHello(const void* connection, const wire::Hello& hello, const Send& send);
    void handleHeartbeat(const std::string& peer, const wire::Heartbeat& heartbeat);
    void handleBundleRequest(const wire::BundleRequest& request, const Send& send);
    void handleBundleReply(const std::string& peer, const wire::BundleReply& reply);
    void apply(const membership::Event& event);
    void notifyMembershipChange();
    void removeConnection(const void* connection, const std::string& peer);
};

} // namespace chivewinch::entry
