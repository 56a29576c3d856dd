#pragma once

#include "base/clock.hpp"
#include "base/random.hpp"
#include "gateway/bad_input_log.hpp"
#include "gateway/crash_guard.hpp"
#include "gateway/fwd.hpp"
#include "gateway/limit_exchange.hpp"
#include "gateway/options.hpp"
#include "gateway/request_metrics.hpp"
#include "gateway/services.hpp"
#include "http/server.hpp"
#include "membership/listed_targets.hpp"
#include "membership/zone_evacuations.hpp"
#include "metrics/registry.hpp"
#include "watch/row_watcher.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace chivewinch::gateway {

/** Decoders for rows of the deployment's tables; each returns nullopt and a reason for an invalid row. */
struct Decoders {
    std::function<std::optional<Configuration>(const std::string& value, std::string& reason)> configuration;
    std::function<std::optional<membership::ListedTarget>(
        const std::string& key, const std::string& value, std::string& reason)>
        target;
    std::string configurationKey; ///< Key of the row that holds the newest configuration.
    /** Zone whose evacuation a row of the configuration's table requests by its key; nullopt for other rows. */
    std::function<std::optional<base::ZoneId>(const std::string& key)> evacuatedZone;
};

/** Tables of the deployment; they must outlive the gateway. */
struct Feeds {
    watch::RowFeed& configuration;
    watch::RowFeed& targets;
    watch::WatchOptions configurationWatch;
    watch::WatchOptions targetsWatch;
    /** Table through which the entries discover each other; only needed with GatewayOptions::relay. */
    watch::RowFeed* peers = nullptr;
    watch::RowSink* peersSink = nullptr;
    /** Table in which strikes outlast the processes; nullptr if they need not. */
    watch::RowFeed* strikes = nullptr;
    watch::RowSink* strikesSink = nullptr;
};

/** Forwards requests of callers to targets over direct connections. Runs on one thread. */
class Gateway {
public:
    Gateway(boost::asio::io_context& context, GatewayOptions options, const base::Clock& clock,
        base::RandomSource& random, Feeds feeds, Decoders decoders);
    Gateway(const Gateway&) = delete;
    Gateway& operator=(const Gateway&) = delete;
    ~Gateway();

    /** Returns false and sets lastReason() if an address cannot be bound. */
    [[nodiscard]] bool start();
    [[nodiscard]] const std::string& lastReason() const noexcept { return this->reason; }

    /** Finishes the open requests, then stops the gateway. */
    void drain();

    /**
     * True if requests can be served: a configuration and a target list are present, strikes were read from the store
     * or the time for that has passed, and no drain has begun.
     */
    [[nodiscard]] bool ready() const noexcept;

private:
    boost::asio::io_context& context;
    GatewayOptions options;
    const base::Clock& clock;
    base::RandomSource& random;
    Decoders decoders;
    metrics::Registry registry;
    RequestMetrics requestMetrics;
    BadInputLog badInput;
    prometheus::Gauge& evacuatedZonesMetric;
    prometheus::Gauge& coldTargetsMetric;
    prometheus::Histogram& configurationGaps;
    SnapshotHolder snapshots;
    membership::ListedTargets targets;
    std::uint64_t targetsVersion = 0;
    /** Begin of an outage that has ended and is to be verified once the changes since then are known. */
    std::optional<base::SteadyTime> unverifiedOutage;
    membership::ZoneEvacuations evacuations;
    Dispatcher dispatcher;
    TargetClients clients;
    watch::RowWatcher configurationWatcher;
    watch::RowWatcher targetsWatcher;
    std::unique_ptr<relay::Relay> relay;
    CrashGuard crashes;
    RunTimes runTimes;
    std::optional<base::SteadyTime> drainEnd; ///< Time by which requests are answered; set when a drain begins.
    /** Requests without a final answer. Shared with their coroutines, which the context can destroy after the gateway.
     */
    std::shared_ptr<std::set<RequestRun*>> runs = std::make_shared<std::set<RequestRun*>>();
    Services services;
    std::unique_ptr<LimitExchange> limitExchange;
    std::uint64_t peersVersion = 0; ///< Version of the peers among which the request limits are divided.
    SharePosition position; ///< Position among the entries that the relay knows.
    std::map<std::string, std::uint32_t> connectionLimits; ///< Connections that a target accepts, by pool.
    bool hasColdRates = false; ///< The configuration limits the requests to cold targets.
    std::shared_ptr<http::Server> callerServer;
    std::shared_ptr<http::Server> readinessServer;
    std::shared_ptr<http::Server> metricsServer;
    boost::asio::steady_timer ticker;
    std::optional<base::SteadyTime> drainingSince;
    bool hasTargets = false;
    bool isStopped = false;
    std::string reason;

    [[nodiscard]] std::shared_ptr<http::Server> makeServer(
        const settings::Endpoint& listen, std::size_t maxConnections, http::Server::Handler handler);
    /** See http::keepRunning. */
    void runInBackground(std::string name, std::function<http::Task<void>()> task);
    [[nodiscard]] http::Task<void> serveCaller(const http::Request& request, http::ResponseWriter& writer);
    [[nodiscard]] http::Task<void> serveStatus(const http::Request& request, http::ResponseWriter& writer) const;
    /** True if a new row of a target has the same effect on requests as the row before. */
    [[nodiscard]] bool isSameTarget(const std::string& left, const std::string& right) const;
    /** Passes rows of a watcher to the relay for the peers. */
    void forwardRows(const std::string& table, const std::vector<watch::RowChange>& rows, bool isSnapshot);
    void applyConfigurationRows(const std::vector<watch::RowChange>& rows);
    void applyEvacuationRows(const std::vector<watch::RowChange>& rows, bool isSnapshot);
    void logEvacuation(const membership::ZoneChange& change) const;
    void applyTargetRows(const std::vector<watch::RowChange>& rows, bool isSnapshot);
    void applyTargets();
    void handleListContact(bool isInContact);
    /**
     * Finds out whether the list was unavailable to this process only, and then removes the targets that have left
     * meanwhile.
     */
    [[nodiscard]] http::Task<void> verifyOutage(base::SteadyTime since);
    [[nodiscard]] http::Task<void> tick();
    void advance(base::SteadyTime now);
    /** Updates this entry's part of the retry slack when the number of entries changes. */
    void updateRetryConstant();
    /** Updates this entry's part of the connections that targets accept. */
    void divideConnections();
    void updateLimitMembers(base::SteadyTime now);
    void logShareChanges();
    void logColdChanges();
    void advanceDrain(base::SteadyTime now);
    void handleSuspension();
    void stop();
};

} // namespace chivewinch::gateway
