#pragma once

#include "base/clock.hpp"
#include "base/random.hpp"
#include "store/scheduler.hpp"
#include "store/table_service.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace chivewinch::claim {

struct CommitOptions {
    /** Time that a write waits so that later writes can share its transaction. */
    std::chrono::nanoseconds interval { std::chrono::milliseconds { 20 } };
    std::size_t maxBatch = 100;
    /**
     * Sustained rate. Beyond this rate, transactions wait and their batches grow up to maxBatch. 18 entries at 2/s
     * use 36/s, about a tenth of the capacity of a store that handles several hundred per second.
     */
    double transactionsPerSecond = 2;
    /** Number of transactions that may be sent in a burst after an idle period. */
    double transactionBurst = 20;
    std::chrono::nanoseconds minBackOff { std::chrono::milliseconds { 50 } };
    std::chrono::nanoseconds maxBackOff { std::chrono::seconds { 5 } };
    /** If false, a write whose acknowledgement is lost is reported as Unavailable. */
    bool resolveAmbiguous = true;
    /** If false, rows are written regardless of their version. */
    bool useConditions = true;

    bool operator==(const CommitOptions&) const = default;
};

/** Sets one row if it still has the expected version. Each value must be unique to its writer, e.g. by a nonce. */
struct RowWrite {
    store::RowKey key;
    std::uint64_t expectedVersion = store::absentVersion;
    std::string value;

    bool operator==(const RowWrite&) const = default;
};

enum class WriteStatus : std::uint8_t {
    Committed,
    Conflicted, ///< The row has another version; this write has no effect, now or later.
    Unavailable, ///< The write was not sent, or the store could not be reached; no effect, now or later.
};

struct WriteResult {
    WriteStatus status = WriteStatus::Unavailable;
    store::Row row; ///< The written row, or the current row after a conflict.

    bool operator==(const WriteResult&) const = default;
};

struct CommitCounters {
    std::uint64_t transactions = 0;
    std::uint64_t rowWrites = 0; ///< Rows in all transactions that were sent.
    std::uint64_t reads = 0;
    std::uint64_t ambiguous = 0; ///< Transactions that ended without a known result.

    bool operator==(const CommitCounters&) const = default;
};

/**
 * Commits independent row writes in shared transactions. A write whose condition fails does not prevent the others
 * from being committed. If the result of a write is unknown, its row is read again, and the write is sent again while
 * the row is unchanged. The callback runs once the result is known. Keys of pending writes must be distinct.
 */
class GroupCommit {
public:
    using Callback = std::function<void(const WriteResult&)>;
    using IsNeeded = std::function<bool()>;

    GroupCommit(const base::Clock& clock, store::TableService& tables, store::Scheduler& scheduler,
        base::RandomSource& random, CommitOptions options = {});

    /** The predicate runs when the transaction is built. If it returns false, the write ends as Unavailable unsent. */
    void submit(RowWrite write, IsNeeded isNeeded, Callback callback);
    /** Time until a write submitted now would be sent under the rate limit of transactions. */
    [[nodiscard]] std::chrono::nanoseconds expectedWait();
    [[nodiscard]] const CommitCounters& counters() const noexcept { return this->counts; }
    /** Delay before the given retry, counted from 0: exponential back-off with full jitter. */
    [[nodiscard]] std::chrono::nanoseconds backOff(std::uint32_t repetition);

private:
    struct Operation {
        RowWrite write;
        IsNeeded isNeeded;
        Callback callback;
        bool ambiguous = false; ///< An earlier transaction with this write may still take effect.
        std::uint32_t failures = 0;
    };
    using Batch = std::vector<Operation>;

    void enqueue(Operation operation);
    void scheduleFlush();
    void flush();
    [[nodiscard]] Batch takeBatch();
    void refill();
    /** Time until the rate limit allows a transaction. */
    [[nodiscard]] std::chrono::nanoseconds timeUntilToken();
    void send(Batch batch);
    void resolve(Batch batch, const store::TransactResult& result);
    void fail(Batch batch, bool mayHaveTakenEffect);
    void scheduleReread(Batch batch);
    void onReread(Batch batch, const std::vector<store::Row>& rows);
    void finish(Operation& operation, const store::Row& row);

    const base::Clock& clock;
    store::TableService& tables;
    store::Scheduler& scheduler;
    base::RandomSource& random;
    CommitOptions options;
    Batch queue;
    bool timerSet = false;
    double tokens;
    base::SteadyTime refilledAt;
    CommitCounters counts;
    /** Expires with this object. Callbacks of the store and of timers check it before they use the object. */
    std::shared_ptr<int> alive = std::make_shared<int>(0);
};

} // namespace chivewinch::claim
