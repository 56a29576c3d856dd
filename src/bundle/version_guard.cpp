#include "bundle/version_guard.hpp"

#include <utility>

namespace chivewinch::bundle {

VersionGuard::VersionGuard(TrustedKeys keys, VersionGuardOptions options)
    : keys { std::move(keys) }
    , options { options }
{
}

bool VersionGuard::accepts(const Proof& proof)
{
    if (this->options.requireNewerVersion && proof.version <= this->inForce)
        return this->refuse(ErrorCode::Older,
            "version " + std::to_string(static_cast<std::uint64_t>(proof.version)) + " is not newer than "
                + std::to_string(static_cast<std::uint64_t>(this->inForce)));
    if (!this->options.verifySignatures || proof == this->verified)
        return true;
    if (!verifyProof(proof, this->keys, this->reason))
        return false;
    this->verified = proof;
    return true;
}

bool VersionGuard::admit(const Proof& proof, const std::string& contentHash)
{
    if (!this->accepts(proof))
        return false;
    if (proof.content != contentHash)
        return this->refuse(ErrorCode::Altered, "content hash " + contentHash + " is not the signed " + proof.content);
    this->inForce = proof.version;
    return true;
}

bool VersionGuard::refuse(ErrorCode code, std::string detail)
{
    this->reason = { .code = code, .detail = std::move(detail) };
    return false;
}

} // namespace chivewinch::bundle
