#include "bundle/peer_exchange.hpp"

#include <nlohmann/json.hpp>

namespace chivewinch::bundle {

std::string encode(const Announcement& announcement)
{
    nlohmann::json json { { "proof", announcement.proof } };
    if (announcement.delta)
        json["delta"] = encode(*announcement.delta);
    else
        json["manifest"] = manifestText(announcement.hashes);
    return json.dump();
}

std::optional<Announcement> decodeAnnouncement(std::string_view text)
{
    try {
        const auto json = nlohmann::json::parse(text);
        Announcement result { .proof = json.at("proof").get<Proof>(), .delta = std::nullopt, .hashes = {} };
        if (json.contains("delta")) {
            result.delta = decodeDelta(json.at("delta").get_ref<const std::string&>());
            return result.delta ? std::optional { std::move(result) } : std::nullopt;
        }
        auto hashes = parseManifest(json.at("manifest").get_ref<const std::string&>());
        if (!hashes)
            return std::nullopt;
        result.hashes = std::move(*hashes);
        return result;
    } catch (const nlohmann::json::exception&) {
        return std::nullopt;
    }
}

PeerReply makeReply(const Replica& replica, const PeerRequest& request)
{
    PeerReply reply { .version = replica.version(), .manifest = {}, .parts = {} };
    for (const auto& hash : request.parts) {
        if (auto bytes = replica.part(hash))
            reply.parts.push_back(std::move(*bytes));
    }
    if (!request.parts.empty() || replica.version() <= request.have)
        return reply;
    Announcement announcement { .proof = replica.proof(), .delta = replica.deltaSince(request.have), .hashes = {} };
    if (!announcement.delta)
        announcement.hashes = replica.hashes();
    reply.manifest = encode(announcement);
    return reply;
}

} // namespace chivewinch::bundle
