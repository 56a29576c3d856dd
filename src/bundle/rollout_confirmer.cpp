#include "bundle/rollout_confirmer.hpp"

#include <algorithm>

namespace chivewinch::bundle {

void RolloutConfirmer::update(base::BundleVersion inForce, const std::map<std::string, base::BundleVersion>& live)
{
    const auto fencing = this->lease.fencing();
    if (!fencing || this->confirmationInProgress || inForce <= this->newestConfirmed)
        return;
    if (std::ranges::any_of(live, [&](const auto& process) { return process.second < inForce; }))
        return;
    this->confirmationInProgress = true;
    this->operations.confirm(inForce, *fencing, [this, inForce](const auto& record, const Error& error) {
        this->confirmationInProgress = false;
        // WrongState means that another holder has confirmed the version or that a newer version has rolled. After
        // LostRace, e.g. when the lease was renewed in between, the next update tries again.
        if (record || error.code == ErrorCode::WrongState)
            this->newestConfirmed = std::max(this->newestConfirmed, inForce);
    });
}

} // namespace chivewinch::bundle
