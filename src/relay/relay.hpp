#pragma once

#include "base/clock.hpp"
#include "http/client_set.hpp"
#include "http/server.hpp"
#include "relay/codec.hpp"
#include "relay/peers.hpp"
#include "relay/table_copy.hpp"
#include "watch/row_sink.hpp"
#include "watch/row_watcher.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace chivewinch::relay {

struct RelayOptions {
    std::string instance;
    base::ZoneId zone;
    settings::Endpoint listen; ///< For the peers.
    /** Longest wait for a change at a peer. A peer that stands still goes unnoticed for this long and the slack. */
    std::chrono::milliseconds wait { 400 };
    std::chrono::milliseconds slack { 200 };
    /** A process that has heard from the store longer ago serves no peers. */
    std::chrono::milliseconds maxAge { 1'100 };
    PeerPatience patience;
    /** All processes of an installation start within 0.3 s; the peers are read after their rows were written. */
    std::chrono::milliseconds settleTime { 1'000 };
    /** Pause between attempts to write the own row, and between two looks for a source. */
    std::chrono::milliseconds retryTime { 500 };
    watch::WatchOptions peersWatch {
        .table = "peers", .wait = std::chrono::milliseconds { 0 }, .pause = std::chrono::milliseconds { 5'000 }
    };

    bool operator==(const RelayOptions&) const = default;
};

/** A table that is relayed. */
struct RelayedTable {
    std::string name;
    watch::RowWatcher* watcher = nullptr;
    TableCopy copy;
};

/**
 * Lets one process of each zone read the store for its peers: the first one of the zone that is well. All others ask it
 * for changes and read the store themselves only while it does not answer, is itself not in contact, or reads at a
 * peer. Used on one executor.
 */
class Relay {
public:
    static constexpr const char* path = "/relay";

    /** @param peersFeed, peersSink The table in which the processes enter themselves. */
    Relay(const boost::asio::any_io_executor& executor, RelayOptions options, const base::Clock& clock,
        watch::RowFeed& peersFeed, watch::RowSink& peersSink);
    Relay(const Relay&) = delete;
    Relay& operator=(const Relay&) = delete;
    ~Relay();

    /** Before start. The age of what this process knows is that of the first table. */
    void add(std::string table, watch::RowWatcher& watcher, TableCopy::SameMeaning isSame = {});
    /** A watcher has reported rows; they are passed on. */
    void note(const std::string& table, const std::vector<watch::RowChange>& rows, bool isWhole);

    /** False and a last reason if the address cannot be bound. */
    [[nodiscard]] bool start();
    [[nodiscard]] const std::string& lastReason() const noexcept { return this->reason; }
    /** This process has stood still: it reads the store itself before it follows a peer again. */
    void doubtSource();
    /** Serves no peers any more. */
    void drain();
    void stop();

    /** True while this process gets its rows from a peer. */
    [[nodiscard]] bool isRelayed() const noexcept { return this->relayed; }
    /** All processes that have entered themselves; none before they were read. Rows of processes that are gone count.
     */
    [[nodiscard]] const PeerList& knownPeers() const noexcept { return this->peers; }
    /** True if peers may read here. */
    [[nodiscard]] bool canServe() const;

private:
    boost::asio::any_io_executor executor;
    RelayOptions options;
    const base::Clock& clock;
    watch::RowSink& sink;
    PeerList peers;
    watch::RowWatcher peersWatcher;
    std::list<RelayedTable> tables;
    http::ClientSet clients;
    std::shared_ptr<http::Server> server;
    boost::asio::steady_timer timer;
    std::vector<std::shared_ptr<boost::asio::steady_timer>> waiting; ///< Of peers that wait for a change.
    std::string source; ///< Instance of the peer that is read; empty for the store.
    bool relayed = false;
    bool isDraining = false;
    bool isStopped = false;
    std::string reason;

    [[nodiscard]] http::Task<void> enter();
    [[nodiscard]] http::Task<void> run();
    /** Asks the peer for changes; false if it has to be passed over. */
    [[nodiscard]] http::Task<bool> follow(Peer peer);
    [[nodiscard]] bool takeOver(const RelayAnswer& answer);
    void setRelayed(const std::string& from);
    [[nodiscard]] http::Task<void> serve(const http::Request& request, http::ResponseWriter& writer);
    [[nodiscard]] http::Task<void> awaitNews(const RelayQuery& query);
    [[nodiscard]] bool hasNews(const RelayQuery& query) const;
    [[nodiscard]] RelayAnswer answerTo(const RelayQuery& query) const;
    [[nodiscard]] http::Task<void> sleep(std::chrono::milliseconds time);
};

} // namespace chivewinch::relay
