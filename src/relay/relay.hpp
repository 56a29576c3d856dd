#pragma once

#include "base/clock.hpp"
#include "base/random.hpp"
#include "http/client_set.hpp"
#include "http/server.hpp"
#include "relay/codec.hpp"
#include "relay/peers.hpp"
#include "relay/relayed_table.hpp"
#include "watch/row_sink.hpp"
#include "watch/row_watcher.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace chivewinch::relay {

struct RelayOptions {
    std::string instance;
    base::ZoneId zone;
    settings::Endpoint listen; ///< Address for the peers.
    /**
     * Longest time that a peer waits for a change before it answers. A peer that has stalled is detected after this
     * time plus the slack.
     */
    std::chrono::milliseconds wait { 400 };
    std::chrono::milliseconds slack { 200 };
    /** A process whose last answer from the store is older than this does not vouch for the store. */
    std::chrono::milliseconds maxAge { 1'100 };
    PeerBackoff backoff;
    std::shared_ptr<http::BufferBudget> buffers; ///< For messages to and from peers.
    /**
     * Time from the registration of this process to the first read of the peers. All processes of an installation start
     * within 0.3 s, so that their rows are written by then.
     */
    std::chrono::milliseconds settleTime { 1'000 };
    /** Pause between attempts to write the own row, and between two checks for a source. */
    std::chrono::milliseconds retryTime { 500 };
    watch::WatchOptions peersWatch {
        .table = "peers", .wait = std::chrono::milliseconds { 0 }, .pause = std::chrono::milliseconds { 5'000 }
    };

    bool operator==(const RelayOptions&) const = default;
};

/** Time after which all processes that are in contact with the store know a change of the peers. */
[[nodiscard]] std::chrono::milliseconds propagationTime(const RelayOptions& options) noexcept;

/**
 * Lets one process of each zone, the first available one, read the store for its peers. All others query it for
 * changes. They read the store themselves only while that process does not answer, has no contact with the store, or
 * itself reads from a peer. Must be used on one executor.
 */
class Relay {
public:
    static constexpr const char* path = "/relay";
    static constexpr const char* contactPath = "/contact";
    /** Number of processes that are asked about their contact; one that has ended does not answer. */
    static constexpr std::size_t maxWitnesses = 2;

    /**
     * @param random Identifies the copies of the tables.
     * @param peersFeed, peersSink Access to the table in which the processes register themselves.
     */
    Relay(const boost::asio::any_io_executor& executor, RelayOptions options, const base::Clock& clock,
        base::RandomSource& random, watch::RowFeed& peersFeed, watch::RowSink& peersSink);
    Relay(const Relay&) = delete;
    Relay& operator=(const Relay&) = delete;
    ~Relay();

    /** Adds a table; must be called before start. The process serves its peers while none of the tables is overdue. */
    void add(std::string table, watch::RowWatcher& watcher, TableCopy::EquivalencePredicate isEquivalent = {});
    /**
     * Passes on rows that a watcher has reported.
     * @param isSnapshot The rows are the complete table.
     */
    void relayRows(const std::string& table, const std::vector<watch::RowChange>& rows, bool isSnapshot);

    /** Answers a message of a peer; nullopt if the message is invalid. */
    using Service = std::function<std::optional<std::string>(const std::string& body)>;

    /** Adds an answer to messages that peers send to the path; must be called before start. */
    void addService(std::string servicePath, Service service);
    /** Sends a message to a peer; nullopt if the peer is unknown or does not answer in time. */
    [[nodiscard]] http::Task<std::optional<std::string>> call(
        std::string instance, std::string servicePath, std::string body);

    /**
     * Asks processes of the zone, other than this one, about their contact with the store. Returns true if one of them
     * has had contact without interruption since the given time.
     */
    [[nodiscard]] http::Task<bool> hadContact(base::ZoneId zone, base::SteadyTime since);

    /** Registers this process and starts to serve. Returns false and sets lastReason if the address cannot be bound. */
    [[nodiscard]] bool start();
    [[nodiscard]] const std::string& lastReason() const noexcept { return this->reason; }
    /** Must be called after this process was suspended. It reads the store itself before it reads from a peer again. */
    void abandonSource();
    /** Stops serving peers. */
    void drain();
    void stop();

    /** True if this process was registered already when it started, so that its peers count with it. */
    [[nodiscard]] bool wasRegistered() const noexcept { return this->isRegisteredBefore; }
    /** True while this process gets its rows from a peer. */
    [[nodiscard]] bool isRelayed() const noexcept { return this->relayed; }
    /** All registered processes; empty before the first read. Rows of processes that have ended are included. */
    [[nodiscard]] const PeerList& knownPeers() const noexcept { return this->peers; }
    /** True if peers may read from this process. */
    [[nodiscard]] bool canServe() const;

private:
    boost::asio::any_io_executor executor;
    RelayOptions options;
    const base::Clock& clock;
    base::RandomSource& random;
    watch::RowSink& sink;
    PeerList peers;
    watch::RowWatcher peersWatcher;
    std::list<RelayedTable> tables;
    http::ClientSet clients;
    std::shared_ptr<http::Server> server;
    std::map<std::string, Service, std::less<>> services; ///< By path.
    boost::asio::steady_timer timer;
    std::vector<std::shared_ptr<boost::asio::steady_timer>> waiting; ///< Timers of the requests that wait for a change.
    std::string source; ///< Instance of the peer from which this process reads; empty if it reads the store.
    bool relayed = false;
    std::uint64_t abandoned = 0; ///< Number of calls of abandonSource.
    bool isRegisteredBefore = false;
    bool isWatchingPeers = false;
    bool isDraining = false;
    bool isStopped = false;
    std::string reason;

    [[nodiscard]] http::Task<void> registerSelf();
    [[nodiscard]] http::Task<void> run();
    /** Queries the peer for changes. Returns false if the peer must be skipped. */
    [[nodiscard]] http::Task<bool> pollPeer(Peer peer);
    [[nodiscard]] bool applyAnswer(
        const RelayAnswer& answer, const RelayQuery& query, const std::string& from, base::SteadyTime sentAt);
    void setRelayed(const std::string& from);
    /** Answer to a peer that reads from this process. */
    [[nodiscard]] http::Task<http::Response> serveRows(std::string body);
    [[nodiscard]] http::Task<void> serve(const http::Request& request, http::ResponseWriter& writer);
    [[nodiscard]] http::Task<void> waitForChange(const RelayQuery& query);
    /** Answer to a peer that asks about the contact of this process. */
    [[nodiscard]] std::string contactAnswer() const;
    [[nodiscard]] bool hasRowsFor(const RelayQuery& query) const;
    [[nodiscard]] RelayAnswer answerTo(const RelayQuery& query, base::SteadyTime arrivedAt) const;
    [[nodiscard]] http::Task<void> sleep(std::chrono::milliseconds time);
};

} // namespace chivewinch::relay
