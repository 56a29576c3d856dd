#pragma once

#include "base/clock.hpp"
#include "base/id.hpp"
#include "settings/value_type.hpp"
#include "watch/row_feed.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace chivewinch::relay {

/** Another process of the same kind, as registered in the store. */
struct Peer {
    std::string instance;
    base::ZoneId zone;
    settings::Endpoint endpoint; ///< Address for its peers.

    auto operator<=>(const Peer&) const = default;
};

[[nodiscard]] std::string encode(const Peer& peer);
/** Returns nullopt if the row is not a valid peer. */
[[nodiscard]] std::optional<Peer> decodePeer(const std::string& instance, const std::string& value);

/** Times for which a peer is skipped after a failure. */
struct PeerBackoff {
    /**
     * After a refusal. The peer has lost the store for a moment, or it reads from another peer itself and will soon
     * read the store.
     */
    std::chrono::milliseconds afterRefusal { 1'000 };
    /** After a request without an answer: the first time, and the limit to which the time doubles. */
    std::chrono::milliseconds afterTimeout { 5'000 };
    std::chrono::milliseconds maxAfterTimeout { 60'000 };

    bool operator==(const PeerBackoff&) const = default;
};

/**
 * Peers in an order that is the same for all processes. The first available peer of each zone reads the store, and the
 * others of the zone read from it. A row in the table does not show whether its process is running; only its answers
 * do. Not thread-safe.
 */
class PeerList {
public:
    /**
     * Number of peers that are tried. Without this limit, the loss of the first peer would make every process query all
     * others.
     */
    static constexpr std::size_t maxSources = 3;

    PeerList(Peer own, PeerBackoff backoff)
        : own { std::move(own) }
        , backoff { backoff }
    {
    }

    void replace(const std::vector<watch::RowChange>& rows);
    void change(const std::vector<watch::RowChange>& rows);

    /** The peer from which this process should read; nullopt if it should read the store itself. */
    [[nodiscard]] std::optional<Peer> source(base::SteadyTime now) const;
    /** Peers of all zones by instance, this process included. */
    [[nodiscard]] const std::map<std::string, Peer>& all() const noexcept { return this->peers; }
    /** Changes whenever a peer is added, removed or registered at another address. */
    [[nodiscard]] std::uint64_t version() const noexcept { return this->changes; }
    /** Number of peers of all zones, this process included, and the index of this process among them. */
    [[nodiscard]] std::size_t count() const noexcept { return this->peers.size(); }
    [[nodiscard]] std::size_t place() const;

    /** Records that the peer did not answer. It is skipped for a time that doubles with each failure. */
    void recordTimeout(const std::string& instance, base::SteadyTime now);
    /** Records that the peer cannot serve at present. */
    void recordRefusal(const std::string& instance, base::SteadyTime now);
    void recordSuccess(const std::string& instance) { this->backoffStates.erase(instance); }

private:
    Peer own;
    struct BackoffState {
        std::chrono::milliseconds time {};
        base::SteadyTime until {};
    };

    PeerBackoff backoff;
    std::map<std::string, Peer> peers; ///< Peers of all zones, by instance.
    std::uint64_t changes = 0;
    std::map<std::string, BackoffState> backoffStates; ///< By instance.

    void put(const watch::RowChange& row);
};

} // namespace chivewinch::relay
