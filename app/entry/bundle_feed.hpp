#pragma once

#include "bundle/distributor.hpp"
#include "bundle/operations.hpp"
#include "bundle/replica.hpp"
#include "bundle/rollout_confirmer.hpp"
#include "entry/peer_set.hpp"
#include "lease/lease.hpp"
#include "store/client.hpp"
#include "store/scheduler.hpp"

#include <functional>
#include <memory>
#include <string>

namespace chivewinch::entry {

/**
 * Keeps this entry's bundle up to date from the store and from its peers, and confirms rolled versions while this
 * entry holds the rollout lease. Used on the control strand only.
 */
class BundleFeed {
public:
    using InForce = std::function<void(const std::shared_ptr<const bundle::Snapshot>&)>;

    struct Dependencies {
        const EntryOptions& options;
        store::Client& store;
        store::Scheduler& scheduler;
        const base::Clock& clock;
        base::RandomSource& random;
        PeerSet& peers;
        base::Incarnation incarnation;
    };

    BundleFeed(const Dependencies& dependencies, const bundle::TrustedKeys& keys, InForce onInForce);

    void start();
    /** Releases the rollout lease, so that another entry can acquire it at once. */
    void stop();

    void onVersion(const std::string& peer, const base::ZoneId& zone, base::BundleVersion version);
    void onPeerGone(const std::string& peer) { this->distributor.onPeerGone(peer); }
    void onReply(const std::string& peer, const bundle::PeerReply& reply) { this->distributor.onReply(peer, reply); }
    [[nodiscard]] bundle::PeerReply answer(const bundle::PeerRequest& request) const
    {
        return this->distributor.onRequest(request);
    }
    /** Called when the set of live entries has changed. */
    void onMembership();
    /** Advances the rollout; must be called about once a second. */
    void advanceRollout();

    [[nodiscard]] const bundle::DistributorStats& stats() const noexcept { return this->distributor.stats(); }
    [[nodiscard]] bool isReader() const noexcept { return this->distributor.isReader(); }
    [[nodiscard]] bool holdsRolloutLease() const noexcept { return this->rolloutLease.held(); }

private:
    /** Competes for the lease only while this entry is a reader of the store, since each competitor reads the lease
     * row. */
    void updateLease();

    const EntryOptions& options;
    PeerSet& peers;
    bundle::Replica replica;
    bundle::Operations operations;
    lease::Lease rolloutLease;
    bundle::RolloutConfirmer rollout;
    bundle::Distributor distributor;
    bool competing = false;
    bool stopped = false;
};

} // namespace chivewinch::entry
