#pragma once

#include "bundle/replica.hpp"

#include <optional>
#include <string>
#include <vector>

namespace chivewinch::bundle {

/** Request to a peer; sent as BundleRequest of the wire protocol. */
struct PeerRequest {
    base::BundleVersion have {};
    std::vector<std::string> parts; ///< Hashes of the requested parts; empty to request the newest version.

    bool operator==(const PeerRequest&) const = default;
};

/** Reply of a peer; sent as BundleReply of the wire protocol. */
struct PeerReply {
    base::BundleVersion version {}; ///< Version in force at the peer.
    std::string manifest; ///< Encoded Announcement; empty if the peer has no newer version.
    std::vector<std::string> parts;

    bool operator==(const PeerReply&) const = default;
};

/** A newer version: its proof, and either the delta from the requester's content or all part hashes. */
struct Announcement {
    Proof proof;
    std::optional<Delta> delta;
    PartHashes hashes;

    bool operator==(const Announcement&) const = default;
};

[[nodiscard]] std::string encode(const Announcement& announcement);
[[nodiscard]] std::optional<Announcement> decodeAnnouncement(std::string_view text);

/** Builds the reply of this process to a peer's request. */
[[nodiscard]] PeerReply makeReply(const Replica& replica, const PeerRequest& request);

/** Connections to other processes; replies are passed to Distributor::onReply. */
class PeerChannel {
public:
    PeerChannel() = default;
    PeerChannel(const PeerChannel&) = delete;
    PeerChannel& operator=(const PeerChannel&) = delete;
    virtual ~PeerChannel() = default;

    virtual void request(const std::string& peer, PeerRequest request) = 0;
    /** Sends a heartbeat with this version to all peers at once, without waiting for the next interval. */
    virtual void announce(base::BundleVersion version) = 0;
};

} // namespace chivewinch::bundle
