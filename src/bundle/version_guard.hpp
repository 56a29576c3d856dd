#pragma once

#include "bundle/proof.hpp"

#include <string>

namespace chivewinch::bundle {

/** Switches of VersionGuard; each is on except in tests that show what it is for. */
struct VersionGuardOptions {
    bool verifySignatures = true;
    bool keepMonotonic = true;
};

/** Decides whether a proven version may go into force in this process; the version only grows. */
class VersionGuard {
public:
    explicit VersionGuard(TrustedKeys keys, VersionGuardOptions options = {});

    /** Whether the proof is valid and newer than the version in force. Does not change the guard. */
    [[nodiscard]] bool accepts(const Proof& proof);

    /** Puts the version into force if it is accepted and the content has the proven hash. */
    [[nodiscard]] bool admit(const Proof& proof, const std::string& contentHash);

    [[nodiscard]] base::BundleVersion version() const noexcept { return this->inForce; }
    [[nodiscard]] const Error& lastReason() const noexcept { return this->reason; }

private:
    TrustedKeys keys;
    VersionGuardOptions options;
    base::BundleVersion inForce {};
    Proof verified; ///< Last proof with valid signatures; one version is offered several times on its way into force.
    Error reason;

    bool refuse(ErrorCode code, std::string detail);
};

} // namespace chivewinch::bundle
