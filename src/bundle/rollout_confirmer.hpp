#pragma once

#include "bundle/operations.hpp"
#include "lease/lease.hpp"

#include <map>
#include <string>

namespace chivewinch::bundle {

/**
 * Confirms a rolling version once every live process has reported it. Runs in each process that competes for the
 * rollout lease and acts only while it holds the lease.
 */
class RolloutConfirmer {
public:
    RolloutConfirmer(Operations& operations, lease::Lease& lease) noexcept
        : operations { operations }
        , lease { lease }
    {
    }

    /** inForce is the version in force in this process; live has the version that each live process reported last. */
    void update(base::BundleVersion inForce, const std::map<std::string, base::BundleVersion>& live);

    /** Largest version that this process confirmed or found in a state that needs no confirmation. */
    [[nodiscard]] base::BundleVersion confirmed() const noexcept { return this->newestConfirmed; }

private:
    Operations& operations;
    lease::Lease& lease;
    base::BundleVersion newestConfirmed {};
    bool confirmationInProgress = false;
};

} // namespace chivewinch::bundle
