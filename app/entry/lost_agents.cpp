#include "entry/lost_agents.hpp"

#include "logging/event.hpp"

#include <algorithm>
#include <array>

namespace chivewinch::entry {

namespace internal {

// Limits the memory for the losses of one target.
constexpr std::size_t maxLosses = 256;

// If the agent does not return within this time, its target is assumed to have crashed as well.
constexpr std::chrono::seconds agentReturnTimeout { 3 };

void record(suspect::StrikeTable& strikes, const suspect::Strike& strike, const char* cause)
{
    logging::Event { "strike" }
        .field("fingerprint", strike.fingerprint)
        .field("target", strike.target)
        .field("cause", cause)
        .warning();
    strikes.recordCrash(strike.target, strike.incarnation, std::array { strike.fingerprint });
}

} // namespace internal

void LostAgents::recordLoss(const base::TargetId& target, base::Incarnation agent, std::uint64_t fingerprint)
{
    auto& losses = this->targets[target].losses;
    if (losses.size() < internal::maxLosses) {
        losses.push_back({ .strike = { .fingerprint = fingerprint, .target = target, .incarnation = agent },
            .at = this->clock.now() });
    }
}

void LostAgents::recordTargetIncarnation(
    suspect::StrikeTable& strikes, const base::TargetId& target, base::Incarnation targetIncarnation)
{
    if (targetIncarnation == base::Incarnation {})
        return;
    auto& known = this->targets[target];
    if (known.incarnation != targetIncarnation) {
        for (const auto& loss : known.losses)
            internal::record(strikes, loss.strike, "target_restarted");
    }
    known.incarnation = targetIncarnation;
    known.losses.clear();
}

void LostAgents::advance(suspect::StrikeTable& strikes)
{
    const auto before = this->clock.now() - internal::agentReturnTimeout;
    for (auto& [id, target] : this->targets) {
        std::erase_if(target.losses, [&](const Loss& loss) {
            if (loss.at > before)
                return false;
            internal::record(strikes, loss.strike, "agent_stayed_away");
            return true;
        });
    }
}

std::size_t LostAgents::unresolvedLosses(std::uint64_t fingerprint) const
{
    std::size_t count = 0;
    for (const auto& [id, target] : this->targets) {
        count += static_cast<std::size_t>(std::ranges::count_if(
            target.losses, [fingerprint](const Loss& loss) { return loss.strike.fingerprint == fingerprint; }));
    }
    return count;
}

} // namespace chivewinch::entry
