#pragma once

#include "bundle/peer_exchange.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace chivewinch::bundle {

/** Next step after a peer's reply. */
enum class FetchStep : std::uint8_t {
    Request, ///< Send nextRequest() to the same peer.
    Applied, ///< A newer version is in force.
    NothingNew, ///< The peer has no newer version.
    Failed, ///< The reply is damaged, unusable or has an invalid proof; see lastReason().
};

/** Fetch of one newer version from one peer. Every part is checked against the signed content hash. */
class PeerFetch {
public:
    /** minimumVersion is the smallest version to accept. */
    PeerFetch(Replica& replica, std::string peer, base::BundleVersion minimumVersion, std::size_t partsPerRequest);

    [[nodiscard]] const std::string& peer() const noexcept { return this->peerName; }
    [[nodiscard]] PeerRequest nextRequest() const;
    [[nodiscard]] FetchStep onReply(const PeerReply& reply);
    [[nodiscard]] const Error& lastReason() const noexcept { return this->reason; }

private:
    Replica& replica;
    std::string peerName;
    base::BundleVersion minimumVersion;
    std::size_t partsPerRequest;
    std::optional<Announcement> announced;
    std::map<std::string, std::string> missing; ///< Part name by hash.
    Parts collected;
    Error reason;

    FetchStep onAnnouncement(const PeerReply& reply);
    FetchStep onParts(const PeerReply& reply);
    FetchStep startParts();
    FetchStep finish(bool applied);
    FetchStep fail(ErrorCode code, std::string detail);
};

/** Returns the wanted parts that the replica already has, by part name, and adds the others to missing. */
[[nodiscard]] Parts presentParts(const Replica& replica, const PartHashes& wanted, PartHashes& missing);

} // namespace chivewinch::bundle
