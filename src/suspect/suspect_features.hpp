#pragma once

#include "base/clock.hpp"
#include "base/random.hpp"
#include "suspect/feature.hpp"
#include "suspect/run_memory.hpp"
#include "suspect/shared_strikes.hpp"
#include "suspect/strike_table.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace chivewinch::suspect {

/** Settings of SuspectFeatures. */
struct SuspectFeaturesOptions {
    StrikeOptions strikes;
    SharedStrikesOptions sharing;
    /** Crashes in a row after which a feature is blocked although runs with it have crashed nothing before. */
    std::size_t crashesAfterRuns = 5;
    /**
     * Share of the known crashes since its first strike from which a whole request is blocked. A caller repeats a sound
     * request after each crash that ends it, so that many crashes by others concern it, too.
     */
    double requestCrashShare = 0.5;
    std::size_t maxSharedRuns = 16'384; ///< Features that teams can share whose last run is remembered.
    std::size_t maxOwnRuns = 4'096; ///< Other features; most of them never come again.
    std::chrono::nanoseconds runTerm { std::chrono::hours { 1 } }; ///< Time for which a run is remembered.
};

/** Options for features that crash each target that begins to answer a request with them. */
[[nodiscard]] SuspectFeaturesOptions featureOptions(const StrikeOptions& strikes, const SharedStrikesOptions& sharing);

/**
 * Finds what crashes targets, from the features that the ended runs of different requests have in common. A feature has
 * a strike of each crash that ended a run with it. It is blocked after two crashes that no other feature explains
 * better, unless a run with it has crashed nothing. Strikes are shared with the other processes; so are the runs that
 * clear them.
 *
 * A feature is blocked for the team whose requests have crashed targets, and for all teams once this happened to two.
 * Not thread-safe.
 */
class SuspectFeatures {
public:
    SuspectFeatures(const base::Clock& clock, base::RandomSource& random, SuspectFeaturesOptions options);

    /**
     * Records that a run with these features ended when its target crashed.
     * @param trial What the run was a trial of, as blocking has returned it; nullopt if it was none.
     */
    void recordCrash(std::span<const Feature> features, std::string_view team, const base::TargetId& target,
        base::Incarnation incarnation, std::optional<std::uint64_t> trial);
    /** Records that a run with these features has crashed nothing. */
    void recordRun(std::span<const Feature> features);
    /** Clears strikes that other processes have recorded of features with which runs here have crashed nothing. */
    void advance();

    /** Which strikes block the feature: those of the team or those of several ones; nullopt if none do. */
    [[nodiscard]] std::optional<std::uint64_t> blocking(const Feature& feature) const;
    /** What blocks features of a request, and whether a run of it can be a trial. */
    struct Block {
        std::vector<std::uint64_t> features; ///< As blocking has returned them.
        bool allowsTrial = false; ///< Only one feature is blocked, and no other one can be the cause.
    };
    [[nodiscard]] Block blockOf(std::span<const Feature> features) const;
    /** Strikes of all features that block requests. */
    [[nodiscard]] StrikeList blockedStrikes() const;
    /** True if the feature has strikes of two crashes or more that count. */
    [[nodiscard]] bool isStruck(std::uint64_t feature) const
    {
        return this->table.verdict(feature) == Verdict::Blocked;
    }
    [[nodiscard]] const StrikeTable& strikes() const noexcept { return this->table; }
    [[nodiscard]] SharedStrikes& sharing() noexcept { return this->shared; }
    [[nodiscard]] const SharedStrikes& sharing() const noexcept { return this->shared; }
    /** Identities of the features whose strikes were cleared since the last call, for the log. */
    [[nodiscard]] std::vector<std::uint64_t> takeCleared() { return std::exchange(this->cleared, {}); }

private:
    const base::Clock& clock;
    SuspectFeaturesOptions options;
    StrikeTable table;
    SharedStrikes shared;
    RunMemory sharedRuns;
    RunMemory ownRuns;
    std::uint64_t checkedVersion = 0; ///< Version of the table that advance has seen.
    std::vector<std::uint64_t> cleared;
    mutable std::unordered_map<std::uint64_t, bool> verdicts; ///< Of struck features, since the last advance.
    mutable std::uint64_t verdictsVersion = 0; ///< Version of the table to which the verdicts apply.

    /** Crashes since a run that crashed nothing, cleared strikes included. */
    struct CrashesInRow {
        std::size_t count = 0;
        std::chrono::milliseconds firstAge {};
    };
    [[nodiscard]] CrashesInRow crashesSince(std::uint64_t feature, base::SteadyTime lastRun) const;
    [[nodiscard]] std::optional<base::SteadyTime> lastRun(std::uint64_t feature) const;
    /** Crashes of the feature, by strikes that count, of which no other one is the likelier cause. */
    [[nodiscard]] std::size_t unexplainedCrashes(std::uint64_t feature) const;
    /** Crashes of the feature, by strikes that count, as a share of all that are known since the first of them. */
    [[nodiscard]] double crashShare(std::uint64_t feature) const;
    [[nodiscard]] bool isBlocked(const Feature& feature) const;
    [[nodiscard]] bool judge(const Feature& feature) const;
    [[nodiscard]] bool isBlockedForAll(std::uint64_t id) const;
    void clear(std::uint64_t feature);
};

} // namespace chivewinch::suspect
