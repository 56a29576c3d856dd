#include "entry/bundle_feed.hpp"

#include "logging/event.hpp"

#include <utility>

namespace chivewinch::entry {

namespace internal {

std::string holderName(const EntryOptions& options, base::Incarnation incarnation)
{
    return options.instance + "/" + std::to_string(static_cast<std::uint64_t>(incarnation));
}

void logLease(lease::LeaseEvent event, base::FencingNumber number)
{
    logging::Event { "rollout_lease" }
        .field("change", lease::toString(event))
        .field("fencing", static_cast<std::uint64_t>(number))
        .info();
}

void logFailure(const std::string& source, const bundle::Error& error)
{
    logging::Event { "bundle_fetch_failed" }
        .field("source", source)
        .field("code", bundle::toString(error.code))
        .field("detail", error.detail)
        .warning();
}

} // namespace internal

BundleFeed::BundleFeed(const Dependencies& dependencies, const bundle::TrustedKeys& keys, InForce onInForce)
    : options { dependencies.options }
    , peers { dependencies.peers }
    , replica { keys }
    , operations { dependencies.store.tables(), dependencies.store.objects(), dependencies.random, keys,
        dependencies.options.instance }
    , rolloutLease { std::string { bundle::rolloutLease },
        internal::holderName(dependencies.options, dependencies.incarnation), dependencies.store.tables(),
        dependencies.scheduler, dependencies.clock, dependencies.random, &internal::logLease }
    , rollout { this->operations, this->rolloutLease }
    , distributor { { .id = dependencies.options.instance, .zone = dependencies.options.zone }, this->replica,
        dependencies.store.tables(), dependencies.store.objects(), dependencies.peers, dependencies.scheduler,
        dependencies.clock, dependencies.random, std::move(onInForce), &internal::logFailure }
{
}

void BundleFeed::start()
{
    this->onMembership();
    this->distributor.start();
}

void BundleFeed::stop()
{
    this->stopped = true;
    this->rolloutLease.stop();
}

void BundleFeed::updateLease()
{
    const bool wanted = this->distributor.isReader() && !this->stopped;
    if (wanted == this->competing)
        return;
    this->competing = wanted;
    if (wanted)
        this->rolloutLease.start();
    else
        this->rolloutLease.stop();
}

void BundleFeed::onVersion(const std::string& peer, const base::ZoneId& zone, base::BundleVersion version)
{
    this->distributor.onHeartbeat(peer, zone, version);
}

void BundleFeed::onMembership()
{
    auto live = this->peers.liveIn(this->options.zone);
    live.push_back(this->options.instance);
    this->distributor.setLiveEntries(std::move(live));
    this->updateLease();
}

void BundleFeed::advanceRollout() { this->rollout.update(this->replica.version(), this->peers.versions()); }

} // namespace chivewinch::entry
