#pragma once

#include "base/clock.hpp"
#include "base/id.hpp"
#include "quota/owners.hpp"

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

namespace chivewinch::quota {

/**
 * The members of the fleet, from which each process computes the owners of the shares of a limit. Members that were
 * replaced are remembered until all processes have learned of the change. Not thread-safe.
 */
class ShareOwners {
public:
    /**
     * @param settleTime Time after a change of the members until this process uses a share that it did not own before.
     * It must cover the time in which all processes learn the change, so that the previous owner has stopped by then.
     */
    ShareOwners(std::string instance, std::chrono::nanoseconds settleTime);

    /** Replaces the members; returns false if they are the same as before. */
    [[nodiscard]] bool setMembers(std::vector<Member> newMembers, base::SteadyTime now);

    /** The members that own a share, at most the given number of them. */
    [[nodiscard]] std::vector<std::string> of(
        const base::TargetId& target, const base::ZoneId& zone, std::size_t maxOwners) const;
    /**
     * Records that this process was a member before it started, so that all others count with it already. Must be
     * called before the first call of setMembers.
     */
    void setRegisteredBefore() noexcept { this->isRegisteredBefore = true; }
    /**
     * True shortly after the start of a process that was a member before: its share may just have been used by the
     * process that it replaces.
     */
    [[nodiscard]] bool mayBeUsedUp(base::SteadyTime now) const noexcept;

    [[nodiscard]] bool isOwner(const std::vector<std::string>& owners) const;
    /**
     * Time from which this process may use its share, with the same owners as `of`.
     * @param countsStart Whether its own start counts as a change of the members if it was a member before.
     */
    [[nodiscard]] base::SteadyTime usableFrom(
        const base::TargetId& target, const base::ZoneId& zone, std::size_t maxOwners, bool countsStart) const;

private:
    /** Members that were replaced; some processes may still act on them. */
    struct PastMembers {
        std::vector<Member> members;
        base::SteadyTime replacedAt {};
    };

    std::string ownInstance;
    std::chrono::nanoseconds settleTime;
    std::vector<Member> members;
    std::vector<PastMembers> pastMembers;
    bool isRegisteredBefore = false;
    base::SteadyTime startedAt {}; ///< Time of the first call of setMembers.
};

} // namespace chivewinch::quota
