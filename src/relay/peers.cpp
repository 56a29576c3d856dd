#include "relay/peers.hpp"

#include "wire/parse.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace chivewinch::relay {

std::string encode(const Peer& peer)
{
    return nlohmann::json { { "zone", peer.zone }, { "address", settings::toString(peer.endpoint) } }.dump();
}

std::optional<Peer> decodePeer(const std::string& instance, const std::string& value)
{
    const auto object = wire::parseJson(value);
    if (!object.is_object())
        return std::nullopt;
    const auto zone = object.find("zone");
    const auto address = object.find("address");
    if (zone == object.end() || !zone->is_string() || address == object.end() || !address->is_string())
        return std::nullopt;
    const auto endpoint = settings::parseEndpoint(address->get<std::string>());
    if (!endpoint || !settings::isConnectable(*endpoint))
        return std::nullopt;
    return Peer { .instance = instance, .zone = zone->get<std::string>(), .endpoint = *endpoint };
}

void PeerList::put(const watch::RowChange& row)
{
    auto peer = row.value ? decodePeer(row.key, *row.value) : std::nullopt;
    if (!peer) {
        this->changes += this->peers.erase(row.key);
        return;
    }
    // A peer with a new zone or address runs on another machine, so the failures of the old one do not apply.
    const auto known = this->peers.find(row.key);
    if (known == this->peers.end() || known->second != *peer) {
        this->backoffStates.erase(row.key);
        ++this->changes;
    }
    this->peers.insert_or_assign(row.key, std::move(*peer));
}

void PeerList::replace(const std::vector<watch::RowChange>& rows)
{
    const auto before = std::exchange(this->peers, {});
    for (const auto& row : rows) {
        if (const auto known = before.find(row.key); known != before.end())
            this->peers.insert(*known);
        this->put(row);
    }
    if (this->peers.size() < before.size())
        ++this->changes;
}

void PeerList::change(const std::vector<watch::RowChange>& rows)
{
    for (const auto& row : rows)
        this->put(row);
}

std::optional<Peer> PeerList::source(base::SteadyTime now) const
{
    std::size_t tried = 0;
    for (const auto& [instance, peer] : this->peers) {
        if (peer.zone != this->own.zone)
            continue;
        if (instance >= this->own.instance || ++tried > maxSources)
            break;
        const auto found = this->backoffStates.find(instance);
        if (found == this->backoffStates.end() || now >= found->second.until)
            return peer;
    }
    return std::nullopt;
}

std::size_t PeerList::place() const
{
    return static_cast<std::size_t>(std::distance(this->peers.begin(), this->peers.lower_bound(this->own.instance)));
}

void PeerList::recordTimeout(const std::string& instance, base::SteadyTime now)
{
    auto& entry = this->backoffStates[instance];
    entry.time = std::clamp(entry.time * 2, this->backoff.afterTimeout, this->backoff.maxAfterTimeout);
    entry.until = now + entry.time;
}

void PeerList::recordRefusal(const std::string& instance, base::SteadyTime now)
{
    this->backoffStates[instance] = { .time = {}, .until = now + this->backoff.afterRefusal };
}

} // namespace chivewinch::relay
