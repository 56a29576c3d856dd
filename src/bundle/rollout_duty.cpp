#include "bundle/rollout_duty.hpp"

#include <algorithm>

namespace chivewinch::bundle {

void RolloutDuty::update(base::BundleVersion inForce, const std::map<std::string, base::BundleVersion>& live)
{
    const auto fencing = this->lease.fencing();
    if (!fencing || this->writing || inForce <= this->done)
        return;
    if (std::ranges::any_of(live, [&](const auto& process) { return process.second < inForce; }))
        return;
    this->writing = true;
    this->operations.confirm(inForce, *fencing, [this, inForce](const auto& record, const Error& error) {
        this->writing = false;
        // WrongState means that another holder has confirmed the version or that a newer version has rolled. After
        // LostRace, e.g. when the lease was renewed in between, the next update tries again.
        if (record || error.code == ErrorCode::WrongState)
            this->done = std::max(this->done, inForce);
    });
}

} // namespace chivewinch::bundle
