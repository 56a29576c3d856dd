#pragma once

#include "base/clock.hpp"
#include "base/id.hpp"
#include "limit/decision.hpp"
#include "limit/options.hpp"
#include "limit/retry_schedule.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string_view>

namespace chivewinch::limit {

/**
 * Refuses requests on arrival while the queue of a pool is too long. Divides the capacity between the owners by weight
 * and, within an owner, admits the highest priorities first. Not thread-safe.
 */
class LoadShedder {
public:
    explicit LoadShedder(ShedderOptions options = {});

    /** Admits or refuses one arriving request. */
    [[nodiscard]] Decision admit(std::string_view owner, std::uint8_t priority, base::SteadyTime now);

    /** Records that an admitted request was answered. The capacity is estimated from the rate of answers. */
    void served(base::SteadyTime now);

    /** Sets the number of requests that currently wait for a target. */
    void setQueued(std::size_t requests) noexcept { this->queued = requests; }

    [[nodiscard]] bool shedding() const noexcept { return this->active; }
    /** Estimated capacity in requests per second; 0 before the first answers. */
    [[nodiscard]] double capacity() const noexcept { return this->servedRate; }

private:
    struct PriorityLevel {
        std::uint32_t arrived = 0; ///< Arrivals in the current interval.
        double rate = 0; ///< Smoothed arrivals per second.
        double admittedShare = 1; ///< Share of the arrivals to admit.
        double credit = 0; ///< Sum of `admittedShare` over the arrivals; admitting a request takes 1.
    };

    struct Owner {
        double weight = 1;
        std::array<PriorityLevel, priorityCount> levels {};
        double allowed = 0; ///< Requests per second to admit while shedding.
        internal::RetrySchedule retries;

        [[nodiscard]] double demand() const noexcept;
    };

    ShedderOptions options;
    std::map<base::OwnerId, Owner, std::less<>> owners;
    std::size_t queued = 0;
    std::uint32_t servedInInterval = 0;
    double servedRate = 0;
    bool active = false;
    base::SteadyTime lastUpdate {};

    [[nodiscard]] Owner& findOrAddOwner(std::string_view name);
    void update(base::SteadyTime now);
    void updateRates(double elapsedSeconds);
    void updateActive();
    [[nodiscard]] double targetQueue() const noexcept;
    void divideCapacity(double capacity);
    void divideInProportion(double capacity);
    static void divideByPriority(Owner& owner, bool usePriorities);
    [[nodiscard]] Decision refuse(Owner& owner, base::SteadyTime now) const;
};

} // namespace chivewinch::limit
