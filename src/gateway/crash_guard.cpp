#include "gateway/crash_guard.hpp"

#include "http/keep_running.hpp"
#include "logging/event.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <exception>
#include <utility>

namespace chivewinch::gateway {

namespace asio = boost::asio;

namespace internal {

suspect::StrikeOptions withCrashSeed(suspect::StrikeOptions options, base::RandomSource& random)
{
    options.crashSeed = random.next();
    return options;
}

/** True for a trial of the whole request, be it by the bound on it or as a feature. */
bool isOfRequest(const Trial& trial, std::uint64_t fingerprint)
{
    return trial.feature == (trial.isOfFeature ? suspect::requestFeature(fingerprint).inTeam : fingerprint);
}

} // namespace internal

CrashGuard::CrashGuard(const asio::any_io_executor& executor, const base::Clock& clock, base::RandomSource& random,
    const suspect::StrikeOptions& strikes, suspect::SharedStrikesOptions sharing, relay::Relay* relay, StrikeRows rows)
    : executor { executor }
    , clock { clock }
    , table { clock, internal::withCrashSeed(strikes, random) }
    , shared { clock, random, this->table, sharing }
    , suspects { clock, random, suspect::featureOptions(internal::withCrashSeed(strikes, random), sharing) }
    , strikeExpiry { strikes.expiry }
    , instance { std::move(sharing.instance) }
    , archive { clock, this->table, this->shared, this->suspects, { .expiry = strikes.expiry } }
{
    if (rows.feed != nullptr && rows.sink != nullptr)
        this->store = std::make_unique<StrikeStore>(executor, clock, this->archive, *rows.feed, *rows.sink);
    if (relay == nullptr)
        return;
    this->exchange = std::make_unique<StrikeExchange>(executor, this->shared, *relay, "/strikes");
    this->featureExchange = std::make_unique<StrikeExchange>(executor, this->suspects.sharing(), *relay, "/features");
}

void CrashGuard::start()
{
    if (this->store) {
        asio::co_spawn(
            this->executor, http::keepRunning("strike_rows", [this] { return this->store->run(); }), asio::detached);
    }
    for (const auto* each : { &this->exchange, &this->featureExchange }) {
        if (!*each)
            continue;
        for (std::size_t index = 0; index < (*each)->senderCount(); ++index)
            asio::co_spawn(this->executor,
                http::keepRunning("strikes", [exchange = each->get(), index] { return exchange->runSender(index); }),
                asio::detached);
    }
}

void CrashGuard::stop()
{
    if (this->store)
        this->store->stop();
    if (this->exchange)
        this->exchange->stop();
    if (this->featureExchange)
        this->featureExchange->stop();
}

void CrashGuard::setMembers(const std::vector<quota::Member>& members)
{
    this->shared.setMembers(members);
    this->suspects.sharing().setMembers(members);
}

void CrashGuard::sendNews()
{
    if (this->exchange && this->shared.hasNews())
        this->exchange->wake();
    if (this->featureExchange && this->suspects.sharing().hasNews())
        this->featureExchange->wake();
    if (this->store)
        this->store->wake();
}

void CrashGuard::advance(base::SteadyTime now)
{
    for (const auto& run : this->silence.takeConfirmed(now)) {
        logging::Event { "target_silent" }
            .field("target", run.target)
            .field("fingerprint", suspect::fingerprintText(run.fingerprint))
            .field("ms", std::chrono::floor<std::chrono::milliseconds>(now - run.lastAnswer).count())
            .info();
        this->recordStrike(run.fingerprint, run.target, run.incarnation, run.isTrial);
    }
    this->suspects.advance();
    for (const auto feature : this->suspects.takeCleared())
        logging::Event { "feature_cleared" }.field("feature", suspect::fingerprintText(feature)).info();
    this->sendNews();
}

std::optional<std::size_t> CrashGuard::blockedFeature(const RequestFeatures& features) const
{
    for (std::size_t index = 0; index < features.all.size(); ++index)
        if (this->suspects.blocking(features.all[index]))
            return index;
    return std::nullopt;
}

bool CrashGuard::isBlocked(const RequestFeatures& features, const std::optional<Trial>& trial) const
{
    const bool isRequestTried = trial && internal::isOfRequest(*trial, features.fingerprint);
    if (!isRequestTried && this->isBlocked(features.fingerprint))
        return true;
    const auto blocking = this->suspects.blockOf(features.all).features;
    return std::ranges::any_of(
        blocking, [&trial](auto feature) { return !trial || !trial->isOfFeature || trial->feature != feature; });
}

suspect::SharedStrikes& CrashGuard::sharingOf(const Trial& trial)
{
    return trial.isOfFeature ? this->suspects.sharing() : this->shared;
}

StrikeExchange* CrashGuard::exchangeOf(const Trial& trial) const
{
    return trial.isOfFeature ? this->featureExchange.get() : this->exchange.get();
}

http::Task<CrashVerdict> CrashGuard::admit(const RequestFeatures& features, std::optional<Trial>& trial)
{
    if (this->store)
        co_await this->store->waitUntilSettled();
    const auto block = this->suspects.blockOf(features.all);
    const bool isRequestBlocked = this->isBlocked(features.fingerprint);
    if (block.features.empty() && !isRequestBlocked)
        co_return CrashVerdict::Allowed;
    Trial wanted { .feature = block.features.empty() ? features.fingerprint : block.features.front(),
        .isOfFeature = !block.features.empty() };
    // A trial of several features would not show which of them crashes targets.
    if (wanted.isOfFeature
        && (!block.allowsTrial || (isRequestBlocked && !internal::isOfRequest(wanted, features.fingerprint))))
        co_return CrashVerdict::Blocked;
    const auto due = this->sharingOf(wanted).trialAt(wanted.feature);
    if (!due || this->clock.now() < *due)
        co_return CrashVerdict::Blocked;
    const auto isGranted = co_await this->askForTrial(wanted);
    const auto& strikes = wanted.isOfFeature ? this->suspects.strikes() : this->table;
    logging::Event { "trial" }
        .field("fingerprint", suspect::fingerprintText(wanted.feature))
        .field("of_feature", wanted.isOfFeature)
        .field("granted", isGranted.value_or(false))
        .field("granter", wanted.granter)
        .field("strikes", strikes.strikeCount(wanted.feature))
        .field("failed", strikes.failedTrials(wanted.feature))
        .info();
    if (isGranted.value_or(false))
        trial = std::move(wanted);
    // The answer can show that the block was lifted elsewhere.
    if (this->isBlocked(features, trial)) {
        if (trial)
            this->endTrial(*std::exchange(trial, std::nullopt), TrialEnd::Undecided);
        co_return CrashVerdict::Blocked;
    }
    co_return trial ? CrashVerdict::Trial : CrashVerdict::Allowed;
}

http::Task<std::optional<bool>> CrashGuard::askForTrial(Trial& trial)
{
    auto& sharing = this->sharingOf(trial);
    auto* exchange = this->exchangeOf(trial);
    for (auto& granter : sharing.trialGranters(trial.feature)) {
        std::optional<bool> isGranted;
        if (granter == this->instance)
            isGranted = sharing.grantTrial(trial.feature);
        else if (exchange != nullptr && sharing.isReachable(granter))
            isGranted = co_await exchange->requestTrial(granter, trial.feature);
        if (isGranted) {
            trial.granter = std::move(granter);
            co_return isGranted;
        }
    }
    co_return std::nullopt;
}

void CrashGuard::endTrial(const Trial& trial, TrialEnd end)
{
    const bool isCompleted = end == TrialEnd::Completed;
    logging::Event { "trial_ended" }
        .field("fingerprint", suspect::fingerprintText(trial.feature))
        .field("of_feature", trial.isOfFeature)
        .field("completed", isCompleted)
        .field("granter", trial.granter)
        .info();
    if (trial.granter != this->instance) {
        // If the message is lost, for whatever reason, the granter grants the next trial later.
        asio::co_spawn(this->executor, this->exchangeOf(trial)->endTrial(trial.granter, trial.feature, isCompleted),
            [](const std::exception_ptr& /*failure*/) {});
        return;
    }
    if (isCompleted)
        this->sharingOf(trial).completeTrial(trial.feature);
    else
        this->sharingOf(trial).returnTrial(trial.feature);
    this->sendNews();
}

std::chrono::milliseconds CrashGuard::retryAfter(const RequestFeatures& features) const
{
    constexpr std::chrono::milliseconds shortest { 500 };
    const auto now = this->clock.now();
    const auto blocking = this->suspects.blockOf(features.all).features;
    const auto& strikes = blocking.empty() ? this->table : this->suspects.strikes();
    const auto& sharing = blocking.empty() ? this->shared : this->suspects.sharing();
    const auto feature = blocking.empty() ? features.fingerprint : blocking.front();
    const auto last = strikes.lastStrike(feature).value_or(now);
    const auto due = sharing.trialAt(feature).value_or(last + this->strikeExpiry);
    return std::max(std::chrono::ceil<std::chrono::milliseconds>(due - now), shortest);
}

bool CrashGuard::isSuspect(std::uint64_t fingerprint) const
{
    // A single crash says little: all requests that were running on the target have a strike of it.
    constexpr std::size_t minCrashes = 2;
    return this->table.strikeCount(fingerprint) >= minCrashes;
}

std::vector<base::TargetId> CrashGuard::targetsToAvoid(std::uint64_t fingerprint) const
{
    if (!this->isSuspect(fingerprint))
        return {};
    auto avoided = this->table.struckTargets(fingerprint);
    for (const auto& [target, fingerprints] : this->running) {
        const auto isOther = [fingerprint](auto other) { return other != fingerprint; };
        if (std::ranges::any_of(fingerprints, isOther))
            avoided.push_back(target);
    }
    return avoided;
}

std::vector<std::vector<base::TargetId>> CrashGuard::targetsToAvoidInTrial(
    std::uint64_t fingerprint, const std::vector<base::TargetId>& targets) const
{
    auto allButOwn = targets;
    std::erase(allButOwn, this->shared.trialTarget(fingerprint, targets));
    auto others = this->shared.targetsOfOtherTrials(fingerprint, targets);
    return { std::move(allButOwn), std::move(others) };
}

void CrashGuard::started(std::uint64_t fingerprint, const base::TargetId& target)
{
    if (this->isSuspect(fingerprint))
        this->running[target].push_back(fingerprint);
}

void CrashGuard::finished(std::uint64_t fingerprint, const base::TargetId& target)
{
    const auto found = this->running.find(target);
    if (found == this->running.end())
        return;
    auto& fingerprints = found->second;
    if (const auto item = std::ranges::find(fingerprints, fingerprint); item != fingerprints.end())
        fingerprints.erase(item);
    if (fingerprints.empty())
        this->running.erase(found);
}

void CrashGuard::recordStrike(
    std::uint64_t fingerprint, const base::TargetId& target, base::Incarnation incarnation, bool isTrial)
{
    this->shared.recordCrash(fingerprint, target, incarnation, isTrial);
    this->sendNews();
}

void CrashGuard::recordCrash(const RequestFeatures& features, const CrashedRun& run)
{
    const bool isTrialOfFeature = run.trial && run.trial->isOfFeature;
    this->recordStrike(features.fingerprint, run.target, run.incarnation, run.trial && !isTrialOfFeature);
    if (!run.targetEnded) {
        // A connection that was cut alone says nothing about the features.
        if (isTrialOfFeature)
            this->endTrial(*run.trial, TrialEnd::Undecided);
        return;
    }
    this->suspects.recordCrash(features.all, features.team, run.target, run.incarnation,
        isTrialOfFeature ? std::optional { run.trial->feature } : std::nullopt);
    this->sendNews();
}

void CrashGuard::recordRun(std::span<const suspect::Feature> features)
{
    this->suspects.recordRun(features);
    this->sendNews();
}

} // namespace chivewinch::gateway
