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
    /** Between store polls of a reader. */
    std::chrono::nanoseconds pollInterval = std::chrono::seconds { 1 };
    /** Between store polls of a process that is not a reader. */
    std::chrono::nanoseconds fallbackPollInterval = std::chrono::seconds { 30 };
    /** How long a starting process waits for an answer of the store before it uses peers. */
    std::chrono::nanoseconds startupGracePeriod = std::chrono::seconds { 3 };
    std::chrono::nanoseconds peerReplyTimeout = std::chrono::seconds { 2 };
    /** How long a peer is not used after it sent damaged content or an invalid proof. */
    std::chrono::nanoseconds corruptPeerBlockTime = std::chrono::seconds { 30 };
    /** How long a process that is not a reader waits for its peers before it reads a new version from the store. */
    std::chrono::nanoseconds storeFetchDelay = std::chrono::seconds { 2 };
    std::size_t partsPerRequest = 64;
    bool usePeers = true; ///< If false, every process polls the store like a reader.
    bool useStartupGracePeriod = true; ///< If false, a starting process accepts the first version that a peer reports.
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

/** Id and zone of a process. */
struct ProcessIdentity {
    std::string id; ///< As in heartbeats.
    base::ZoneId zone;
};

/**
 * Keeps the replica of one process up to date. Readers poll the head row in the store; the other processes fetch from
 * peers that report a newer version. Every process polls the store once when it starts. Processes that are not readers
 * then poll it at the fallback interval, so that a zone still gets new versions if both of its readers lose their
 * connection to the store. Not thread-safe.
 */
class Distributor {
public:
    using InForceCallback = std::function<void(const std::shared_ptr<const Snapshot>&)>;
    /** Called for each failed fetch with the source ("store" or a peer id) and the reason, for the log. */
    using FailureCallback = std::function<void(const std::string& source, const Error&)>;

    Distributor(ProcessIdentity self, Replica& replica, store::TableService& tables, store::ObjectStore& objects,
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
    [[nodiscard]] PeerReply onRequest(const PeerRequest& request) const { return makeReply(this->replica, request); }

    [[nodiscard]] bool isReader() const noexcept { return this->reader; }
    [[nodiscard]] const DistributorStats& stats() const noexcept { return this->counts; }

private:
    struct Peer {
        base::ZoneId zone;
        base::BundleVersion version {};
        base::SteadyTime blockedUntil {};
    };
    struct Alive { };

    ProcessIdentity self;
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
    std::optional<Proof> head; ///< Newest rolled version read from the store.
    /** Parts read from the store, by hash. An interrupted fetch does not read them again. */
    std::map<std::string, PartRecords> downloadedParts;

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

    [[nodiscard]] base::BundleVersion minimumVersion() const noexcept;
    [[nodiscard]] bool mayUsePeers() const;
    [[nodiscard]] std::vector<std::string> candidates() const;
    void fetchFromPeer();
    void send();
    void endPeerFetch(std::chrono::nanoseconds block);
    void announceInForce();
};

} // namespace chivewinch::bundle
