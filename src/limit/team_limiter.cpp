#include "limit/team_limiter.hpp"

#include <algorithm>
#include <cmath>

namespace chivewinch::limit {

namespace internal {

constexpr std::chrono::nanoseconds minRetryAfter { std::chrono::milliseconds { 100 } };

double secondsOf(std::chrono::nanoseconds duration) noexcept { return std::chrono::duration<double>(duration).count(); }

std::chrono::nanoseconds durationOf(double seconds, std::chrono::nanoseconds longest) noexcept
{
    if (!(seconds < secondsOf(longest)))
        return longest;
    return std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::duration<double>(seconds));
}

} // namespace internal

void TeamLimiter::setTeams(std::span<const TeamLimit> limits)
{
    for (auto& [name, team] : this->teams)
        team.removed = true;
    for (const auto& limit : limits) {
        const auto [found, added] = this->teams.try_emplace(limit.team);
        auto& team = found->second;
        team.requestsPerSecond = limit.requestsPerSecond;
        team.concurrency = limit.concurrency;
        team.removed = false;
        if (added)
            team.tokens = this->burstOf(team);
    }
    std::erase_if(this->teams, [](const auto& item) { return item.second.removed && item.second.inFlight == 0; });
}

void TeamLimiter::setEntries(std::size_t live, std::size_t expected) noexcept
{
    const auto minimum = this->options.useMinimumDivisor ? (expected + 1) / 2 : std::size_t { 1 };
    this->shareDivisor = std::max({ live, minimum, std::size_t { 1 } });
}

double TeamLimiter::shareOf(double limit) const noexcept { return limit / static_cast<double>(this->shareDivisor); }

double TeamLimiter::burstOf(const Team& team) const noexcept
{
    return std::max(1.0, this->shareOf(team.requestsPerSecond) * internal::secondsOf(this->options.burst));
}

void TeamLimiter::refill(Team& team, base::SteadyTime now) const noexcept
{
    const auto passed = internal::secondsOf(std::max(now - team.lastRefill, base::SteadyTime::duration::zero()));
    team.lastRefill = std::max(now, team.lastRefill);
    team.tokens += passed * this->shareOf(team.requestsPerSecond);
    team.tokens = std::min(team.tokens, this->burstOf(team));
}

bool TeamLimiter::hasSlot(const Team& team, base::SteadyTime now) const noexcept
{
    const auto share = this->shareOf(team.concurrency);
    const auto whole = std::floor(share);
    if (team.inFlight < whole)
        return true;
    return share > whole && team.inFlight < whole + 1 && now >= team.extraSlotFreeAt;
}

void TeamLimiter::takeSlot(Team& team, base::SteadyTime now) const noexcept
{
    ++team.inFlight;
    if (team.extraSlotTaken || team.inFlight <= this->shareOf(team.concurrency))
        return;
    team.extraSlotTaken = true;
    team.extraSlotTakenAt = now;
}

Decision TeamLimiter::tryStart(std::string_view name, base::SteadyTime now)
{
    const auto found = this->teams.find(name);
    if (found == this->teams.end() || found->second.removed)
        return { .reason = base::RefusalReason::UnknownTeam };
    auto& team = found->second;
    this->refill(team, now);
    if (this->options.limitRate && team.tokens < 1)
        return this->refuseRate(team, now);
    if (this->options.limitConcurrency && !this->hasSlot(team, now))
        return this->refuseConcurrency(team, now);
    team.tokens = std::max(0.0, team.tokens - 1);
    this->takeSlot(team, now);
    return {};
}

void TeamLimiter::cancelStart(std::string_view name)
{
    const auto found = this->teams.find(name);
    if (found == this->teams.end() || found->second.inFlight == 0)
        return;
    auto& team = found->second;
    team.tokens = std::min(team.tokens + 1, this->burstOf(team));
    --team.inFlight;
    if (team.inFlight <= this->shareOf(team.concurrency))
        team.extraSlotTaken = false;
    if (team.removed && team.inFlight == 0)
        this->teams.erase(found);
}

void TeamLimiter::finished(std::string_view name, base::SteadyTime now)
{
    const auto found = this->teams.find(name);
    if (found == this->teams.end() || found->second.inFlight == 0)
        return;
    auto& team = found->second;
    --team.inFlight;
    const auto share = this->shareOf(team.concurrency);
    const auto whole = std::floor(share);
    if (team.extraSlotTaken && team.inFlight <= whole) {
        // Keeps the extra slot unused until its average use matches the fractional part of the share, up to
        // maxCooldown.
        const auto used = internal::secondsOf(now - team.extraSlotTakenAt);
        const auto fraction = std::max(share - whole, 1e-9);
        team.extraSlotTaken = false;
        team.extraSlotFreeAt = now
            + std::chrono::duration_cast<base::SteadyTime::duration>(
                internal::durationOf(used * (1 / fraction - 1), this->options.maxCooldown));
    }
    if (team.removed && team.inFlight == 0)
        this->teams.erase(found);
}

Decision TeamLimiter::refuseRate(Team& team, base::SteadyTime now) const noexcept
{
    const auto share = this->shareOf(team.requestsPerSecond);
    const auto wait = internal::durationOf((1 - team.tokens) / share, this->options.maxRetryAfter);
    const auto interval = this->options.spreadRetries ? internal::durationOf(1 / share, this->options.maxRetryAfter)
                                                      : std::chrono::nanoseconds { 0 };
    return { .reason = base::RefusalReason::TeamRateLimit,
        .retryAfter
        = team.retries.next(std::max(wait, internal::minRetryAfter), this->options.maxRetryAfter, interval, now) };
}

Decision TeamLimiter::refuseConcurrency(Team& team, base::SteadyTime now) const noexcept
{
    const auto wait = std::max<std::chrono::nanoseconds>(team.extraSlotFreeAt - now, std::chrono::seconds { 1 });
    const auto share = this->shareOf(team.concurrency);
    const auto interval = this->options.spreadRetries ? internal::durationOf(1 / share, this->options.maxRetryAfter)
                                                      : std::chrono::nanoseconds { 0 };
    return { .reason = base::RefusalReason::TeamConcurrencyLimit,
        .retryAfter
        = team.retries.next(std::min(wait, this->options.maxRetryAfter), this->options.maxRetryAfter, interval, now) };
}

} // namespace chivewinch::limit
