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
 * The share is limit / max(live entries, ceil(expected entries / 2)). If no more entries run than expected, all entries
 * together admit at most 2 * limit * T + entries * burst requests in any time T, and run at most 2 * limit + entries
 * requests at once. These bounds do not depend on which other entries each entry considers live.
 */
class TeamLimiter {
public:
    explicit TeamLimiter(LimiterOptions options = {}) noexcept
        : options { options }
    {
    }

    /** Replaces the limits by those of a bundle. Teams that remain keep their tokens and running requests. */
    void setTeams(std::span<const TeamLimit> limits);

    /** Sets the number of live entries known to this entry, including itself, and the number of expected entries. */
    void setEntries(std::size_t live, std::size_t expected) noexcept;

    /** Admits one request of the team or refuses it. A refusal does not affect the admission of later requests. */
    [[nodiscard]] Decision tryStart(std::string_view team, base::SteadyTime now);

    /** Reverts an admission whose request was refused elsewhere and did not run. Restores its token and slot. */
    void cancelStart(std::string_view team);

    /** Records the end of an admitted request. */
    void finished(std::string_view team, base::SteadyTime now);

    /** Number by which each limit is divided to get the share of this entry. */
    [[nodiscard]] std::size_t divisor() const noexcept { return this->shareDivisor; }
    [[nodiscard]] std::size_t size() const noexcept { return this->teams.size(); }

private:
    struct Team {
        double requestsPerSecond = 0;
        double concurrency = 0;
        double tokens = 0;
        base::SteadyTime lastRefill {};
        internal::RetrySchedule retries;
        std::uint32_t inFlight = 0;
        // The extra slot is used part of the time, for the fractional part of the share of the concurrency limit.
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
