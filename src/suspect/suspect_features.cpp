#include "suspect/suspect_features.hpp"

#include "suspect/crash_overlap.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace chivewinch::suspect {

namespace internal {

constexpr std::size_t crashesToBlock = 2;
constexpr std::size_t teamsToBlockForAll = 2;

// Strikes of a feature of all teams have the team instead of a target.
constexpr std::string_view teamPrefix = "team/";

base::TargetId teamName(std::string_view team) { return std::string { teamPrefix } + std::string { team }; }

// Processes that saw a crash notice it at different moments.
constexpr std::chrono::seconds noticeTime { 1 };

} // namespace internal

SuspectFeaturesOptions featureOptions(const StrikeOptions& strikes, const SharedStrikesOptions& sharing)
{
    SuspectFeaturesOptions options { .strikes = strikes, .sharing = sharing };
    options.strikes.strikesToBlock = internal::crashesToBlock;
    // Callers do not miss requests that crash targets, and a trial can stop a whole group of targets. It is worth that
    // only while the cause is uncertain.
    options.sharing.trialDelays
        = { std::chrono::seconds { 30 }, std::chrono::minutes { 5 }, std::chrono::minutes { 30 } };
    options.sharing.ambiguousTrialDelay = std::chrono::seconds { 2 };
    options.sharing.trialTime = std::chrono::seconds { 3 };
    options.sharing.trialsToClear = 1;
    return options;
}

SuspectFeatures::SuspectFeatures(const base::Clock& clock, base::RandomSource& random, SuspectFeaturesOptions given)
    : clock { clock }
    , options { std::move(given) }
    , table { clock, this->options.strikes }
    , shared { clock, random, this->table, this->options.sharing }
    , sharedRuns { this->options.maxSharedRuns, this->options.runTerm }
    , ownRuns { this->options.maxOwnRuns, this->options.runTerm }
{
}

void SuspectFeatures::recordCrash(std::span<const Feature> features, std::string_view team,
    const base::TargetId& target, base::Incarnation incarnation, std::optional<std::uint64_t> trial)
{
    const auto name = internal::teamName(team);
    for (const auto& feature : features) {
        this->shared.recordCrash(feature.inTeam, target, incarnation, feature.inTeam == trial);
        const bool isTrial = feature.inAllTeams == trial;
        if (feature.inAllTeams != 0 && (isTrial || !this->table.hasStrikeOn(feature.inAllTeams, name)))
            this->shared.recordCrash(feature.inAllTeams, name, {}, isTrial);
    }
}

void SuspectFeatures::recordRun(std::span<const Feature> features)
{
    const auto now = this->clock.now();
    for (const auto& feature : features) {
        (feature.inAllTeams != 0 ? this->sharedRuns : this->ownRuns).record(feature.inTeam, now);
        this->clear(feature.inTeam);
        if (feature.inAllTeams == 0)
            continue;
        this->sharedRuns.record(feature.inAllTeams, now);
        this->clear(feature.inAllTeams);
    }
}

void SuspectFeatures::clear(std::uint64_t feature)
{
    if (this->table.strikeCount(feature) == 0)
        return;
    this->shared.recordCompletion(feature);
    this->cleared.push_back(feature);
}

SuspectFeatures::CrashesInRow SuspectFeatures::crashesSince(std::uint64_t feature, base::SteadyTime lastRun) const
{
    CrashesInRow crashes;
    const auto runAge = std::chrono::floor<std::chrono::milliseconds>(this->clock.now() - lastRun);
    std::set<std::pair<base::TargetId, base::Incarnation>> crashed;
    for (const auto& report : this->table.reportsOf(feature)) {
        if (report.age >= runAge)
            continue;
        crashed.emplace(report.strike.target, report.strike.incarnation);
        crashes.firstAge = std::max(crashes.firstAge, report.age);
    }
    crashes.count = crashed.size();
    return crashes;
}

void SuspectFeatures::advance()
{
    this->verdicts.clear();
    if (this->checkedVersion == this->table.version())
        return;
    this->checkedVersion = this->table.version();
    for (const auto feature : this->table.struckFingerprints()) {
        const auto lastRun = this->lastRun(feature);
        if (!lastRun)
            continue;
        // The last strikes before the block stay, so that it holds in processes that have not seen the run.
        if (this->crashesSince(feature, *lastRun).count + internal::crashesToBlock <= this->options.crashesAfterRuns
            || this->unexplainedCrashes(feature) == 0)
            this->clear(feature);
    }
}

std::optional<base::SteadyTime> SuspectFeatures::lastRun(std::uint64_t feature) const
{
    const auto now = this->clock.now();
    const auto found = this->sharedRuns.lastRun(feature, now);
    return found ? found : this->ownRuns.lastRun(feature, now);
}

std::size_t SuspectFeatures::unexplainedCrashes(std::uint64_t feature) const
{
    // A feature with which runs have crashed nothing is hardly the cause if another one, without such runs, can be.
    const bool hasRun = this->lastRun(feature).has_value();
    const auto isPreferred = [&](std::uint64_t other) { return hasRun && !this->lastRun(other); };
    return CrashOverlap { this->table, feature, isPreferred }.unexplained();
}

double SuspectFeatures::crashShare(std::uint64_t feature) const
{
    using Crashes = std::set<std::pair<base::TargetId, base::Incarnation>>;
    Crashes own;
    std::chrono::milliseconds firstAge { 0 };
    for (const auto& report : this->table.reportsOf(feature)) {
        if (report.cleared)
            continue;
        own.emplace(report.strike.target, report.strike.incarnation);
        firstAge = std::max(firstAge, report.age);
    }
    Crashes all = own;
    for (const auto& report : this->table.reportsWith(1, this->options.strikes.maxStrikes))
        if (report.age < firstAge + internal::noticeTime && !report.strike.target.starts_with(internal::teamPrefix))
            all.emplace(report.strike.target, report.strike.incarnation);
    return all.empty() ? 0 : static_cast<double>(own.size()) / static_cast<double>(all.size());
}

bool SuspectFeatures::judge(const Feature& feature) const
{
    if (const auto lastRun = this->lastRun(feature.inTeam)) {
        // While many targets are down at the same time, no run can show that the feature crashes nothing.
        const auto crashes = this->crashesSince(feature.inTeam, *lastRun);
        if (crashes.count < this->options.crashesAfterRuns || crashes.firstAge < this->options.sharing.learnTime)
            return false;
    }
    if (this->unexplainedCrashes(feature.inTeam) < internal::crashesToBlock)
        return false;
    return !isWholeRequest(feature.inTeam) || this->crashShare(feature.inTeam) >= this->options.requestCrashShare;
}

bool SuspectFeatures::isBlocked(const Feature& feature) const
{
    if (!this->isStruck(feature.inTeam))
        return false;
    if (this->verdictsVersion != this->table.version())
        this->verdicts.clear();
    this->verdictsVersion = this->table.version();
    const auto [found, isNew] = this->verdicts.try_emplace(feature.inTeam);
    if (isNew)
        found->second = this->judge(feature);
    return found->second;
}

bool SuspectFeatures::isBlockedForAll(std::uint64_t id) const
{
    if (!this->isStruck(id) || this->lastRun(id))
        return false;
    const auto teams = this->table.struckTargets(id);
    return std::set<base::TargetId> { teams.begin(), teams.end() }.size() >= internal::teamsToBlockForAll;
}

std::optional<std::uint64_t> SuspectFeatures::blocking(const Feature& feature) const
{
    if (this->isBlocked(feature))
        return feature.inTeam;
    return this->isBlockedForAll(feature.inAllTeams) ? std::optional { feature.inAllTeams } : std::nullopt;
}

StrikeList SuspectFeatures::blockedStrikes() const
{
    StrikeList strikes;
    for (const auto id : this->table.blockedFingerprints()) {
        if (!this->isBlocked({ .inTeam = id }) && !this->isBlockedForAll(id))
            continue;
        for (auto& report : this->table.reportsOf(id))
            strikes.push_back(std::move(report));
    }
    return strikes;
}

SuspectFeatures::Block SuspectFeatures::blockOf(std::span<const Feature> features) const
{
    Block block;
    bool hasOtherStrikes = false;
    for (const auto& feature : features) {
        if (const auto blocked = this->blocking(feature))
            block.features.push_back(*blocked);
        else if (this->table.strikeCount(feature.inTeam) > 0)
            hasOtherStrikes = true;
    }
    block.allowsTrial = block.features.size() == 1 && !hasOtherStrikes;
    return block;
}

} // namespace chivewinch::suspect
