#pragma once

#include "../support/fake_scheduler.hpp"
#include "../support/faulty_store.hpp"
#include "bundle/distributor.hpp"
#include "sample.hpp"
#include "store/memory_store.hpp"

#include <chrono>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace chivewinch::bundle::sample {

/** Requests that reached the store. */
struct StoreCounts {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t readBytes = 0;
};

class CountingTables final : public store::TableService {
public:
    CountingTables(store::TableService& next, StoreCounts& counts) noexcept
        : next { next }
        , counts { counts }
    {
    }

    void get(std::vector<store::RowKey> keys, GetCallback callback) override
    {
        ++this->counts.reads;
        this->next.get(std::move(keys), [this, callback](const auto& rows, const store::Error& error) {
            for (const auto& row : *rows)
                this->counts.readBytes += row.value.size();
            callback(rows, error);
        });
    }
    void scan(std::string table, std::string prefix, std::size_t limit, GetCallback callback) override
    {
        ++this->counts.reads;
        this->next.scan(std::move(table), std::move(prefix), limit, std::move(callback));
    }
    void transact(store::Transaction transaction, TransactCallback callback) override
    {
        ++this->counts.writes;
        this->next.transact(std::move(transaction), std::move(callback));
    }

private:
    store::TableService& next;
    StoreCounts& counts;
};

class CountingObjects final : public store::ObjectStore {
public:
    CountingObjects(store::ObjectStore& next, StoreCounts& counts) noexcept
        : next { next }
        , counts { counts }
    {
    }

    void putIfAbsent(std::string name, std::string bytes, PutCallback callback) override
    {
        ++this->counts.writes;
        this->next.putIfAbsent(std::move(name), std::move(bytes), std::move(callback));
    }
    void get(std::string name, GetCallback callback) override
    {
        ++this->counts.reads;
        this->next.get(std::move(name), [this, callback](const auto& object, const store::Error& error) {
            this->counts.readBytes += (*object).value_or("").size();
            callback(object, error);
        });
    }
    void list(std::string prefix, std::string startAfter, std::size_t limit, ListCallback callback) override
    {
        ++this->counts.reads;
        this->next.list(std::move(prefix), std::move(startAfter), limit, std::move(callback));
    }

private:
    store::ObjectStore& next;
    StoreCounts& counts;
};

/**
 * Simulates the store, the processes and the network between them. Processes send heartbeats every second, as in
 * membership.
 */
class Cluster {
public:
    struct Process final : PeerChannel {
        Process(Cluster& cluster, ProcessIdentity self, VersionGuardOptions guard, DistributorOptions options)
            : cluster { cluster }
            , self { self }
            , replica { trustedKeys(), guard }
            , tables { cluster.countedTables, cluster.scheduler, cluster.random }
            , objects { cluster.countedObjects, cluster.scheduler, cluster.random }
            , distributor { self, this->replica, this->tables, this->objects, *this, cluster.scheduler, cluster.clock,
                cluster.random,
                [this](const auto& snapshot) {
                    this->inForce.push_back({ snapshot->version(), snapshot->contentHash() });
                },
                [this](const std::string&, const Error& error) { this->failures.push_back(error.code); }, options }
        {
        }

        void request(const std::string& peer, PeerRequest request) override
        {
            this->cluster.deliver(this->self.id, peer, [this, request](Process& other) {
                auto reply = other.distributor.onRequest(request);
                this->cluster.corrupt(reply);
                this->cluster.replyBytes += reply.manifest.size();
                for (const auto& part : reply.parts)
                    this->cluster.replyBytes += part.size();
                const auto from = other.self.id;
                this->cluster.deliver(from, this->self.id,
                    [from, reply](Process& requester) { requester.distributor.onReply(from, reply); });
            });
        }

        void announce(base::BundleVersion) override { this->cluster.heartbeat(*this); }

        Cluster& cluster;
        ProcessIdentity self;
        Replica replica;
        support::FaultyTableService tables;
        support::FaultyObjectStore objects;
        std::vector<std::pair<base::BundleVersion, std::string>> inForce; ///< In the order of activation.
        std::vector<ErrorCode> failures;
        Distributor distributor;
    };

    explicit Cluster(std::uint64_t seed)
        : random { seed }
    {
        this->sendHeartbeats();
    }

    base::ManualClock clock;
    support::FakeScheduler scheduler { this->clock };
    base::SeededRandom random;
    store::MemoryTableService tableMemory;
    store::MemoryObjectStore objectMemory;
    StoreCounts counts;
    CountingTables countedTables { this->tableMemory, this->counts };
    CountingObjects countedObjects { this->objectMemory, this->counts };
    std::map<std::string, std::unique_ptr<Process>> processes;
    std::vector<std::unique_ptr<Process>> stoppedProcesses; ///< Kept alive for messages in flight; they receive none.
    std::set<base::ZoneId> disconnectedZones; ///< Zones without a connection to other zones and the store.
    double lossRate = 0;
    double corruptionRate = 0;
    std::chrono::milliseconds maxLatency { 5 };
    std::uint64_t replyBytes = 0;
    std::uint64_t started = 0;
    bool storeDown = false;
    support::StoreFaults storeFaults;
    std::map<base::BundleVersion, std::string> rolled; ///< Content hash of each version that rolled.

    Process& start(const base::ZoneId& zone, VersionGuardOptions guard = {}, DistributorOptions options = {})
    {
        const auto id = zone + "/" + std::to_string(++this->started);
        auto& process
            = *this->processes
                   .emplace(id, std::make_unique<Process>(*this, ProcessIdentity { id, zone }, guard, options))
                   .first->second;
        this->applyStoreFaults();
        process.distributor.start();
        this->updateEntries();
        return process;
    }

    void stop(const std::string& id)
    {
        this->stoppedProcesses.push_back(std::move(this->processes.extract(id).mapped()));
        this->stoppedProcesses.back()->tables.faults().down = true;
        for (auto& [other, process] : this->processes)
            process->distributor.onPeerGone(id);
        this->updateEntries();
    }

    void applyStoreFaults()
    {
        for (auto& [id, process] : this->processes) {
            auto faults = this->storeFaults;
            faults.down = this->storeDown || this->disconnectedZones.contains(process->self.zone);
            process->tables.faults() = faults;
            process->objects.faults() = faults;
        }
    }

    void disconnectZone(const base::ZoneId& zone)
    {
        this->disconnectedZones.insert(zone);
        this->applyStoreFaults();
    }

    void reconnectZone(const base::ZoneId& zone)
    {
        this->disconnectedZones.erase(zone);
        this->applyStoreFaults();
    }

    /** Writes a signed version and its objects to the store, as Operations does. */
    void roll(const Bundle& bundle)
    {
        const auto head = decodeHead(this->tableMemory.row(headKey()).value).value_or(HeadRecord {});
        const auto parts = encode(bundle);
        auto objects = ContentStore::objectsOf(parts, {});
        if (head.rolled)
            objects.push_back(ContentStore::objectOf(difference(this->lastParts, parts)));
        for (const auto& [name, bytes] : objects)
            this->objectMemory.putIfAbsent(name, bytes, [](auto, const store::Error&) {});
        const auto version = base::BundleVersion { static_cast<std::uint64_t>(head.last) + 1 };
        const auto proof = sign(
            { .version = version, .base = head.last, .content = contentHash(hashParts(parts)), .signatures = {} });
        this->setHead({ .last = version, .rolled = proof, .by = "anna", .nonce = std::to_string(this->random.next()) });
        this->rolled[version] = proof.content;
        this->lastParts = parts;
    }

    void setHead(const HeadRecord& head)
    {
        this->tableMemory.transact(
            { .conditions = {}, .writes = { { .key = headKey(), .value = encode(head) } } }, [](auto, const auto&) {});
    }

    [[nodiscard]] HeadRecord head() const { return *decodeHead(this->tableMemory.row(headKey()).value); }

    void run(std::chrono::nanoseconds duration) { this->scheduler.runFor(duration); }

    [[nodiscard]] bool allAtHeadVersion() const
    {
        const auto version = this->head().rolled->version;
        for (const auto& [id, process] : this->processes) {
            if (process->replica.version() != version)
                return false;
        }
        return true;
    }

    /** Description of a broken invariant; empty if there is none. */
    [[nodiscard]] std::string violation() const
    {
        for (const auto& [id, process] : this->processes) {
            base::BundleVersion last {};
            for (const auto& [version, content] : process->inForce) {
                if (version <= last)
                    return id + " reverted from " + toString(last) + " to " + toString(version);
                const auto known = this->rolled.find(version);
                if (known == this->rolled.end() || known->second != content)
                    return id + " has content in force that never rolled as version " + toString(version);
                last = version;
            }
        }
        return {};
    }

private:
    Parts lastParts;

    [[nodiscard]] bool connected(const base::ZoneId& from, const base::ZoneId& to) const
    {
        return from == to || (!this->disconnectedZones.contains(from) && !this->disconnectedZones.contains(to));
    }

    template <typename Message> void deliver(const std::string& from, const std::string& to, Message message)
    {
        const auto delay = std::chrono::milliseconds { this->random.below(
            static_cast<std::uint64_t>(this->maxLatency.count()) + 1) };
        if (this->random.unit() < this->lossRate)
            return;
        this->scheduler.after(delay, [this, from, to, message] {
            const auto sender = this->processes.find(from);
            const auto receiver = this->processes.find(to);
            if (sender != this->processes.end() && receiver != this->processes.end()
                && this->connected(sender->second->self.zone, receiver->second->self.zone))
                message(*receiver->second);
        });
    }

    void corrupt(PeerReply& reply)
    {
        if (this->random.unit() >= this->corruptionRate)
            return;
        auto& bytes = reply.parts.empty() ? reply.manifest : reply.parts.front();
        if (!bytes.empty())
            bytes[this->random.below(bytes.size())] ^= 1;
    }

    void heartbeat(const Process& process)
    {
        const auto version = process.replica.version();
        for (const auto& [id, other] : this->processes) {
            if (id != process.self.id)
                this->deliver(process.self.id, id, [self = process.self, version](Process& receiver) {
                    receiver.distributor.onHeartbeat(self.id, self.zone, version);
                });
        }
    }

    void sendHeartbeats()
    {
        for (const auto& [id, process] : this->processes)
            this->heartbeat(*process);
        this->scheduler.after(std::chrono::seconds { 1 }, [this] { this->sendHeartbeats(); });
    }

    void updateEntries()
    {
        for (auto& [id, process] : this->processes) {
            std::vector<std::string> entries;
            for (const auto& [other, candidate] : this->processes) {
                if (candidate->self.zone == process->self.zone)
                    entries.push_back(other);
            }
            process->distributor.setLiveEntries(entries);
        }
    }
};

} // namespace chivewinch::bundle::sample
