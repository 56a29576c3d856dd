#include "bundle/distributor.hpp"

#include <algorithm>
#include <utility>

namespace chivewinch::bundle {

namespace internal {

// A peer without a newer version has lost the version that it reported, or its reply belongs to an earlier request.
// It is asked again after this delay.
constexpr std::chrono::milliseconds noNewVersionRetryDelay { 200 };

} // namespace internal

void Distributor::onHeartbeat(const std::string& peer, const base::ZoneId& zone, base::BundleVersion version)
{
    auto& known = this->peers[peer];
    known.zone = zone;
    known.version = version;
    this->fetchFromPeer();
}

void Distributor::onPeerGone(const std::string& peer)
{
    this->peers.erase(peer);
    if (this->fetch && this->fetch->peer() == peer)
        this->endPeerFetch(std::chrono::nanoseconds { 0 });
}

/**
 * Whether peers may be used now. A starting process without an answer from the store waits for the grace period,
 * because the first peer to report may have an older version than the others.
 */
bool Distributor::mayUsePeers() const
{
    if (!this->started || !this->options.usePeers)
        return false;
    return !this->options.useStartupGracePeriod || this->storeAnswered || this->replica.snapshot() != nullptr
        || this->clock.now() - this->startedAt >= this->options.startupGracePeriod;
}

/**
 * Smallest version worth fetching. If a version is in force, this is the next one. Otherwise it is the version read
 * from the store, if any, so that the first version in force is not older than that of the store.
 */
base::BundleVersion Distributor::minimumVersion() const noexcept
{
    if (!this->replica.snapshot() && this->head)
        return this->head->version;
    return base::BundleVersion { static_cast<std::uint64_t>(this->replica.version()) + 1 };
}

/** Unblocked peers with the newest reported version; only those in the zone of this process if there are any. */
std::vector<std::string> Distributor::candidates() const
{
    auto best = this->minimumVersion();
    std::vector<std::string> sameZone;
    std::vector<std::string> otherZones;
    for (const auto& [id, peer] : this->peers) {
        if (peer.version < best || peer.blockedUntil > this->clock.now())
            continue;
        if (peer.version > best) {
            best = peer.version;
            sameZone.clear();
            otherZones.clear();
        }
        (peer.zone == this->self.zone ? sameZone : otherZones).push_back(id);
    }
    return sameZone.empty() ? otherZones : sameZone;
}

void Distributor::fetchFromPeer()
{
    if (this->fetch || !this->mayUsePeers())
        return;
    const auto choices = this->candidates();
    if (choices.empty())
        return;
    this->fetch.emplace(this->replica, choices[this->random.below(choices.size())], this->minimumVersion(),
        this->options.partsPerRequest);
    this->send();
}

void Distributor::send()
{
    if (this->fetchTimer)
        this->scheduler.cancel(*this->fetchTimer);
    const auto weak = std::weak_ptr { this->alive };
    this->fetchTimer = this->scheduler.after(this->options.peerReplyTimeout, [this, weak] {
        if (!weak.lock())
            return;
        this->fetchTimer.reset();
        ++this->counts.failedPeerFetches;
        this->onFailure(this->fetch->peer(), { .code = ErrorCode::MissingPart, .detail = "no answer" });
        this->endPeerFetch(this->options.peerReplyTimeout);
    });
    this->channel.request(this->fetch->peer(), this->fetch->nextRequest());
}

void Distributor::onReply(const std::string& peer, const PeerReply& reply)
{
    if (!this->fetch || this->fetch->peer() != peer)
        return; // late reply to an abandoned request
    const auto step = this->fetch->onReply(reply);
    if (step == FetchStep::Request) {
        this->send();
        return;
    }
    if (step == FetchStep::Applied) {
        ++this->counts.fromPeers;
        this->endPeerFetch(std::chrono::nanoseconds { 0 });
        this->announceInForce();
        return;
    }
    const auto& reason = this->fetch->lastReason();
    const bool harmless
        = step == FetchStep::NothingNew || reason.code == ErrorCode::Older || reason.code == ErrorCode::MissingPart;
    if (step == FetchStep::Failed) {
        ++this->counts.failedPeerFetches;
        this->onFailure(peer, reason);
    }
    this->endPeerFetch(harmless ? internal::noNewVersionRetryDelay : this->options.corruptPeerBlockTime);
}

/** Ends the fetch, blocks its peer for the given time and tries another peer. */
void Distributor::endPeerFetch(std::chrono::nanoseconds block)
{
    if (this->fetchTimer)
        this->scheduler.cancel(*this->fetchTimer);
    this->fetchTimer.reset();
    if (const auto found = this->peers.find(this->fetch->peer()); found != this->peers.end())
        found->second.blockedUntil = this->clock.now() + block;
    this->fetch.reset();
    this->fetchFromPeer();
}

} // namespace chivewinch::bundle
