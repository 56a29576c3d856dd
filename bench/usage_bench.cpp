#include "base/clock.hpp"
#include "base/random.hpp"
#include "report.hpp"
#include "store/memory_store.hpp"
#include "usage/ledger.hpp"
#include "usage/verifier.hpp"
#include "usage_timers.hpp"

#include <ctime>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace {

using namespace chivewinch;
using bench::ManualTimer;
using bench::TimerQueue;
using namespace std::chrono_literals;

constexpr double requestsPerSecond = 18000;
constexpr std::size_t entryCount = 350;
constexpr std::size_t agentCount = 2000;
constexpr std::size_t teamCount = 12000;
constexpr std::size_t modelCount = 9;
constexpr double secondsPerDay = 86400;

double cpuSeconds()
{
    timespec time {};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + 1e-9 * static_cast<double>(time.tv_nsec);
}

usage::SigningKey keyOf(const std::string& instance) { return usage::SigningKey::fromSeed(usage::sha256(instance)); }

struct Node {
    usage::ProcessId process;
    ManualTimer timer;
    std::unique_ptr<usage::Ledger> ledger;
};

/** Ledgers of some entries and agents of the installation, and the records that are added to them. */
class Load {
public:
    Load(std::size_t entries, std::size_t agents)
        : entries(entries)
        , agents(agents)
    {
        for (std::size_t i = 0; i < entries; ++i)
            this->start(this->entries[i], usage::Side::Entry, "entry-" + std::to_string(i));
        for (std::size_t i = 0; i < agents; ++i)
            this->start(this->agents[i], usage::Side::Agent, "agent-" + std::to_string(i));
    }

    /** Generates the records of the given number of requests before the measurement. */
    void prepare(std::size_t count)
    {
        this->requests.clear();
        this->requests.reserve(count);
        const auto now = usage::toMillis(this->clock.wallNow());
        for (std::size_t i = 0; i < count; ++i) {
            usage::Record record;
            record.id = { .request = base::randomRequestId(this->random), .number = 1 };
            const auto team = this->random.below(teamCount);
            record.owner = team % 2 == 0 ? "kilat-lilin" : "lepelgilde";
            record.team = "team-" + std::to_string(team);
            record.model = "model-" + std::to_string(team % modelCount);
            record.issued = now + std::chrono::milliseconds { i * 30000 / count };
            record.finished = record.issued + std::chrono::milliseconds { 500 + this->random.below(5000) };
            record.counts = { .promptTokens = static_cast<std::uint32_t>(this->random.below(3000)),
                .cachedTokens = static_cast<std::uint32_t>(this->random.below(1000)),
                .generatedTokens = static_cast<std::uint32_t>(this->random.below(420)) };
            this->requests.push_back(record);
        }
    }

    /** Adds the prepared records to the ledgers of both sides. Returns CPU seconds of the agents and of the entries. */
    std::pair<double, double> count()
    {
        auto agentRecords = this->requests;
        for (std::size_t i = 0; i < this->requests.size(); ++i) {
            const auto& entry = this->entries[i % this->entries.size()].process;
            const auto& agent = this->agents[i % this->agents.size()].process;
            agentRecords[i].peerInstance = entry.instance;
            agentRecords[i].peerIncarnation = entry.incarnation;
            this->requests[i].peerInstance = agent.instance;
            this->requests[i].peerIncarnation = agent.incarnation;
        }
        const auto begin = cpuSeconds();
        for (std::size_t i = 0; i < agentRecords.size(); ++i)
            this->agents[i % this->agents.size()].ledger->add(agentRecords[i]);
        const auto middle = cpuSeconds();
        for (std::size_t i = 0; i < this->requests.size(); ++i)
            this->entries[i % this->entries.size()].ledger->add(this->requests[i]);
        return { middle - begin, cpuSeconds() - middle };
    }

    /** Writes one segment for each ledger of the side. Returns CPU seconds. */
    double write(bool entrySide)
    {
        const auto begin = cpuSeconds();
        for (auto& node : entrySide ? this->entries : this->agents)
            node.timer.fire();
        return cpuSeconds() - begin;
    }

    void advance(std::chrono::seconds time) { this->clock.advance(time); }

    void close()
    {
        for (auto* side : { &this->entries, &this->agents }) {
            for (auto& node : *side)
                node.ledger->close([] {});
        }
    }

    [[nodiscard]] std::uint64_t storedBytes(bool entrySide) const
    {
        std::uint64_t bytes = 0;
        for (const auto& node : entrySide ? this->entries : this->agents)
            bytes += node.ledger->status().storedBytes;
        return bytes;
    }

    [[nodiscard]] usage::KeyList keys() const
    {
        usage::KeyList list;
        for (const auto& node : this->entries)
            list.add(node.process.instance, usage::Side::Entry, keyOf(node.process.instance).publicKey());
        for (const auto& node : this->agents)
            list.add(node.process.instance, usage::Side::Agent, keyOf(node.process.instance).publicKey());
        return list;
    }

    store::MemoryObjectStore objects;

private:
    base::ManualClock clock;
    base::SeededRandom random { 1 };
    std::vector<Node> entries;
    std::vector<Node> agents;
    std::vector<usage::Record> requests;

    void start(Node& node, usage::Side side, const std::string& instance)
    {
        const auto start = this->clock.wallNow().time_since_epoch();
        const auto nanos = std::chrono::duration_cast<std::chrono::nanoseconds>(start).count();
        node.process = { .instance = instance, .incarnation = static_cast<base::Incarnation>(nanos) };
        node.ledger = std::make_unique<usage::Ledger>(usage::LedgerOptions { .side = side, .process = node.process },
            keyOf(instance), this->objects, node.timer, this->clock, this->random);
        node.ledger->start();
    }
};

/** CPU nanoseconds per request of the baseline, which writes a signed object with a single record for each request. */
double cpuOfWritePerRequest()
{
    constexpr std::size_t count = 5000;
    store::MemoryObjectStore objects;
    const auto key = keyOf("entry-0");
    usage::Segment segment { .header = { .process = { .instance = "entry-0" } },
        .names = { "kilat-lilin", "team-1", "model-1" },
        .subjects = { { .owner = 0, .team = 1, .model = 2 } },
        .peers = { { "agent-1", base::Incarnation { 1 } } },
        .records = { {} } };
    const auto begin = cpuSeconds();
    for (std::size_t i = 0; i < count; ++i) {
        segment.header.number = i;
        segment.records[0].id.request.low = i;
        auto sealed = usage::seal(segment, key);
        objects.putIfAbsent(std::move(sealed.name), std::move(sealed.bytes), [](auto, const auto&) {});
    }
    return (cpuSeconds() - begin) * 1e9 / count;
}

struct CostPerRequest {
    double entryNanos = 0;
    double agentNanos = 0;
    double entryBytes = 0;
    double agentBytes = 0;
};

/** Simulates five minutes of load on a part of the installation. The load per process is the design load at every
 * size. */
CostPerRequest measureSize(std::size_t entries, std::size_t agents)
{
    Load load { entries, agents };
    const auto share = static_cast<double>(entries) / entryCount;
    const auto perInterval = static_cast<std::size_t>(requestsPerSecond * share * 30);
    constexpr int intervals = 10; // An entry writes ten segments in the time in which an agent writes one.
    double entryCpu = 0;
    double agentCpu = 0;
    const auto entryBase = static_cast<double>(load.storedBytes(true));
    const auto agentBase = static_cast<double>(load.storedBytes(false));
    for (int i = 0; i < intervals; ++i) {
        load.prepare(perInterval);
        const auto [agentPart, entryPart] = load.count();
        agentCpu += agentPart;
        entryCpu += entryPart + load.write(true);
        load.advance(30s);
    }
    agentCpu += load.write(false);
    const auto count = static_cast<double>(perInterval) * intervals;
    return { .entryNanos = entryCpu * 1e9 / count,
        .agentNanos = agentCpu * 1e9 / count,
        .entryBytes = (static_cast<double>(load.storedBytes(true)) - entryBase) / count,
        .agentBytes = (static_cast<double>(load.storedBytes(false)) - agentBase) / count };
}

void reportHotPath()
{
    const auto baseline = cpuOfWritePerRequest();
    CostPerRequest costs;
    for (const std::size_t entries : { 7U, 14U, 28U }) {
        const auto agents = entries * agentCount / entryCount;
        costs = measureSize(entries, agents);
        bench::report({ .name = "usage_cpu_per_request_entry",
            .value = costs.entryNanos,
            .unit = "ns",
            .size = entries,
            .baseline = baseline,
            .baselineName = "one store write per request",
            .goal = "< 1000" });
        bench::report({ .name = "usage_cpu_per_request_agent",
            .value = costs.agentNanos,
            .unit = "ns",
            .size = agents,
            .baseline = baseline,
            .baselineName = "one store write per request",
            .goal = "< 1000" });
        bench::report(
            { .name = "usage_bytes_per_request_entry", .value = costs.entryBytes, .unit = "bytes", .size = entries });
        bench::report(
            { .name = "usage_bytes_per_request_agent", .value = costs.agentBytes, .unit = "bytes", .size = agents });
    }
    bench::report({ .name = "usage_store_bytes_at_design_scale",
        .value = requestsPerSecond * (costs.entryBytes + costs.agentBytes),
        .unit = "bytes/s",
        .size = entryCount + agentCount });
    bench::report({ .name = "usage_entry_network_at_design_scale",
        .value = requestsPerSecond / entryCount * costs.entryBytes,
        .unit = "bytes/s",
        .size = entryCount,
        .goal = "<= 5000 for all control traffic" });
    bench::report({ .name = "usage_agent_network_at_design_scale",
        .value = requestsPerSecond / agentCount * costs.agentBytes,
        .unit = "bytes/s",
        .size = agentCount,
        .goal = "<= 5000 for all control traffic" });
}

/** Store writes per second of all processes together, over one hour of simulated time. */
double writesPerSecond(std::size_t entries, std::size_t agents)
{
    base::ManualClock clock;
    base::SeededRandom random { 3 };
    TimerQueue timers { clock };
    store::MemoryObjectStore objects;
    std::vector<std::unique_ptr<usage::Ledger>> ledgers;
    for (std::size_t i = 0; i < entries + agents; ++i) {
        const auto side = i < entries ? usage::Side::Entry : usage::Side::Agent;
        const auto interval = i < entries ? usage::entrySegmentInterval : usage::agentSegmentInterval;
        const auto instance = "process-" + std::to_string(i);
        ledgers.push_back(std::make_unique<usage::Ledger>(
            usage::LedgerOptions { .side = side, .process = { .instance = instance }, .segmentInterval = interval },
            keyOf(instance), objects, timers, clock, random));
        ledgers.back()->start();
    }
    const auto before = objects.all().size();
    timers.runUntil(clock.now() + 1h);
    return static_cast<double>(objects.all().size() - before) / 3600;
}

void reportStoreWrites()
{
    for (const std::size_t entries : { 7U, 14U, 28U }) {
        const auto agents = entries * agentCount / entryCount;
        const auto scale = static_cast<double>(entryCount) / static_cast<double>(entries);
        bench::report({ .name = "usage_store_writes_at_design_scale",
            .value = scale * writesPerSecond(entries, agents),
            .unit = "1/s",
            .size = entries + agents,
            .baseline = 2 * requestsPerSecond,
            .baselineName = "one store write per request",
            .goal = "<= 60" });
    }
}

/** Reports the memory that a process at design load buffers during a store outage of one hour, as counted against its
 * bound. */
void reportOutage()
{
    const auto megabytes = [](double load) {
        base::ManualClock clock;
        base::SeededRandom random { 4 };
        ManualTimer timer;
        store::MemoryObjectStore objects;
        usage::Ledger ledger { { .process = { .instance = "entry-0" } }, keyOf("entry-0"), objects, timer, clock,
            random };
        const auto now = usage::toMillis(clock.wallNow());
        for (std::size_t i = 0; i < static_cast<std::size_t>(3600 * load); ++i) {
            const auto team = "team-" + std::to_string(random.below(teamCount));
            ledger.add(usage::RecordView { .id = { .request = base::randomRequestId(random), .number = 1 },
                .owner = "kilat-lilin",
                .team = team,
                .model = "model-1",
                .peerInstance = "agent-1",
                .issued = now,
                .finished = now });
        }
        return static_cast<double>(ledger.status().bufferedBytes) / (1 << 20);
    };
    bench::report({ .name = "usage_outage_hour_memory_entry",
        .value = megabytes(requestsPerSecond / entryCount),
        .unit = "MiB",
        .size = entryCount,
        .goal = "<= 48, the default bound" });
    bench::report({ .name = "usage_outage_hour_memory_agent",
        .value = megabytes(requestsPerSecond / agentCount),
        .unit = "MiB",
        .size = agentCount,
        .goal = "<= 48, the default bound" });
}

/** Measures the verification of a five-minute window. The last size is the whole installation. */
void reportVerification()
{
    for (const std::size_t entries : { 7U, 14U, 28U, 350U }) {
        Load load { entries, entries * agentCount / entryCount };
        const auto share = static_cast<double>(entries) / entryCount;
        for (int i = 0; i < 10; ++i) {
            load.prepare(static_cast<std::size_t>(requestsPerSecond * share * 30));
            (void)load.count();
            (void)load.write(true);
            load.advance(30s);
        }
        load.close();
        const auto keys = load.keys();
        const auto begin = cpuSeconds();
        usage::Verifier verifier { {}, keys };
        for (const auto& [name, bytes] : load.objects.all())
            verifier.add(name, bytes);
        const auto added = cpuSeconds();
        const auto report = verifier.finish();
        const auto seconds = cpuSeconds() - begin;
        const auto records = static_cast<double>(report.records);
        bench::report({ .name = "usage_verify_read_part",
            .value = (added - begin) * 1e9 / records,
            .unit = "ns/record",
            .size = report.records });
        bench::report(
            { .name = "usage_verify_speed", .value = records / seconds, .unit = "records/s", .size = report.records });
        bench::report({ .name = "usage_verify_day_at_peak",
            .value = 2 * requestsPerSecond * secondsPerDay * seconds / records / 60,
            .unit = "min",
            .size = report.records,
            .goal = "< 10" });
        if (!report.clean())
            std::cerr << "unexpected finding: " << toString(report.findings.front()) << '\n';
    }
}

} // namespace

int main()
{
    reportHotPath();
    reportStoreWrites();
    reportOutage();
    reportVerification();
}
