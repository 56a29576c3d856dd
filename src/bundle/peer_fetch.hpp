#pragma once

#include "bundle/peer_exchange.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace chivewinch::bundle {

/** What to do after a peer's reply. */
enum class FetchStep : std::uint8_t {
    Request, ///< Send nextRequest() to the same peer.
    Applied, ///< A newer version is in force.
    NothingNew, ///< The peer has no newer version.
    Failed, ///< The peer's content is damaged or its proof invalid; lastReason() tells.
};

/** Fetch of one newer version from one peer. Every part is checked against the signed content hash. */
class PeerFetch {
public:
    /** atLeast is the smallest version that is worth taking. */
    PeerFetch(Replica& replica, std::string peer, base::BundleVersion atLeast, std::size_t partsPerRequest);

    [[nodiscard]] const std::string& peer() const noexcept { return this->peerName; }
    [[nodiscard]] PeerRequest nextRequest() const;
    [[nodiscard]] FetchStep onReply(const PeerReply& reply);
    [[nodiscard]] const Error& lastReason() const noexcept { return this->reason; }

private:
    Replica& replica;
    std::string peerName;
    base::BundleVersion atLeast;
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

/** Parts of the wanted content that the replica has already, by part name; the rest is added to missing. */
[[nodiscard]] Parts presentParts(const Replica& replica, const PartHashes& wanted, PartHashes& missing);

} // namespace chivewinch::bundle
