#pragma once

#include "bundle/delta.hpp"
#include "bundle/snapshot.hpp"
#include "bundle/version_guard.hpp"

#include <cstddef>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace chivewinch::bundle {

/** The bundle in force in one process: a snapshot for the request path, and parts, hashes and deltas for peers. */
class Replica {
public:
    explicit Replica(TrustedKeys keys, VersionGuardOptions options = {});

    /** Puts a version into force by applying a delta to the current content. On failure, the version in force stays. */
    [[nodiscard]] bool apply(const Proof& proof, const Delta& delta);

    /** Puts a version into force from its complete parts. On failure, the version in force stays. */
    [[nodiscard]] bool apply(const Proof& proof, Parts parts);

    /** Puts a version with the same content as the current one into force. */
    [[nodiscard]] bool apply(const Proof& proof);

    /** Whether the proof is valid and newer than the version in force. */
    [[nodiscard]] bool accepts(const Proof& proof)
    {
        return this->guard.accepts(proof) || this->refuse(this->guard.lastReason());
    }

    [[nodiscard]] base::BundleVersion version() const noexcept { return this->guard.version(); }
    [[nodiscard]] const std::string& content() const noexcept { return this->contentHash; }
    /** Null before the first version. */
    [[nodiscard]] const std::shared_ptr<const Snapshot>& snapshot() const noexcept { return this->current; }
    [[nodiscard]] const Proof& proof() const noexcept { return this->lastProof; }
    [[nodiscard]] const PartHashes& hashes() const noexcept { return this->partHashes; }
    [[nodiscard]] const Error& lastReason() const noexcept { return this->reason; }

    /** Bytes of the part with this hash, if it is part of the content in force. */
    [[nodiscard]] std::optional<std::string> part(const std::string& hash) const;

    /** Records of a part in force, or null. */
    [[nodiscard]] const PartRecords* records(const std::string& part) const;

    /** Delta from an earlier version to the one in force, if the history still contains that version. */
    [[nodiscard]] std::optional<Delta> deltaSince(base::BundleVersion version) const;

private:
    struct Step {
        base::BundleVersion from {};
        Delta delta;
    };

    VersionGuard guard;
    Parts parts;
    PartHashes partHashes;
    std::string contentHash;
    Proof lastProof;
    std::shared_ptr<const Snapshot> current;
    std::deque<Step> history; ///< Consecutive deltas up to the version in force.
    Error reason;

    bool refuse(Error error);
    bool activate(const Proof& proof, Bundle bundle, PartHashes hashes);
};

} // namespace chivewinch::bundle
