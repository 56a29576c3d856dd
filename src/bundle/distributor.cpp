#include "bundle/distributor.hpp"

#include "bundle/readers.hpp"

#include <algorithm>
#include <utility>

namespace chivewinch::bundle {

Distributor::Distributor(ProcessIdentity self, Replica& replica, store::TableService& tables,
    store::ObjectStore& objects, PeerChannel& peers, store::Scheduler& scheduler, const base::Clock& clock,
    base::RandomSource& random, InForceCallback onInForce, FailureCallback onFailure, DistributorOptions options)
    : self { std::move(self) }
    , replica { replica }
    , tables { tables }
    , contents { objects }
    , channel { peers }
    , scheduler { scheduler }
    , clock { clock }
    , random { random }
    , onInForce { std::move(onInForce) }
    , onFailure { std::move(onFailure) }
    , options { options }
    , reader { !options.usePeers }
{
}

Distributor::~Distributor()
{
    if (this->pollTimer)
        this->scheduler.cancel(*this->pollTimer);
    if (this->fetchTimer)
        this->scheduler.cancel(*this->fetchTimer);
}

/** Wraps a callback so that it does nothing once this object is destroyed. */
template <typename Function> auto Distributor::guarded(Function function)
{
    return [weak = std::weak_ptr { this->alive }, function = std::move(function)](auto&&... arguments) {
        if (weak.lock())
            function(std::forward<decltype(arguments)>(arguments)...);
    };
}

void Distributor::start()
{
    if (std::exchange(this->started, true))
        return;
    this->startedAt = this->clock.now();
    // Heartbeats that arrive during the startup grace period are evaluated when it ends.
    this->scheduler.after(this->options.startupGracePeriod, this->guarded([this] { this->fetchFromPeer(); }));
    this->poll();
}

void Distributor::setLiveEntries(std::vector<std::string> entries)
{
    const auto readers = selectReaders(this->self.zone, std::move(entries), this->options.readersPerZone);
    const bool now = !this->options.usePeers || std::ranges::find(readers, this->self.id) != readers.end();
    if (now && !std::exchange(this->reader, now) && this->started && !this->polling)
        this->schedulePoll(this->pollDelay());
    this->reader = now;
}

std::chrono::nanoseconds Distributor::pollDelay()
{
    const auto interval = this->reader ? this->options.pollInterval : this->options.fallbackPollInterval;
    // A random delay of 90% to 100% of the interval spreads the polls of processes that started together.
    const auto tenth = interval / 10;
    return interval - std::chrono::nanoseconds { this->random.below(static_cast<std::uint64_t>(tenth.count())) };
}

void Distributor::schedulePoll(std::chrono::nanoseconds delay)
{
    if (this->pollTimer)
        this->scheduler.cancel(*this->pollTimer);
    this->pollTimer = this->scheduler.after(delay, this->guarded([this] {
        this->pollTimer.reset();
        this->poll();
    }));
}

void Distributor::poll()
{
    if (std::exchange(this->polling, true))
        return;
    ++this->counts.polls;
    this->tables.get({ headKey() },
        this->guarded([this](const std::optional<std::vector<store::Row>>& rows, const store::Error& error) {
            this->polling = false;
            if (rows) {
                this->onHead(rows->front());
            } else {
                ++this->counts.failedPolls;
                this->onFailure("store", { .code = ErrorCode::StoreUnavailable, .detail = error.detail });
            }
            this->schedulePoll(this->pollDelay());
        }));
}

void Distributor::onHead(const store::Row& row)
{
    this->storeAnswered = true;
    const auto record = decodeHead(row.value);
    if (!record || !record->rolled || record->rolled->version <= this->replica.version())
        return;
    if (!this->head || record->rolled->version > this->head->version)
        this->head = record->rolled;
    if (this->reader) {
        this->fetchFromStore();
        return;
    }
    this->fetchFromPeer();
    this->scheduler.after(this->options.storeFetchDelay, this->guarded([this] { this->fetchFromStore(); }));
}

void Distributor::fetchFromStore()
{
    if (this->fetchingFromStore || !this->head || this->head->version <= this->replica.version())
        return;
    this->fetchingFromStore = true;
    if (!this->replica.accepts(*this->head))
        this->endStoreFetch(false, this->replica.lastReason());
    else if (this->head->content == this->replica.content())
        this->endStoreFetch(this->replica.apply(*this->head), this->replica.lastReason());
    else if (this->replica.snapshot())
        this->fetchDelta();
    else
        this->fetchParts(*this->head);
}

void Distributor::fetchDelta()
{
    const auto proof = *this->head;
    this->contents.delta(this->replica.content(), proof.content,
        this->guarded([this, proof](const std::optional<Delta>& delta, const Error&) {
            // If there is no usable delta, e.g. after several missed versions, fetch the parts whose hashes differ.
            if (delta && this->replica.apply(proof, *delta))
                this->endStoreFetch(true, {});
            else
                this->fetchParts(proof);
        }));
}

void Distributor::fetchParts(const Proof& proof)
{
    this->contents.manifest(
        proof.content, this->guarded([this, proof](const std::optional<PartHashes>& hashes, const Error& error) {
            if (hashes)
                this->collectParts(proof, *hashes);
            else
                this->endStoreFetch(false, error);
        }));
}

void Distributor::collectParts(const Proof& proof, const PartHashes& hashes)
{
    PartHashes missing;
    auto present = presentParts(this->replica, hashes, missing);
    std::erase_if(missing, [&](const auto& part) {
        const auto found = this->downloadedParts.find(part.second);
        return found != this->downloadedParts.end() && present.emplace(part.first, found->second).second;
    });
    this->contents.parts(std::move(missing),
        this->guarded(
            [this, proof, present = std::move(present)](const std::optional<Parts>& found, const Error& error) {
                if (!found) {
                    this->endStoreFetch(false, error);
                    return;
                }
                auto parts = present;
                parts.insert(found->begin(), found->end());
                this->endStoreFetch(this->replica.apply(proof, std::move(parts)), this->replica.lastReason());
            }),
        this->guarded([this, hashes](const std::string& name, const PartRecords& records) {
            this->downloadedParts.insert_or_assign(hashes.at(name), records);
        }));
}

void Distributor::endStoreFetch(bool applied, const Error& error)
{
    this->fetchingFromStore = false;
    if (applied) {
        ++this->counts.fromStore;
        this->announceInForce();
        return;
    }
    if (error.code == ErrorCode::Older)
        return; // a peer delivered the version first
    ++this->counts.failedStoreFetches;
    this->onFailure("store", error);
    this->fetchFromPeer();
}

void Distributor::announceInForce()
{
    this->downloadedParts.clear();
    this->onInForce(this->replica.snapshot());
    this->channel.announce(this->replica.version());
    this->fetchFromPeer();
}

} // namespace chivewinch::bundle
