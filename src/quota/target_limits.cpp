#include "quota/target_limits.hpp"

#include "base/hash.hpp"

#include <algorithm>
#include <limits>
#include <set>
#include <tuple>

namespace chivewinch::quota {

namespace internal {

// Lower limits are raised to this rate: the end of a limit shows only in an answer to a request.
constexpr double minRate = 1.0 / 60;

// Time for which the end of a limit is passed on.
constexpr std::chrono::seconds endedRetention { 10 };

// A request that found the target's limit used up counts as demand for this time.
constexpr std::chrono::milliseconds demandLifetime { 1'000 };
constexpr std::uint32_t minDemand = 2;

// An owner without requests of its own for this time lends to any process.
constexpr std::chrono::seconds idleTime { 5 };

// Longest time to an estimated opening; longer ones are no use to a caller.
constexpr double maxEstimateSeconds = 3'600;

// Longest difference of a pause between queries from its mean, as a share of the mean.
constexpr double pauseVariation = 0.2;

double rateOf(double limit) noexcept { return std::max(limit, minRate); }

std::chrono::milliseconds wholeMilliseconds(std::chrono::nanoseconds time)
{
    return std::chrono::ceil<std::chrono::milliseconds>(std::max(time, std::chrono::nanoseconds { 0 }));
}

bool contains(const std::vector<std::string>& names, const std::string& name)
{
    return std::ranges::find(names, name) != names.end();
}

} // namespace internal

TargetLimits::TargetLimits(TargetLimitsOptions given)
    : options { std::move(given) }
    , owners { this->options.instance, this->options.settleTime }
    , cold { this->owners, this->options.divideLimits }
    , queries { base::hash64(this->options.instance) % 1'024 }
{
}

std::chrono::milliseconds TargetLimits::queryPause(base::RandomSource& random)
{
    const auto factor = 1 + internal::pauseVariation * (2 * random.unit() - 1);
    return std::chrono::round<std::chrono::milliseconds>(std::chrono::duration<double> { queryInterval } * factor);
}

void TargetLimits::setMembers(std::vector<Member> newMembers, base::SteadyTime now)
{
    if (!this->owners.setMembers(std::move(newMembers), now))
        return;
    this->refreshAll(now);
    this->cold.refresh(now);
}

void TargetLimits::setTargets(std::map<base::TargetId, LimitedTarget> listed, base::SteadyTime now)
{
    this->targets = std::move(listed);
    std::map<base::TargetId, base::Incarnation> incarnations;
    for (const auto& [id, target] : this->targets)
        incarnations.emplace(id, target.incarnation);
    this->statements.update(incarnations, now);
    this->refreshAll(now);
    this->cold.setTargets(this->targets, now);
}

LimitChange TargetLimits::observe(const base::TargetId& target, base::Incarnation incarnation,
    std::optional<double> limit, base::SteadyTime sentAt, base::SteadyTime now)
{
    const auto listed = this->targets.find(target);
    if (listed != this->targets.end() && incarnation < listed->second.incarnation)
        return LimitChange::None;
    const auto change = this->statements.observe(target, incarnation, limit, sentAt, now);
    if (change != LimitChange::None)
        this->refresh(target, now);
    return change;
}

void TargetLimits::merge(const LimitReport& report, base::SteadyTime reportedAt, base::SteadyTime now)
{
    const auto listed = this->targets.find(report.target);
    if (listed == this->targets.end() || listed->second.incarnation != report.incarnation)
        return;
    const Statement statement { report.incarnation, report.limit, reportedAt - report.sentAge,
        reportedAt - report.observedAge };
    if (this->statements.merge(report.target, statement) != LimitChange::None)
        this->refresh(report.target, now);
}

void TargetLimits::refreshAll(base::SteadyTime now)
{
    std::vector<base::TargetId> all;
    for (const auto& [target, share] : this->shares)
        all.push_back(target);
    for (const auto& target : all)
        this->refresh(target, now);
}

void TargetLimits::refresh(const base::TargetId& target, base::SteadyTime now)
{
    const auto* statement = this->statements.find(target);
    if (statement == nullptr) {
        if (this->shares.erase(target) > 0)
            this->changes.push_back({ .target = target });
        return;
    }
    auto& share = this->shares[target];
    const auto before = std::tuple { share.limit, share.owners.size(), share.isOwner };
    share.limit = statement->limit;
    if (share.limit) {
        const auto listed = this->targets.find(target);
        const auto zone = listed == this->targets.end() ? base::ZoneId {} : listed->second.zone;
        const auto count = this->maxOwners(*share.limit);
        share.owners = this->owners.of(target, zone, count);
        share.isOwner = this->owners.isOwner(share.owners);
        share.ownerFrom = this->owners.usableFrom(target, zone, count, true);
        if (share.isOwner) {
            const auto divisor = this->options.divideLimits ? static_cast<double>(share.owners.size()) : 1.0;
            const auto rate = internal::rateOf(*share.limit) / divisor;
            share.bucket.configure(rate, std::max(rate, 1.0), now);
        }
    }
    if (before != std::tuple { share.limit, share.owners.size(), share.isOwner })
        this->changes.push_back({ target, share.limit, share.owners.size(), share.isOwner });
}

std::size_t TargetLimits::maxOwners(double limit) const noexcept
{
    return this->options.divideLimits ? ownerCount(limit) : std::numeric_limits<std::size_t>::max();
}

TargetLimits::Share* TargetLimits::findLimited(const base::TargetId& target)
{
    const auto found = this->shares.find(target);
    return found == this->shares.end() || !found->second.limit ? nullptr : &found->second;
}

const TargetLimits::Share* TargetLimits::findLimited(const base::TargetId& target) const
{
    const auto found = this->shares.find(target);
    return found == this->shares.end() || !found->second.limit ? nullptr : &found->second;
}

bool TargetLimits::isLimited(const base::TargetId& target) const
{
    return this->findLimited(target) != nullptr || this->cold.isLimited(target);
}

bool TargetLimits::hasOwnToken(const Share& share, base::SteadyTime now) noexcept
{
    return share.isOwner && now >= share.ownerFrom && share.bucket.hasToken(now);
}

bool TargetLimits::mayStart(const base::TargetId& target, base::SteadyTime now)
{
    return this->cold.mayStart(target, now) && this->mayStartByStatement(target, now);
}

bool TargetLimits::mayStartByStatement(const base::TargetId& target, base::SteadyTime now)
{
    auto* share = this->findLimited(target);
    if (share == nullptr)
        return true;
    share->askedAt = now;
    if (now < share->permitUntil || hasOwnToken(*share, now))
        return true;
    if (share->blockedAt[0] != now)
        share->blockedAt = { now, share->blockedAt[0] };
    return false;
}

void TargetLimits::recordStart(const base::TargetId& target, base::SteadyTime now)
{
    this->cold.recordStart(target, now);
    auto* share = this->findLimited(target);
    if (share == nullptr)
        return;
    if (now < share->permitUntil)
        share->permitUntil = {};
    else if (hasOwnToken(*share, now))
        (void)share->bucket.take(now);
}

std::optional<Opening> TargetLimits::opening(
    const base::TargetId& target, std::size_t index, base::SteadyTime now) const
{
    const auto stated = this->openingByStatement(target, index, now);
    const auto warm = this->cold.opening(target, index, now);
    if (!stated || !warm)
        return stated ? stated : warm;
    return Opening { std::max(stated->at, warm->at), stated->isOwn && warm->isOwn };
}

std::optional<Opening> TargetLimits::openingByStatement(
    const base::TargetId& target, std::size_t index, base::SteadyTime now) const
{
    const auto* share = this->findLimited(target);
    if (share == nullptr)
        return std::nullopt;
    if (share->isOwner)
        return Opening { share->bucket.availableAt(index, std::max(now, share->ownerFrom)), true };
    if (index == 0 && now < share->permitUntil)
        return Opening { now, true };
    const auto seconds
        = std::min(static_cast<double>(index + 1) / internal::rateOf(*share->limit), internal::maxEstimateSeconds);
    return Opening { std::max(now, share->opensAt)
            + std::chrono::ceil<base::SteadyTime::duration>(std::chrono::duration<double> { seconds }),
        false };
}

LimitReport TargetLimits::report(const base::TargetId& target, base::SteadyTime now) const
{
    const auto* statement = this->statements.find(target);
    return { target, statement->incarnation, statement->limit, internal::wholeMilliseconds(now - statement->sentAt),
        internal::wholeMilliseconds(now - statement->observedAt) };
}

std::optional<std::pair<std::string, LimitQuery>> TargetLimits::nextQuery(base::SteadyTime now)
{
    std::set<std::string> owners;
    std::vector<base::TargetId> reported;
    for (const auto& [target, share] : this->shares) {
        const auto* statement = this->statements.find(target);
        if (!statement->limit && now - statement->observedAt >= internal::endedRetention)
            continue;
        reported.push_back(target);
        owners.insert(share.owners.begin(), share.owners.end());
    }
    owners.erase(this->options.instance);
    if (owners.empty())
        return std::nullopt;
    const auto owner = *std::next(owners.begin(), static_cast<std::ptrdiff_t>(this->queries++ % owners.size()));
    LimitQuery query;
    for (const auto& target : reported) {
        const auto& share = this->shares.at(target);
        if (!internal::contains(share.owners, owner))
            continue;
        query.items.push_back({ .report = this->report(target, now), .demand = demandOf(share, now) });
    }
    return std::pair { owner, std::move(query) };
}

std::uint32_t TargetLimits::demandOf(const Share& share, base::SteadyTime now)
{
    if (!share.limit || share.isOwner)
        return 0;
    return static_cast<std::uint32_t>(std::ranges::count_if(
        share.blockedAt, [now](const auto& time) { return now - time < internal::demandLifetime; }));
}

bool TargetLimits::lend(Share& share, std::uint32_t demand, base::SteadyTime now)
{
    // A permit expires soon, so a process with few requests would leave it unused.
    const bool isUseful = demand >= internal::minDemand || (demand > 0 && now - share.askedAt >= internal::idleTime);
    return isUseful && hasOwnToken(share, now) && share.bucket.take(now);
}

void TargetLimits::advance(base::SteadyTime now)
{
    this->cold.advance(now);
    if (now - this->advancedAt > maxStall)
        this->stalledUntil = now + maxStall;
    this->advancedAt = now;
}

LimitAnswer TargetLimits::answer(const LimitQuery& query, base::SteadyTime now)
{
    LimitAnswer answer;
    if (now - this->advancedAt > maxStall || now < this->stalledUntil)
        return answer;
    for (const auto& item : query.items) {
        this->merge(item.report, now, now);
        const auto* statement = this->statements.find(item.report.target);
        if (statement == nullptr || statement->incarnation != item.report.incarnation)
            continue;
        LimitAnswer::Item reply { .report = this->report(item.report.target, now) };
        if (auto* share = this->findLimited(item.report.target); share != nullptr && share->isOwner) {
            reply.hasPermit = lend(*share, item.demand, now);
            const auto opensAt = share->bucket.availableAt(0, std::max(now, share->ownerFrom));
            reply.opensIn = internal::wholeMilliseconds(opensAt - now);
        }
        answer.items.push_back(std::move(reply));
    }
    return answer;
}

void TargetLimits::apply(const LimitAnswer& answer, base::SteadyTime sentAt, base::SteadyTime now)
{
    for (const auto& item : answer.items) {
        // The ages refer to the time of the answer, which is not before the time of the query.
        this->merge(item.report, sentAt, now);
        auto* share = this->findLimited(item.report.target);
        if (share == nullptr)
            continue;
        const auto* statement = this->statements.find(item.report.target);
        if (statement->incarnation != item.report.incarnation)
            continue;
        if (item.hasPermit)
            share->permitUntil = sentAt + permitLifetime;
        const auto opensAt = now + item.opensIn;
        share->opensAt = share->opensAt > now ? std::min(share->opensAt, opensAt) : opensAt;
    }
}

void TargetLimits::dropPermits() noexcept
{
    for (auto& [target, share] : this->shares)
        share.permitUntil = {};
}

} // namespace chivewinch::quota
