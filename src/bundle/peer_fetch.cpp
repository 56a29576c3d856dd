#include "bundle/peer_fetch.hpp"

#include "bundle/digest.hpp"

#include <utility>

namespace chivewinch::bundle {

Parts presentParts(const Replica& replica, const PartHashes& wanted, PartHashes& missing)
{
    Parts present;
    for (const auto& [name, hash] : wanted) {
        const auto own = replica.hashes().find(name);
        const bool same = own != replica.hashes().end() && own->second == hash;
        if (const auto* records = same ? replica.records(name) : nullptr)
            present.emplace(name, *records);
        else
            missing.emplace(name, hash);
    }
    return present;
}

PeerFetch::PeerFetch(
    Replica& replica, std::string peer, base::BundleVersion minimumVersion, std::size_t partsPerRequest)
    : replica { replica }
    , peerName { std::move(peer) }
    , minimumVersion { minimumVersion }
    , partsPerRequest { partsPerRequest }
{
}

PeerRequest PeerFetch::nextRequest() const
{
    PeerRequest request { .have = this->replica.version(), .parts = {} };
    for (const auto& [hash, name] : this->missing) {
        if (request.parts.size() == this->partsPerRequest)
            break;
        request.parts.push_back(hash);
    }
    return request;
}

FetchStep PeerFetch::onReply(const PeerReply& reply)
{
    return this->announced ? this->onParts(reply) : this->onAnnouncement(reply);
}

FetchStep PeerFetch::onAnnouncement(const PeerReply& reply)
{
    if (reply.manifest.empty())
        return FetchStep::NothingNew;
    this->announced = decodeAnnouncement(reply.manifest);
    if (!this->announced)
        return this->fail(ErrorCode::Invalid, "malformed announcement");
    if (this->announced->proof.version < this->minimumVersion)
        return this->fail(ErrorCode::Older, "the peer has an older version than it announced");
    if (!this->replica.accepts(this->announced->proof))
        return this->finish(false);
    if (this->announced->delta)
        return this->finish(this->replica.apply(this->announced->proof, *this->announced->delta));
    return this->startParts();
}

FetchStep PeerFetch::startParts()
{
    if (contentHash(this->announced->hashes) != this->announced->proof.content)
        return this->fail(ErrorCode::Altered, "the part hashes do not match the signed content");
    PartHashes wanted;
    this->collected = presentParts(this->replica, this->announced->hashes, wanted);
    for (const auto& [name, hash] : wanted)
        this->missing.emplace(hash, name);
    if (this->missing.empty())
        return this->finish(this->replica.apply(this->announced->proof, this->collected));
    return FetchStep::Request;
}

FetchStep PeerFetch::onParts(const PeerReply& reply)
{
    const auto before = this->missing.size();
    for (const auto& bytes : reply.parts) {
        const auto found = this->missing.find(sha256Hex(bytes));
        auto records = parsePartText(bytes);
        if (found == this->missing.end() || !records)
            return this->fail(ErrorCode::Altered, "a part does not match its hash");
        this->collected.emplace(found->second, std::move(*records));
        this->missing.erase(found);
    }
    if (this->missing.size() == before)
        return this->fail(ErrorCode::MissingPart, "the peer no longer has the parts");
    if (!this->missing.empty())
        return FetchStep::Request;
    return this->finish(this->replica.apply(this->announced->proof, std::move(this->collected)));
}

FetchStep PeerFetch::finish(bool applied)
{
    if (applied)
        return FetchStep::Applied;
    this->reason = this->replica.lastReason();
    return FetchStep::Failed;
}

FetchStep PeerFetch::fail(ErrorCode code, std::string detail)
{
    this->reason = { .code = code, .detail = std::move(detail) };
    return FetchStep::Failed;
}

} // namespace chivewinch::bundle
