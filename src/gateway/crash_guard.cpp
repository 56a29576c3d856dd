#include "gateway/crash_guard.hpp"

#include "logging/event.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <utility>

namespace chivewinch::gateway {

namespace asio = boost::asio;

namespace internal {

suspect::StrikeOptions withCrashSeed(suspect::StrikeOptions options, base::RandomSource& random)
{
    options.crashSeed = random.next();
    return options;
}

} // namespace internal

CrashGuard::CrashGuard(const asio::any_io_executor& executor, const base::Clock& clock, base::RandomSource& random,
    const suspect::StrikeOptions& strikes, suspect::SharedStrikesOptions sharing, relay::Relay* relay)
    : executor { executor }
    , clock { clock }
    , table { clock, internal::withCrashSeed(strikes, random) }
    , shared { clock, random, this->table, sharing }
    , strikeExpiry { strikes.expiry }
    , instance { std::move(sharing.instance) }
{
    if (relay != nullptr)
        this->exchange = std::make_unique<StrikeExchange>(executor, this->shared, *relay);
}

void CrashGuard::start()
{
    if (!this->exchange)
        return;
    for (std::size_t index = 0; index < this->exchange->senderCount(); ++index)
        asio::co_spawn(this->executor, this->exchange->runSender(index), asio::detached);
}

void CrashGuard::stop()
{
    if (this->exchange)
        this->exchange->stop();
}

void CrashGuard::sendNews()
{
    if (this->exchange && this->shared.hasNews())
        this->exchange->wake();
}

void CrashGuard::advance(base::SteadyTime now)
{
    for (const auto& run : this->silence.takeConfirmed(now)) {
        logging::Event { "target_silent" }
            .field("target", run.target)
            .field("fingerprint", suspect::fingerprintText(run.fingerprint))
            .field("ms", std::chrono::floor<std::chrono::milliseconds>(now - run.lastAnswer).count())
            .info();
        this->recordCrash(run.fingerprint, run.target, run.incarnation, run.isTrial);
    }
}

http::Task<CrashVerdict> CrashGuard::admit(std::uint64_t fingerprint, std::optional<Trial>& trial)
{
    if (!this->isBlocked(fingerprint))
        co_return CrashVerdict::Allowed;
    const auto due = this->shared.trialAt(fingerprint);
    if (!due || this->clock.now() < *due)
        co_return CrashVerdict::Blocked;
    std::optional<bool> isGranted;
    std::string answeredBy;
    for (const auto& granter : this->shared.trialGranters(fingerprint)) {
        if (granter == this->instance)
            isGranted = this->shared.grantTrial(fingerprint);
        else if (this->exchange && this->shared.isReachable(granter))
            isGranted = co_await this->exchange->requestTrial(granter, fingerprint);
        if (isGranted) {
            answeredBy = granter;
            break;
        }
    }
    const bool isBlocked = this->isBlocked(fingerprint);
    logging::Event { "trial" }
        .field("fingerprint", suspect::fingerprintText(fingerprint))
        .field("granted", isGranted.value_or(false))
        .field("granter", answeredBy)
        .field("strikes", this->strikeCount(fingerprint))
        .field("failed", this->table.failedTrials(fingerprint))
        .info();
    if (isGranted.value_or(false)) {
        trial = Trial { .granter = std::move(answeredBy) };
        co_return CrashVerdict::Trial;
    }
    // The answer can show that the block was lifted elsewhere.
    co_return isBlocked ? CrashVerdict::Blocked : CrashVerdict::Allowed;
}

void CrashGuard::endTrial(std::uint64_t fingerprint, const Trial& trial, TrialEnd end)
{
    const bool isCompleted = end == TrialEnd::Completed;
    logging::Event { "trial_ended" }
        .field("fingerprint", suspect::fingerprintText(fingerprint))
        .field("completed", isCompleted)
        .field("granter", trial.granter)
        .info();
    if (trial.granter != this->instance) {
        asio::co_spawn(
            this->executor, this->exchange->endTrial(trial.granter, fingerprint, isCompleted), asio::detached);
        return;
    }
    if (isCompleted)
        this->shared.completeTrial(fingerprint);
    else
        this->shared.returnTrial(fingerprint);
    this->sendNews();
}

std::chrono::milliseconds CrashGuard::retryAfter(std::uint64_t fingerprint) const
{
    constexpr std::chrono::milliseconds shortest { 500 };
    const auto now = this->clock.now();
    const auto last = this->table.lastStrike(fingerprint).value_or(now);
    const auto due = this->shared.trialAt(fingerprint).value_or(last + this->strikeExpiry);
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

void CrashGuard::recordCrash(
    std::uint64_t fingerprint, const base::TargetId& target, base::Incarnation incarnation, bool isTrial)
{
    this->shared.recordCrash(fingerprint, target, incarnation, isTrial);
    this->sendNews();
}

} // namespace chivewinch::gateway
