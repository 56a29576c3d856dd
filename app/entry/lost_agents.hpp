#pragma once

#include "base/id.hpp"
#include "suspect/strike_table.hpp"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace chivewinch::entry {

/**
 * Strikes for attempts that were lost together with their agent. The strike counts at once, since the target may have
 * crashed with the agent, and is cleared when the agent comes back and its target has run on.
 */
class LostAgents {
public:
    /** An attempt was in flight when the connection to the agent was lost. */
    void lost(suspect::StrikeTable& strikes, const base::TargetId& target, base::Incarnation agent,
        std::uint64_t fingerprint);

    /** The agent of the target reports the incarnation of its target; 0 tells nothing. */
    void heard(suspect::StrikeTable& strikes, const base::TargetId& target, base::Incarnation targetIncarnation);

private:
    struct Target {
        base::Incarnation incarnation {}; ///< Last one heard of.
        std::vector<suspect::Strike> open; ///< Strikes since then that may yet be cleared.
    };

    std::unordered_map<base::TargetId, Target> targets;
};

} // namespace chivewinch::entry
