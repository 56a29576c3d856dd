#pragma once

#include "base/clock.hpp"
#include "base/random.hpp"
#include "store/object_store.hpp"
#include "store/scheduler.hpp"
#include "store/table_service.hpp"

#include <chrono>
#include <cstdint>
#include <memory>

namespace chivewinch::store {

struct ClientOptions {
    std::chrono::nanoseconds deadline = std::chrono::seconds { 1 }; ///< Time limit for one attempt.
    std::chrono::nanoseconds operationDeadline = std::chrono::seconds { 10 }; ///< Time limit for all attempts together.
    std::chrono::nanoseconds backoffBase = std::chrono::milliseconds { 50 };
    std::chrono::nanoseconds backoffLimit = std::chrono::seconds { 5 };
    double operationsPerSecond = 5;
    double operationBurst = 400; ///< Enough operations to load a bundle of 12,000 teams once.
    bool limitOperations = true;
    bool coalesceReads = true;
    bool resolveAmbiguous = true; ///< If false, an ambiguous write is reported without a re-read.
};

/** Counts since the start of the process. */
struct ClientStats {
    std::uint64_t reads = 0; ///< Requests sent, including retries and re-reads.
    std::uint64_t writes = 0; ///< Requests sent, including retries.
    std::uint64_t retries = 0;
    std::uint64_t coalesced = 0; ///< Reads that shared the request of another caller.
    std::uint64_t budgetRefusals = 0;
    std::uint64_t timeouts = 0; ///< Attempts without an answer before their deadline.
    std::uint64_t resolvedCommitted = 0; ///< Ambiguous writes found to have taken effect.
    std::uint64_t resolvedNotApplied = 0; ///< Ambiguous writes found to have no effect, to be sent again.
    std::uint64_t unresolved = 0; ///< Writes reported as ambiguous.

    bool operator==(const ClientStats&) const = default;
};

namespace internal {
class ClientCore;
class ObjectClient;
class TableClient;
} // namespace internal

/**
 * Wraps a table service and an object store. It adds deadlines, retries with full jitter, an operation budget,
 * coalescing of identical reads, and re-reads that resolve ambiguous writes.
 *
 * A value written to a row must contain a nonce of its writer, because a re-read that finds the value is the proof that
 * the write took effect.
 * Callbacks run at most once; none runs after the client is destroyed. Not thread-safe.
 */
class Client {
public:
    Client(TableService& tables, ObjectStore& objects, Scheduler& scheduler, const base::Clock& clock,
        base::RandomSource& random, ClientOptions options = {});
    Client(const Client&) = delete;
    Client& operator=(const Client&) = delete;
    ~Client();

    [[nodiscard]] TableService& tables() noexcept;
    [[nodiscard]] ObjectStore& objects() noexcept;
    [[nodiscard]] const ClientStats& stats() const noexcept;

private:
    std::shared_ptr<internal::ClientCore> core;
    std::unique_ptr<internal::TableClient> tableClient;
    std::unique_ptr<internal::ObjectClient> objectClient;
};

/** Delay before retry number `failures` (from 1): uniform in [0, min(limit, base * 2^(failures - 1))]. */
[[nodiscard]] std::chrono::nanoseconds backoffDelay(
    const ClientOptions& options, std::uint32_t failures, base::RandomSource& random);

} // namespace chivewinch::store
