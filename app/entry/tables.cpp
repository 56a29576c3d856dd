#include "entry/tables.hpp"

#include <algorithm>
#include <utility>

namespace chivewinch::entry {

namespace internal {

routing::RouterOptions routerOptions(const EntryOptions& options)
{
    routing::RouterOptions router;
    router.entry = options.instance;
    router.zone = options.zone;
    return router;
}

suspect::EntryGuardOptions guardOptions()
{
    suspect::EntryGuardOptions guard;
    // Restricting a request to a pair of targets by its fingerprint would override prefix affinity.
    guard.useCandidatePair = false;
    return guard;
}

std::vector<routing::PoolSpec> poolsOf(const bundle::Snapshot& snapshot, const base::ZoneId& zone)
{
    std::vector<routing::PoolSpec> pools;
    const auto add = [&](const std::string& name, const std::vector<const bundle::Target*>& targets) {
        routing::PoolSpec spec { .name = name, .targets = {} };
        spec.hasLocalTargets = std::ranges::any_of(targets, [&](const auto* target) { return target->zone == zone; });
        for (const auto* target : targets)
            spec.targets.push_back(target->id);
        pools.push_back(std::move(spec));
    };
    for (const auto& model : snapshot.bundle().models)
        add(model.id, snapshot.targetsByModel(model.id));
    for (const auto& service : snapshot.bundle().services)
        add(service.id, snapshot.targetsByService(service.id));
    return pools;
}

std::vector<limit::TeamLimit> limitsOf(const bundle::Snapshot& snapshot)
{
    std::vector<limit::TeamLimit> limits;
    limits.reserve(snapshot.bundle().teams.size());
    for (const auto& team : snapshot.bundle().teams) {
        limits.push_back({ .team = team.id,
            .requestsPerSecond = static_cast<double>(team.rate),
            .concurrency = static_cast<double>(team.concurrency) });
    }
    return limits;
}

} // namespace internal

Suspects::Suspects(const base::Clock& clock)
    : strikes { clock }
    , guard { clock, this->strikes, internal::guardOptions() }
    , lostAgents { clock }
{
}

Routing::Routing(const EntryOptions& options, base::RandomSource& random)
    : router { internal::routerOptions(options), random }
    , waiting { routing::QueueOptions {} }
{
}

Tables::Tables(const EntryOptions& options, const base::Clock& clock)
    : suspects { clock }
    , routing { options, this->random }
    , zone { options.zone }
    , random { base::entropySeed() }
{
}

std::shared_ptr<const bundle::Snapshot> Tables::snapshot()
{
    return this->inForce.with([](const auto& current) { return current; });
}

void Tables::applyBundle(std::shared_ptr<const bundle::Snapshot> next)
{
    const auto pools = internal::poolsOf(*next, this->zone);
    const auto teams = internal::limitsOf(*next);
    this->limits.with([&](Limits& limits) { limits.teams.setTeams(teams); });
    this->routing.with([&](Routing& routing) { routing.router.setPools(pools); });
    this->inForce.with([&next](auto& current) { current.swap(next); });
    this->routedVersion = 0;
}

void Tables::refreshTargets()
{
    std::uint64_t version = 0;
    const auto views = this->membership.with([&version](membership::TargetTable& table) {
        version = table.version();
        return table.snapshot();
    });
    if (this->routedVersion.exchange(version + 1) == version + 1)
        return;
    this->routing.with([&views](Routing& routing) { routing.router.setTargets(views); });
}

} // namespace chivewinch::entry
