#pragma once

#include "usage/support.hpp"
#include "usage/verifier.hpp"

#include <functional>
#include <map>
#include <string>

namespace chivewinch::usage::test {

/** Stored objects of one entry and one agent that counted the same requests without failures. */
class Installation {
public:
    Installation()
    {
        using namespace std::chrono_literals;
        auto entryLedger = this->world->ledger(this->optionsFor(this->entry, Side::Entry));
        auto agentLedger = this->world->ledger(this->optionsFor(this->agent, Side::Agent));
        entryLedger->start();
        agentLedger->start();
        entryLedger->addWitnessedProcess(this->agent, Side::Agent);
        for (int i = 0; i < 48; ++i) {
            auto record = this->nextRecord(i);
            record.peerInstance = this->entry.instance;
            record.peerIncarnation = this->entry.incarnation;
            agentLedger->add(record);
            record.peerInstance = this->agent.instance;
            record.peerIncarnation = this->agent.incarnation;
            entryLedger->add(record);
            this->world->scheduler.runFor(i < 40 ? 5s : 0s);
        }
        entryLedger->close([] {});
        agentLedger->close([] {});
        this->world->scheduler.runFor(1s);
        this->objects = this->world->memory.all();
    }

    std::shared_ptr<World> world = std::make_shared<World>(5);
    ProcessId entry { .instance = "entry-1", .incarnation = this->incarnationNow() };
    ProcessId agent { .instance = "agent-1", .incarnation = this->incarnationNow() };
    std::map<std::string, std::string> objects;

    [[nodiscard]] KeyList keys() const
    {
        KeyList list;
        list.add("entry-1", Side::Entry, keyOf("entry-1").publicKey());
        list.add("agent-1", Side::Agent, keyOf("agent-1").publicKey());
        return list;
    }

    [[nodiscard]] Report verify(const VerifierOptions& options = {}) const
    {
        Verifier verifier { options, this->keys() };
        for (const auto& [name, bytes] : this->objects)
            verifier.add(name, bytes);
        return verifier.finish();
    }

    /** Names of the segments of a process in ascending order of their numbers. */
    [[nodiscard]] std::vector<std::string> chain(const std::string& instance) const
    {
        std::vector<std::string> names;
        for (const auto& [name, bytes] : this->objects) {
            if (name.starts_with("usage/segment/") && name.find('/' + instance + '/') != std::string::npos)
                names.push_back(name);
        }
        return names;
    }

    /** Changes a stored segment. Keeps the old signature unless resign is true. */
    void alter(const std::string& name, const std::function<void(Segment&)>& change, bool resign)
    {
        Error reason;
        const auto envelope = unwrap(this->objects.at(name), reason);
        auto segment = decode(envelope->payload, reason);
        const auto key = keyOf(segment->header.process.instance);
        change(*segment);
        this->objects[name] = resign ? seal(*segment, key).bytes : wrap(encode(*segment), envelope->signature);
    }

private:
    [[nodiscard]] base::Incarnation incarnationNow() const
    {
        const auto start = this->world->clock.wallNow().time_since_epoch();
        return static_cast<base::Incarnation>(std::chrono::duration_cast<std::chrono::nanoseconds>(start).count());
    }

    static LedgerOptions optionsFor(const ProcessId& process, Side side)
    {
        return { .side = side, .process = process };
    }

    Record nextRecord(int index)
    {
        auto record = sampleRecord(this->world->random, this->world->now());
        record.counts.serviceCalls = 1;
        record.counts.spillOvers = 1;
        record.counts.resumedTokens = 1;
        if (index % 4 == 3) {
            record.kind = RecordKind::Charge;
            record.id.number = 0;
            record.counts = { .rebalancingCost = 1 + this->world->random.below(1000) };
        }
        return record;
    }
};

} // namespace chivewinch::usage::test
