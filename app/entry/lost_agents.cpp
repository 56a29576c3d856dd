#include "entry/lost_agents.hpp"

#include <array>

namespace chivewinch::entry {

namespace internal {

// Later strikes of one lost agent simply stay until they expire.
constexpr std::size_t maxOpenStrikes = 256;

} // namespace internal

void LostAgents::lost(
    suspect::StrikeTable& strikes, const base::TargetId& target, base::Incarnation agent, std::uint64_t fingerprint)
{
    strikes.recordCrash(target, agent, std::array { fingerprint });
    auto& open = this->targets[target].open;
    if (open.size() < internal::maxOpenStrikes)
        open.push_back({ .fingerprint = fingerprint, .target = target, .incarnation = agent });
}

void LostAgents::heard(suspect::StrikeTable& strikes, const base::TargetId& target, base::Incarnation targetIncarnation)
{
    if (targetIncarnation == base::Incarnation {})
        return;
    auto& known = this->targets[target];
    if (known.incarnation == targetIncarnation) {
        suspect::StrikeList cleared;
        for (const auto& strike : known.open)
            cleared.push_back({ .strike = strike, .age = {}, .cleared = true });
        strikes.merge(cleared);
    }
    known.incarnation = targetIncarnation;
    known.open.clear();
}

} // namespace chivewinch::entry
