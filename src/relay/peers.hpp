#pragma once

#include "base/clock.hpp"
#include "base/id.hpp"
#include "settings/value_type.hpp"
#include "watch/row_feed.hpp"

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace chivewinch::relay {

/** Another process of the same kind, as it has entered itself in the store. */
struct Peer {
    std::string instance;
    base::ZoneId zone;
    settings::Endpoint endpoint; ///< For its peers.

    auto operator<=>(const Peer&) const = default;
};

[[nodiscard]] std::string encode(const Peer& peer);
/** nullopt for a row that is no peer's. */
[[nodiscard]] std::optional<Peer> decodePeer(const std::string& instance, const std::string& value);

/**
 * Peers of one zone in an order that all of them share. The first one that is well reads the store, and the others read
 * it there. A row says nothing about whether its process lives: only its answers do. Not thread-safe.
 */
class PeerList {
public:
    PeerList(Peer own, std::chrono::milliseconds badTime, std::chrono::milliseconds maxBadTime)
        : own { std::move(own) }
        , badTime { badTime }
        , maxBadTime { maxBadTime }
    {
    }

    void replace(const std::vector<watch::RowChange>& rows);
    void change(const std::vector<watch::RowChange>& rows);

    /** The peer from which this process reads; nullopt if it reads the store itself. */
    [[nodiscard]] std::optional<Peer> source(base::SteadyTime now) const;
    /** The peer did not answer, or cannot serve: it is passed over for a while. */
    void noteBad(const std::string& instance, base::SteadyTime now);
    void noteGood(const std::string& instance) { this->bad.erase(instance); }

private:
    Peer own;
    struct Bad {
        std::chrono::milliseconds time {};
        base::SteadyTime until {};
    };

    std::chrono::milliseconds badTime;
    std::chrono::milliseconds maxBadTime;
    std::map<std::string, Peer> peers; ///< By instance.
    std::map<std::string, Bad> bad; ///< By instance.

    void put(const watch::RowChange& row);
};

} // namespace chivewinch::relay
