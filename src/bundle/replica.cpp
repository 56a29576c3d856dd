#include "bundle/replica.hpp"

#include "bundle/digest.hpp"

#include <algorithm>
#include <utility>

namespace chivewinch::bundle {

namespace internal {

// Covers half an hour at 3,100 changes per day. A process that was disconnected for longer compares part hashes.
constexpr std::size_t maxHistory = 64;

/** Hashes of all parts after the changed ones are replaced. */
PartHashes updateHashes(PartHashes hashes, const Parts& changed)
{
    for (const auto& [name, records] : changed) {
        if (records.empty())
            hashes.erase(name);
        else
            hashes.insert_or_assign(name, sha256Hex(partText(records)));
    }
    return hashes;
}

} // namespace internal

Replica::Replica(TrustedKeys keys, VersionGuardOptions options)
    : guard { std::move(keys), options }
{
}

bool Replica::apply(const Proof& proof, const Delta& delta)
{
    if (!this->accepts(proof))
        return false;
    if (delta.from != this->contentHash || !this->current)
        return this->refuse(
            { .code = ErrorCode::MissingPart, .detail = "the delta does not apply to the current content" });
    auto changed = changedParts(this->parts, delta);
    auto hashes = internal::updateHashes(this->partHashes, changed);
    auto bundle = this->current->bundle();
    Error error;
    if (!patch(bundle, delta, error))
        return this->refuse(std::move(error));
    const auto from = this->version();
    if (!this->activate(proof, std::move(bundle), std::move(hashes)))
        return false;
    for (auto& [name, records] : changed) {
        if (records.empty())
            this->parts.erase(name);
        else
            this->parts.insert_or_assign(name, std::move(records));
    }
    this->history.push_back({ .from = from, .delta = delta });
    if (this->history.size() > internal::maxHistory)
        this->history.pop_front();
    return true;
}

bool Replica::apply(const Proof& proof, Parts parts)
{
    if (!this->accepts(proof))
        return false;
    Error error;
    auto bundle = decode(parts, error);
    if (!bundle)
        return this->refuse(std::move(error));
    if (!this->activate(proof, std::move(*bundle), hashParts(parts)))
        return false;
    this->parts = std::move(parts);
    this->history.clear();
    return true;
}

bool Replica::apply(const Proof& proof)
{
    return this->apply(proof, Delta { .from = this->contentHash, .to = this->contentHash });
}

bool Replica::activate(const Proof& proof, Bundle bundle, PartHashes hashes)
{
    auto hash = bundle::contentHash(hashes);
    if (!this->guard.admit(proof, hash))
        return this->refuse(this->guard.lastReason());
    this->partHashes = std::move(hashes);
    this->contentHash = std::move(hash);
    this->lastProof = proof;
    this->current = std::make_shared<const Snapshot>(std::move(bundle), proof.version, this->contentHash);
    return true;
}

std::optional<std::string> Replica::part(const std::string& hash) const
{
    const auto found = std::ranges::find(this->partHashes, hash, &PartHashes::value_type::second);
    if (found == this->partHashes.end())
        return std::nullopt;
    return partText(this->parts.find(found->first)->second);
}

const PartRecords* Replica::records(const std::string& part) const
{
    const auto found = this->parts.find(part);
    return found == this->parts.end() ? nullptr : &found->second;
}

std::optional<Delta> Replica::deltaSince(base::BundleVersion version) const
{
    const auto first = std::ranges::find(this->history, version, &Step::from);
    if (first == this->history.end())
        return std::nullopt;
    auto delta = first->delta;
    for (auto step = std::next(first); step != this->history.end(); ++step)
        delta = compose(std::move(delta), step->delta);
    return delta;
}

bool Replica::refuse(Error error)
{
    this->reason = std::move(error);
    return false;
}

} // namespace chivewinch::bundle
