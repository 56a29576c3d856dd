#pragma once

#include "bundle/replica.hpp"

#include <optional>
#include <string>
#include <vector>

namespace chivewinch::bundle {

/** Request to a peer, as BundleRequest of the wire protocol. */
struct PeerRequest {
    base::BundleVersion have {};
    std::vector<std::string> parts; ///< Hashes of wanted parts; empty to ask for what is new.

    bool operator==(const PeerRequest&) const = default;
};

/** Answer of a peer, as BundleReply of the wire protocol. */
struct PeerReply {
    base::BundleVersion version {}; ///< In force at the peer.
    std::string manifest; ///< Encoded Announcement; empty when nothing is newer.
    std::vector<std::string> parts;

    bool operator==(const PeerReply&) const = default;
};

/** A newer version with its proof, and either the difference to the requester's content or all part hashes. */
struct Announcement {
    Proof proof;
    std::optional<Delta> delta;
    PartHashes hashes;

    bool operator==(const Announcement&) const = default;
};

[[nodiscard]] std::string encode(const Announcement& announcement);
[[nodiscard]] std::optional<Announcement> decodeAnnouncement(std::string_view text);

/** What a process answers to a peer. */
[[nodiscard]] PeerReply answer(const Replica& replica, const PeerRequest& request);

/** Connections to other processes; replies come back through Distributor::onReply. */
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
