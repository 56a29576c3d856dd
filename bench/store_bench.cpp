#include "../tests/support/fake_scheduler.hpp"
#include "../tests/support/faulty_store.hpp"
#include "report.hpp"
#include "store/client.hpp"
#include "store/memory_store.hpp"

#include <chrono>
#include <memory>

namespace chivewinch::store {

namespace {

using namespace std::chrono_literals;
using bench::report;

/** A client of a store with injected faults. */
struct FaultyStoreSetup {
    explicit FaultyStoreSetup(ClientOptions options)
        : client { this->tables, this->objects, this->scheduler, this->clock, this->random, options }
    {
    }

    base::ManualClock clock;
    support::FakeScheduler scheduler { this->clock };
    base::SeededRandom random { 1 };
    MemoryTableService tableMemory;
    MemoryObjectStore objectMemory;
    support::FaultyTableService tables { this->tableMemory, this->scheduler, this->random };
    support::FaultyObjectStore objects { this->objectMemory, this->scheduler, this->random };
    Client client;
};

constexpr ClientOptions withoutCoalescing { .limitOperations = false, .coalesceReads = false };

/** Requests per second that one process sends to a store that is down. It reads 20 rows each second for ten minutes. */
double requestsWhileDown(ClientOptions options)
{
    FaultyStoreSetup setup { options };
    setup.tables.faults().down = true;
    constexpr int seconds = 600;
    for (int second = 0; second < seconds; ++second) {
        for (int row = 0; row < 20; ++row)
            setup.client.tables().get(
                { { .table = "t", .key = std::to_string(row) } }, [](const auto&, const Error&) {});
        setup.scheduler.runFor(1s);
    }
    return static_cast<double>(setup.client.stats().reads) / seconds;
}

/** Store requests per round, averaged over 1,000 rounds. In each round, all callers read the same row. */
double requestsPerRound(std::size_t callers, ClientOptions options)
{
    FaultyStoreSetup setup { options };
    setup.tables.faults().minDelay = 5ms;
    setup.tables.faults().maxDelay = 5ms;
    constexpr int rounds = 1000;
    for (int round = 0; round < rounds; ++round) {
        for (std::size_t caller = 0; caller < callers; ++caller)
            setup.client.tables().get({ { .table = "t", .key = "k" } }, [](const auto&, const Error&) {});
        setup.scheduler.runFor(100ms);
    }
    return static_cast<double>(setup.client.stats().reads) / rounds;
}

/** Share of writes whose outcome the caller learns, when half of the acknowledgements are lost. */
double knownOutcomeShare(ClientOptions options)
{
    FaultyStoreSetup setup { options };
    setup.tables.faults().lostAcknowledgement = 0.5;
    constexpr int writes = 2000;
    int known = 0;
    for (int write = 0; write < writes; ++write) {
        const auto name = std::to_string(write);
        setup.client.tables().transact({ .conditions = { { .key = { .table = "t", .key = name } } },
                                           .writes = { { .key = { .table = "t", .key = name }, .value = name } } },
            [&](const auto& result, const Error&) { known += result ? 1 : 0; });
        setup.scheduler.runFor(20s);
    }
    return static_cast<double>(known) / writes;
}

/** Microseconds of one read through the client. The store answers from memory without delay. */
double microsecondsPerRead(ClientOptions options)
{
    FaultyStoreSetup setup { options };
    constexpr int reads = 200'000;
    Client client { setup.tableMemory, setup.objectMemory, setup.scheduler, setup.clock, setup.random, options };
    const auto start = std::chrono::steady_clock::now();
    for (int read = 0; read < reads; ++read)
        client.tables().get({ { .table = "t", .key = "k" } }, [](const auto&, const Error&) {});
    const std::chrono::duration<double, std::micro> elapsed = std::chrono::steady_clock::now() - start;
    return elapsed.count() / reads;
}

} // namespace

} // namespace chivewinch::store

int main()
{
    using namespace chivewinch::store;
    report({ .name = "store_requests_while_down",
        .value = requestsWhileDown({}),
        .unit = "1/s",
        .size = 20,
        .baseline = requestsWhileDown({ .limitOperations = false }),
        .baselineName = "without budget" });
    for (const std::size_t callers : { 1U, 10U, 100U })
        report({ .name = "store_requests_per_round_of_reads",
            .value = requestsPerRound(callers, { .limitOperations = false }),
            .unit = "requests",
            .size = callers,
            .baseline = requestsPerRound(callers, withoutCoalescing),
            .baselineName = "without coalescing" });
    report({ .name = "store_known_outcomes_half_acks_lost",
        .value = knownOutcomeShare({ .limitOperations = false }),
        .unit = "share",
        .size = 2000,
        .baseline = knownOutcomeShare({ .limitOperations = false, .resolveAmbiguous = false }),
        .baselineName = "without re-read" });
    report({ .name = "store_client_time_per_read",
        .value = microsecondsPerRead({ .limitOperations = false }),
        .unit = "us",
        .size = 1,
        .baseline = microsecondsPerRead(withoutCoalescing),
        .baselineName = "without coalescing" });
}
