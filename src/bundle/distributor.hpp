#pragma once

#include "base/clock.hpp"
#include "base/random.hpp"
#include "bundle/content_store.hpp"
#include "bundle/peer_fetch.hpp"
#include "bundle/records.hpp"
#include "store/scheduler.hpp"
#include "store/table_service.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace chivewinch::bundle {

struct DistributorOptions {
    std::size_t readersPerZone = 2;
    std::chrono::nanoseconds pollInterval = std::chrono::seconds { 1 }; ///< Of a reader.
    std::chrono::nanoseconds backstopInterval = std::chrono::seconds { 30 }; ///< Of every other process.
    std::chrono::nanoseconds startGrace = std::chrono::seconds { 3 }; ///< Without an answer of the store.
    std::chrono::nanoseconds peerTimeout = std::chrono::seconds { 2 };
    std::chrono::nanoseconds peerPenalty = std::chrono::seconds { 30 }; ///< After damaged content.
    std::chrono::nanoseconds storeFetchDelay = std::chrono::seconds { 2 }; ///< In which peers may be faster.
    std::size_t partsPerRequest = 64;
    bool usePeers = true; ///< Off: every process polls the store like a reader.
    bool useGrace = true; ///< Off: a starting process takes the first version that a peer offers.
};

/** Counts since the start of the process. */
struct DistributorStats {
    std::uint64_t polls = 0;
    std::uint64_t failedPolls = 0;
    std::uint64_t fromStore = 0; ///< Versions put into force from the store.
    std::uint64_t fromPeers = 0;
    std::uint64_t failedStoreFetches = 0;
    std::uint64_t failedPeerFetches = 0;

    bool operator==(const DistributorStats&) const = default;
};

/** Where a process runs. */
struct Self {
    std::string id; ///< As in heartbeats.
    base::ZoneId zone;
};

/**
 * Keeps the replica of one process up to date: readers poll the head row in the store, all others fetch from peers
 * that report a newer version. Each process polls the store once when it starts and then at the backstop interval,
 * so that two readers without a connection to the store do not hold up their zone. Not thread-safe.
 */
class Distributor {
public:
    using InForceCallback = std::function<void(const std::shared_ptr<const Snapshot>&)>;
    /** Called with the source ("store" or a peer) and the reason of each failed fetch, for the log. */
    using FailureCallback = std::function<void(const std::string& source, const Error&)>;

    Distributor(Self self, Replica& replica, store::TableService& tables, store::ObjectStore& objects,
        PeerChannel& peers, store::Scheduler& scheduler, const base::Clock& clock, base::RandomSource& random,
        InForceCallback onInForce, FailureCallback onFailure, DistributorOptions options = {});
    Distributor(const Distributor&) = delete;
    Distributor& operator=(const Distributor&) = delete;
    ~Distributor();

    void start();

    /** Live entries of this process's zone, including itself if it is an entry. */
    void setLiveEntries(std::vector<std::string> entries);
    void onHeartbeat(const std::string& peer, const base::ZoneId& zone, base::BundleVersion version);
    void onPeerGone(const std::string& peer);
    void onReply(const std::string& peer, const PeerReply& reply);
    [[nodiscard]] PeerReply onRequest(const PeerRequest& request) const { return answer(this->replica, request); }

    [[nodiscard]] bool isReader() const noexcept { return this->reader; }
    [[nodiscard]] const DistributorStats& stats() const noexcept { return this->counts; }

private:
    struct Peer {
        base::ZoneId zone;
        base::BundleVersion version {};
        base::SteadyTime blockedUntil {};
    };
    struct Alive { };

    Self self;
    Replica& replica;
    store::TableService& tables;
    ContentStore contents;
    PeerChannel& channel;
    store::Scheduler& scheduler;
    const base::Clock& clock;
    base::RandomSource& random;
    InForceCallback onInForce;
    FailureCallback onFailure;
    DistributorOptions options;
    DistributorStats counts;
    std::shared_ptr<Alive> alive = std::make_shared<Alive>();

    bool started = false;
    bool reader = false;
    bool polling = false;
    bool fetchingFromStore = false;
    std::optional<store::TimerId> pollTimer;
    base::SteadyTime startedAt {};
    bool storeAnswered = false;
    std::optional<Proof> head; ///< Newest one read from the store.
    /** Parts from the store by hash, so that an interrupted fetch continues where it stopped. */
    std::map<std::string, PartRecords> arrived;

    std::map<std::string, Peer> peers;
    std::optional<PeerFetch> fetch;
    std::optional<store::TimerId> fetchTimer;

    template <typename Function> auto guarded(Function function);
    void schedulePoll(std::chrono::nanoseconds delay);
    [[nodiscard]] std::chrono::nanoseconds pollDelay();
    void poll();
    void onHead(const store::Row& row);

    void fetchFromStore();
    void fetchDelta();
    void fetchParts(const Proof& proof);
    void collectParts(const Proof& proof, const PartHashes& hashes);
    void endStoreFetch(bool applied, const Error& error);

    [[nodiscard]] base::BundleVersion smallestUseful() const noexcept;
    [[nodiscard]] bool mayUsePeers() const;
    [[nodiscard]] std::vector<std::string> candidates() const;
    void fetchFromPeer();
    void send();
    void endPeerFetch(std::chrono::nanoseconds block);
    void announceInForce();
};

} // namespace chivewinch::bundle
