#pragma once

#include "base/clock.hpp"
#include "base/id.hpp"
#include "suspect/strike_table.hpp"

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace chivewinch::entry {

/**
 * Attempts that were lost together with their agent. Whether the target crashed as well is decided when the agent comes
 * back and reports the incarnation of its target, or when it stays away. Only a crash gives the request a strike.
 */
class LostAgents {
public:
    explicit LostAgents(const base::Clock& clock) noexcept
        : clock { clock }
    {
    }

    /** An attempt was in flight when the connection to the agent was lost. */
    void lost(const base::TargetId& target, base::Incarnation agent, std::uint64_t fingerprint);
    /** The agent of the target reports the incarnation of its target; 0 tells nothing. */
    void heard(suspect::StrikeTable& strikes, const base::TargetId& target, base::Incarnation targetIncarnation);
    /** Gives strikes for agents that have stayed away; to be called several times a second. */
    void advance(suspect::StrikeTable& strikes);

    /** Losses of the fingerprint that are not decided yet. */
    [[nodiscard]] std::size_t undecided(std::uint64_t fingerprint) const;

private:
    struct Loss {
        suspect::Strike strike;
        base::SteadyTime at;
    };

    struct Target {
        base::Incarnation incarnation {}; ///< Last one heard of.
        std::vector<Loss> losses;
    };

    const base::Clock& clock;
    std::unordered_map<base::TargetId, Target> targets;
};

} // namespace chivewinch::entry
