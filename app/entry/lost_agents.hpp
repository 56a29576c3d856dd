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
 * Attempts that were in flight when the connection to their agent was lost. Such a loss is resolved when the agent
 * reconnects and reports the incarnation of its target, or when it does not return in time. The request gets a strike
 * only if the incarnation has changed, which means that the target crashed, or if the agent does not return.
 */
class LostAgents {
public:
    explicit LostAgents(const base::Clock& clock) noexcept
        : clock { clock }
    {
    }

    /** Records an attempt that was in flight when the connection to the agent was lost. */
    void recordLoss(const base::TargetId& target, base::Incarnation agent, std::uint64_t fingerprint);
    /** Resolves the losses of a target by the incarnation that its agent reports; 0 means unknown and is ignored. */
    void recordTargetIncarnation(
        suspect::StrikeTable& strikes, const base::TargetId& target, base::Incarnation targetIncarnation);
    /** Records strikes for agents that have not returned in time; must be called several times a second. */
    void advance(suspect::StrikeTable& strikes);

    /** Number of losses of the fingerprint that are not resolved yet. */
    [[nodiscard]] std::size_t unresolvedLosses(std::uint64_t fingerprint) const;

private:
    struct Loss {
        suspect::Strike strike;
        base::SteadyTime at;
    };

    struct Target {
        base::Incarnation incarnation {}; ///< Last reported incarnation; 0 before the first report.
        std::vector<Loss> losses;
    };

    const base::Clock& clock;
    std::unordered_map<base::TargetId, Target> targets;
};

} // namespace chivewinch::entry
