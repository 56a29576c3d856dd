#include "suspect/shared_strikes.hpp"

#include "base/hash.hpp"
#include "suspect/crash_overlap.hpp"

#include <algorithm>
#include <utility>

namespace chivewinch::suspect {

namespace internal {

constexpr std::size_t trialGranters = 2;
constexpr std::size_t keepers = 2;

// Longest difference of the pause between comparisons from its mean, as a share of the mean.
constexpr double pauseVariation = 0.2;

bool contains(const std::vector<std::string>& names, const std::string& name)
{
    return std::ranges::find(names, name) != names.end();
}

} // namespace internal

SharedStrikes::SharedStrikes(
    const base::Clock& clock, base::RandomSource& random, StrikeTable& table, SharedStrikesOptions given)
    : clock { clock }
    , random { random }
    , table { table }
    , options { std::move(given) }
    , startedAt { clock.now() }
{
}

bool SharedStrikes::isReachable(const std::string& instance) const
{
    const auto found = this->unreachableUntil.find(instance);
    return found == this->unreachableUntil.end() || this->clock.now() >= found->second;
}

std::vector<quota::Member> SharedStrikes::reachableMembers() const
{
    std::vector<quota::Member> reachable;
    for (const auto& member : this->members)
        if (this->isReachable(member.instance))
            reachable.push_back(member);
    return reachable;
}

std::vector<std::string> SharedStrikes::chooseMembers(std::uint64_t fingerprint, std::size_t count) const
{
    return quota::chooseOwners(std::to_string(fingerprint), {}, this->reachableMembers(), count);
}

std::vector<quota::Member> SharedStrikes::reachablePeers() const
{
    auto reachable = this->reachableMembers();
    std::erase_if(reachable, [this](const auto& member) { return member.instance == this->options.instance; });
    return reachable;
}

std::optional<std::string> SharedStrikes::randomPeer()
{
    const auto reachable = this->reachablePeers();
    if (reachable.empty())
        return std::nullopt;
    return reachable[this->random.below(reachable.size())].instance;
}

std::optional<std::string> SharedStrikes::comparePeer()
{
    // Each process has others, so that all of them are connected through a few steps.
    const auto peers
        = quota::chooseOwners(this->options.instance, {}, this->reachablePeers(), this->options.comparePeers);
    if (peers.empty())
        return std::nullopt;
    return peers[this->random.below(peers.size())];
}

std::uint64_t SharedStrikes::digest() const
{
    if (this->digestVersion != this->table.version()) {
        this->knownDigest = this->table.digest(this->options.crashesToSpread);
        this->digestVersion = this->table.version();
    }
    return this->knownDigest;
}

void SharedStrikes::recordCrash(
    std::uint64_t fingerprint, const base::TargetId& target, base::Incarnation incarnation, bool isTrial)
{
    this->recordChanges(this->table.recordCrash(target, incarnation, { &fingerprint, 1 }, isTrial), true);
}

void SharedStrikes::recordCompletion(std::uint64_t fingerprint)
{
    this->recordChanges(this->table.recordCompletion(fingerprint), true);
}

void SharedStrikes::recordChanges(std::span<const Strike> changed, bool isOwn)
{
    if (!this->options.share || this->members.size() < 2)
        return;
    for (const auto& strike : changed) {
        if (this->table.knownCrashes(strike.fingerprint) >= this->options.crashesToSpread)
            this->spreadFingerprint(strike.fingerprint);
        else if (isOwn)
            this->addCollectors(this->pending[strike], strike.fingerprint);
    }
    this->forgetDonePending();
}

void SharedStrikes::spreadFingerprint(std::uint64_t fingerprint)
{
    for (const auto& report : this->table.reportsOf(fingerprint)) {
        const auto known = this->spread.find(report.strike);
        if (known != this->spread.end() && known->second == report.cleared)
            continue;
        this->spread.insert_or_assign(report.strike, report.cleared);
        auto& item = this->pending[report.strike];
        item.collectors.clear();
        item.repeats = this->options.repeats;
    }
}

void SharedStrikes::addCollectors(Pending& item, std::uint64_t fingerprint) const
{
    for (auto& collector : this->chooseMembers(fingerprint, this->options.collectors)) {
        if (collector != this->options.instance && !internal::contains(item.told, collector)
            && !internal::contains(item.collectors, collector))
            item.collectors.push_back(std::move(collector));
    }
}

void SharedStrikes::forgetDonePending()
{
    std::erase_if(
        this->pending, [](const auto& item) { return item.second.collectors.empty() && item.second.repeats == 0; });
}

void SharedStrikes::forgetExpired()
{
    std::erase_if(this->spread, [this](const auto& item) { return !this->table.find(item.first); });
    std::erase_if(
        this->trials, [this](const auto& item) { return this->table.verdict(item.first) != Verdict::Blocked; });
    std::erase_if(this->unreachableUntil, [this](const auto& item) { return this->clock.now() >= item.second; });
}

std::optional<SharedStrikes::Outgoing> SharedStrikes::next()
{
    if (!this->options.share)
        return std::nullopt;
    auto outgoing = this->nextForCollector();
    if (!outgoing)
        outgoing = this->nextRepeat();
    if (!outgoing)
        outgoing = this->nextComparisonMessage();
    this->forgetDonePending();
    if (!outgoing)
        return std::nullopt;
    outgoing->message.digest = this->digest();
    outgoing->message.wantsAll = !this->hasCompared || this->differences >= this->options.differencesToRequestAll;
    return outgoing;
}

std::optional<SharedStrikes::Outgoing> SharedStrikes::nextForCollector()
{
    Outgoing outgoing { .isForCollector = true };
    for (auto& [strike, item] : this->pending) {
        if (outgoing.message.strikes.size() >= this->options.maxStrikes)
            break;
        const auto wanted = std::ranges::find_if(item.collectors, [this, &outgoing](const auto& collector) {
            return outgoing.instance.empty() ? this->isReachable(collector) : collector == outgoing.instance;
        });
        if (wanted == item.collectors.end())
            continue;
        const auto report = this->table.find(strike);
        if (!report) {
            item.collectors.clear();
            continue;
        }
        outgoing.instance = *wanted;
        outgoing.message.strikes.push_back(*report);
        item.collectors.erase(wanted);
    }
    return outgoing.message.strikes.empty() ? std::nullopt : std::optional { std::move(outgoing) };
}

std::optional<SharedStrikes::Outgoing> SharedStrikes::nextRepeat()
{
    Outgoing outgoing;
    for (auto& [strike, item] : this->pending) {
        if (outgoing.message.strikes.size() >= this->options.maxStrikes)
            break;
        if (item.repeats == 0)
            continue;
        const auto report = this->table.find(strike);
        if (!report) {
            item.repeats = 0;
            continue;
        }
        outgoing.message.strikes.push_back(*report);
    }
    if (outgoing.message.strikes.empty())
        return std::nullopt;
    auto peer = this->randomPeer();
    if (!peer)
        return std::nullopt;
    for (const auto& report : outgoing.message.strikes)
        --this->pending[report.strike].repeats;
    outgoing.instance = std::move(*peer);
    return outgoing;
}

std::optional<SharedStrikes::Outgoing> SharedStrikes::nextComparisonMessage()
{
    if (this->clock.now() < this->nextComparison)
        return std::nullopt;
    this->forgetExpired();
    const auto factor = 1 + internal::pauseVariation * (2 * this->random.unit() - 1);
    this->nextComparison = this->clock.now()
        + std::chrono::round<std::chrono::milliseconds>(
            std::chrono::duration<double> { this->options.comparePause } * factor);
    auto peer = this->comparePeer();
    if (!peer)
        return std::nullopt;
    return Outgoing { .instance = std::move(*peer) };
}

void SharedStrikes::delivered(const Outgoing& outgoing, const StrikeMessage& answer)
{
    if (outgoing.isForCollector) {
        for (const auto& report : outgoing.message.strikes) {
            if (const auto found = this->pending.find(report.strike); found != this->pending.end())
                found->second.told.push_back(outgoing.instance);
        }
    }
    this->recordChanges(this->table.merge(answer.strikes), false);
    this->hasCompared = true;
    const bool isEqual = answer.digest == this->digest();
    this->differences = isEqual || outgoing.message.wantsAll ? 0 : this->differences + 1;
}

void SharedStrikes::failed(const Outgoing& outgoing)
{
    this->unreachableUntil[outgoing.instance] = this->clock.now() + this->options.unreachableTime;
    for (const auto& report : outgoing.message.strikes) {
        auto& item = this->pending[report.strike];
        if (outgoing.isForCollector)
            this->addCollectors(item, report.strike.fingerprint);
        else
            ++item.repeats;
    }
    this->forgetDonePending();
}

StrikeMessage SharedStrikes::answer(const StrikeMessage& message)
{
    this->recordChanges(this->table.merge(message.strikes), false);
    StrikeMessage reply { .digest = this->digest() };
    if (message.wantsAll && reply.digest != message.digest)
        reply.strikes = this->sharedStrikes();
    if (message.trial && message.completesTrial) {
        this->completeTrial(*message.trial);
    } else if (message.trial && message.returnsTrial) {
        this->returnTrial(*message.trial);
    } else if (message.trial) {
        reply.grantsTrial = this->grantTrial(*message.trial);
        for (auto& report : this->table.reportsOf(*message.trial))
            reply.strikes.push_back(std::move(report));
    }
    return reply;
}

std::optional<base::SteadyTime> SharedStrikes::trialAt(std::uint64_t fingerprint) const
{
    const auto last = this->table.lastStrike(fingerprint);
    if (!last)
        return this->clock.now();
    const auto failed = this->table.failedTrials(fingerprint);
    if (failed >= this->options.trialDelays.size() || this->lateFailures(fingerprint) >= this->options.maxLateFailures)
        return std::nullopt;
    if (this->options.ambiguousTrialDelay && CrashOverlap { this->table, fingerprint }.unshared() <= 1)
        return *last + *this->options.ambiguousTrialDelay;
    return *last + this->options.trialDelays[failed];
}

std::size_t SharedStrikes::lateFailures(std::uint64_t fingerprint) const
{
    const auto blocked = this->table.firstBlocked(fingerprint);
    return blocked ? this->table.failedTrials(fingerprint, *blocked + this->options.learnTime) : 0;
}

bool SharedStrikes::isKeeper(std::uint64_t fingerprint) const
{
    return internal::contains(this->chooseMembers(fingerprint, internal::keepers), this->options.instance);
}

std::vector<std::string> SharedStrikes::trialGranters(std::uint64_t fingerprint) const
{
    const auto key = std::to_string(fingerprint);
    auto ordered = quota::chooseOwners(key, {}, this->members, 1);
    for (auto& granter : quota::chooseOwners(key, {}, this->members, internal::trialGranters))
        if (ordered.size() < internal::trialGranters && !internal::contains(ordered, granter))
            ordered.push_back(std::move(granter));
    return ordered;
}

std::size_t SharedStrikes::allowedFailures(std::uint64_t fingerprint) const
{
    const auto subtract = [](std::size_t from, std::size_t value) { return from - std::min(from, value); };
    const auto left = subtract(this->options.trialDelays.size(), this->table.failedTrials(fingerprint));
    const auto blocked = this->table.firstBlocked(fingerprint).value_or(this->clock.now());
    if (this->clock.now() < blocked + this->options.learnTime)
        return left;
    const auto granters = this->trialGranters(fingerprint);
    const bool isFirst = !granters.empty() && granters.front() == this->options.instance;
    const auto late = subtract(this->options.maxLateFailures, isFirst ? 0 : 1);
    return std::min(left, subtract(late, this->lateFailures(fingerprint)));
}

std::optional<base::TargetId> SharedStrikes::trialTarget(
    std::uint64_t fingerprint, std::span<const base::TargetId> targets) const
{
    const auto key = base::combineHash(fingerprint, this->table.failedTrials(fingerprint));
    const auto rank = [key](const base::TargetId& target) { return base::combineHash(key, base::hash64(target)); };
    const auto chosen = std::ranges::max_element(targets, {}, rank);
    return chosen == targets.end() ? std::nullopt : std::optional { *chosen };
}

std::vector<base::TargetId> SharedStrikes::targetsOfOtherTrials(
    std::uint64_t fingerprint, std::span<const base::TargetId> targets) const
{
    std::vector<base::TargetId> chosen;
    for (const auto other : this->table.blockedFingerprints()) {
        if (other == fingerprint || !this->trialAt(other))
            continue;
        if (auto target = this->trialTarget(other, targets))
            chosen.push_back(std::move(*target));
    }
    return chosen;
}

StrikeMessage SharedStrikes::trialRequest(std::uint64_t fingerprint)
{
    return { .digest = this->digest(), .strikes = this->table.reportsOf(fingerprint), .trial = fingerprint };
}

void SharedStrikes::updateTrials(std::uint64_t fingerprint, Trials& item) const
{
    const auto now = this->clock.now();
    std::erase_if(item.running, [&](const auto& at) { return now - at >= this->options.trialTime; });
    const auto failed = this->table.failedTrials(fingerprint);
    if (failed <= item.failed)
        return;
    // Only the strike of a trial shows that it has ended; other runs of the fingerprint may have crashed meanwhile.
    const auto ended = std::min(failed - item.failed, item.running.size());
    item.running.erase(item.running.begin(), item.running.begin() + static_cast<std::ptrdiff_t>(ended));
    item.failed = failed;
    item.completed = 0;
}

bool SharedStrikes::grantTrial(std::uint64_t fingerprint)
{
    const auto now = this->clock.now();
    const auto due = this->trialAt(fingerprint);
    if (!due || now < *due)
        return false;
    // The process may have granted a trial before it was restarted.
    if (now - this->startedAt < this->options.trialTime && this->table.wasBlocked(fingerprint, this->startedAt))
        return false;
    auto& item = this->trials[fingerprint];
    this->updateTrials(fingerprint, item);
    // All running trials can fail.
    const auto parallel
        = std::min(1 + item.completed / this->options.trialsPerParallel, this->allowedFailures(fingerprint));
    if (item.running.size() >= parallel)
        return false;
    item.running.push_back(now);
    return true;
}

void SharedStrikes::returnTrial(std::uint64_t fingerprint)
{
    const auto found = this->trials.find(fingerprint);
    if (found != this->trials.end() && !found->second.running.empty())
        found->second.running.erase(found->second.running.begin());
}

void SharedStrikes::completeTrial(std::uint64_t fingerprint)
{
    const auto found = this->trials.find(fingerprint);
    if (found == this->trials.end())
        return;
    this->returnTrial(fingerprint);
    this->updateTrials(fingerprint, found->second);
    if (++found->second.completed < this->options.trialsToClear)
        return;
    this->trials.erase(found);
    this->recordCompletion(fingerprint);
}

} // namespace chivewinch::suspect
