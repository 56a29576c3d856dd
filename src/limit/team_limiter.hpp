#pragma once

#include "base/clock.hpp"
#include "base/id.hpp"
#include "limit/decision.hpp"
#include "limit/options.hpp"
#include "limit/retry_schedule.hpp"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>

namespace chivewinch::limit {

/**
 * Enforces this entry's share of each team's rate and concurrency limit. Not thread-safe.
 *
 * With share = limit / max(live entries, ceil(expected entries / 2)), and no more entries running than expected, all
 * entries together admit at most 2 * limit * T + entries * burst requests in any time T, and run at most
 * 2 * limit + entries requests at once, whatever each of them believes about the others.
 */
class TeamLimiter {
public:
    explicit TeamLimiter(LimiterOptions options = {}) noexcept
        : options { options }
    {
    }

    /** Replaces the limits by those of a bundle. Counts of teams that stay are kept. */
    void setTeams(std::span<const TeamLimit> limits);

    /** Number of live entries as seen here, this one included, and the number that should be running. */
    void setEntries(std::size_t live, std::size_t expected) noexcept;

    /** Admits one request of the team, or refuses it without any effect on later requests. */
    [[nodiscard]] Decision tryStart(std::string_view team, base::SteadyTime now);

    /** Takes back an admission, because the request was refused elsewhere and did not run. */
    void cancelStart(std::string_view team);

    /** An admitted request has ended. */
    void finished(std::string_view team, base::SteadyTime now);

    /** Number by which each limit is divided. */
    [[nodiscard]] std::size_t divisor() const noexcept { return this->shareDivisor; }
    [[nodiscard]] std::size_t size() const noexcept { return this->teams.size(); }

private:
    struct Team {
        double requestsPerSecond = 0;
        double concurrency = 0;
        double tokens = 0;
        base::SteadyTime refilled {};
        internal::RetrySchedule retries;
        std::uint32_t inFlight = 0;
        bool extraSlotTaken = false;
        base::SteadyTime extraSlotTakenAt {};
        base::SteadyTime extraSlotFreeAt {};
        bool removed = false;
    };

    struct StringHash {
        using is_transparent = void;
        std::size_t operator()(std::string_view text) const noexcept { return std::hash<std::string_view> {}(text); }
    };

    LimiterOptions options;
    std::unordered_map<std::string, Team, StringHash, std::equal_to<>> teams;
    std::size_t shareDivisor = 1;

    [[nodiscard]] double shareOf(double limit) const noexcept;
    [[nodiscard]] double burstOf(const Team& team) const noexcept;
    void refill(Team& team, base::SteadyTime now) const noexcept;
    [[nodiscard]] bool hasSlot(const Team& team, base::SteadyTime now) const noexcept;
    void takeSlot(Team& team, base::SteadyTime now) const noexcept;
    [[nodiscard]] Decision refuseRate(Team& team, base::SteadyTime now) const noexcept;
    [[nodiscard]] Decision refuseConcurrency(Team& team, base::SteadyTime now) const noexcept;
};

} // namespace chivewinch::limit
