#pragma once

#include "bundle/proof.hpp"

#include <string>

namespace chivewinch::bundle {

/** Checks of VersionGuard. Only tests disable one, to show which failure it prevents. */
struct VersionGuardOptions {
    bool verifySignatures = true;
    bool requireNewerVersion = true;
};

/** Decides whether a version may go into force in this process. The version in force never decreases. */
class VersionGuard {
public:
    explicit VersionGuard(TrustedKeys keys, VersionGuardOptions options = {});

    /** Whether the proof is valid and newer than the version in force. Does not change the version in force. */
    [[nodiscard]] bool accepts(const Proof& proof);

    /** Puts the version into force if the proof is accepted and contains this content hash. */
    [[nodiscard]] bool admit(const Proof& proof, const std::string& contentHash);

    [[nodiscard]] base::BundleVersion version() const noexcept { return this->inForce; }
    [[nodiscard]] const Error& lastReason() const noexcept { return this->reason; }

private:
    TrustedKeys keys;
    VersionGuardOptions options;
    base::BundleVersion inForce {};
    /** Last proof with valid signatures. Each version is checked several times before it goes into force. */
    Proof verified;
    Error reason;

    bool refuse(ErrorCode code, std::string detail);
};

} // namespace chivewinch::bundle
