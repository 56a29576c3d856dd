#pragma once

#include "base/clock.hpp"
#include "base/random.hpp"
#include "claim/claim_manager.hpp"
#include "entry/bundle_feed.hpp"
#include "entry/caller_service.hpp"
#include "entry/claim_client.hpp"
#include "entry/gauges.hpp"
#include "entry/heartbeat_source.hpp"
#include "entry/link_set.hpp"
#include "entry/options.hpp"
#include "entry/peer_set.hpp"
#include "entry/services.hpp"
#include "entry/tables.hpp"
#include "http/server.hpp"
#include "metrics/registry.hpp"
#include "store/client.hpp"
#include "store_http/asio_scheduler.hpp"
#include "store_http/http_services.hpp"
#include "usage/ledger.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <atomic>
#include <memory>
#include <string>

namespace chivewinch::entry {

/** Entry process. Requests run on all threads of the context; store clients and timers run on the control strand. */
class Entry {
public:
    Entry(boost::asio::io_context& context, EntryOptions options, usage::SigningKey key,
        const bundle::TrustedKeys& ownerKeys);
    Entry(const Entry&) = delete;
    Entry& operator=(const Entry&) = delete;

    [[nodiscard]] bool start();
    [[nodiscard]] const std::string& lastReason() const noexcept { return this->reason; }
    /** Stops accepting requests, waits for those in flight up to the drain time-out, then stops the context. */
    void drain();

private:
    boost::asio::io_context& context;
    EntryOptions options;
    base::SystemClock clock;
    base::SeededRandom controlRandom { base::entropySeed() };
    base::Incarnation incarnation;
    metrics::Registry registry;
    Tables tables;
    boost::asio::strand<boost::asio::io_context::executor_type> control;
    store_http::AsioScheduler scheduler;
    store_http::HttpTableService tableService;
    store_http::HttpObjectStore objects;
    store::Client storeClient;
    claim::ClaimManager claims;
    ClaimClient claimClient;
    usage::Ledger ledger;
    HeartbeatSource heartbeats;
    LinkSet links;
    PeerSet peers;
    BundleFeed bundles;
    Services services;
    CallerService callers;
    std::shared_ptr<http::Server> server;
    boost::asio::steady_timer tickTimer;
    boost::asio::steady_timer drainTimer;
    Gauges gauges;
    std::atomic<bool> draining { false };
    std::string reason;
    base::SteadyTime nextRolloutCheck {};

    [[nodiscard]] Services makeServices();
    void updateGauges(std::size_t waiting);
    [[nodiscard]] PeerHandlers peerHandlers();
    void updateMembership();
    void applyBundle(const std::shared_ptr<const bundle::Snapshot>& snapshot);
    void countUsage(const usage::Record& record);
    void addWitnessedProcess(const std::string& instance, base::Incarnation agent);
    void scheduleTick();
    void tick();
    void finishDrainWhenIdle(base::SteadyTime deadline);
    void closeLedger();

    [[nodiscard]] http::Task<void> handle(const http::Request& request, http::ResponseWriter& writer);
    [[nodiscard]] std::optional<http::Response> adminResponse(std::string_view path);
    [[nodiscard]] std::string statusJson();
};

} // namespace chivewinch::entry
