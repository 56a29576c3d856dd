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
    /** Wait of a write for others to share its transaction. */
    std::chrono::nanoseconds interval { std::chrono::milliseconds { 20 } };
    std::size_t maxBatch = 100;
    /**
     * Sustained rate; beyond it, transactions wait and grow up to maxBatch. 18 entries at 2/s use 36/s, a tenth of a
     * store that handles several hundred.
     */
    double transactionsPerSecond = 2;
    /** Transactions that may be sent at once after a quiet time. */
    double transactionBurst = 20;
    std::chrono::nanoseconds minBackOff { std::chrono::milliseconds { 50 } };
    std::chrono::nanoseconds maxBackOff { std::chrono::seconds { 5 } };
    /** Off: a write whose acknowledgement is lost is reported as having had no effect. */
    bool resolveAmbiguous = true;
    /** Off: rows are written whatever their version is. */
    bool useConditions = true;

    bool operator==(const CommitOptions&) const = default;
};

/** Sets one row if it still has the expected version. Values must be unique to the writer, e.g. by a nonce. */
struct RowWrite {
    store::RowKey key;
    std::uint64_t expectedVersion = store::absentVersion;
    std::string value;

    bool operator==(const RowWrite&) const = default;
};

enum class WriteStatus : std::uint8_t {
    Committed,
    Conflicted, ///< The row has another version; nothing was or will be written.
    Unavailable, ///< The store could not be reached; nothing was or will be written.
};

struct WriteResult {
    WriteStatus status = WriteStatus::Unavailable;
    store::Row row; ///< As written, or as it is after a conflict.

    bool operator==(const WriteResult&) const = default;
};

struct CommitCounters {
    std::uint64_t transactions = 0;
    std::uint64_t rowWrites = 0; ///< Rows in all transactions sent.
    std::uint64_t reads = 0;
    std::uint64_t ambiguous = 0; ///< Transactions without a known result.

    bool operator==(const CommitCounters&) const = default;
};

/**
 * Commits independent row writes in shared transactions. A write that fails its condition does not hold the others
 * back. A write without a known result is read again, and sent again while the row is unchanged, until its result
 * is known; only then is the callback called. Keys of pending writes must be distinct.
 */
class GroupCommit {
public:
    using Callback = std::function<void(const WriteResult&)>;
    using Wanted = std::function<bool()>;

    GroupCommit(const base::Clock& clock, store::TableService& tables, store::Scheduler& scheduler,
        base::RandomSource& random, CommitOptions options = {});

    /** A write that is no longer wanted when its transaction is built ends as unavailable without being sent. */
    void submit(RowWrite write, Wanted wanted, Callback callback);
    /** Time until a write submitted now is sent, if the rate of transactions is the limit. */
    [[nodiscard]] std::chrono::nanoseconds expectedWait();
    [[nodiscard]] const CommitCounters& counters() const noexcept { return this->counts; }
    /** Delay before the given repetition, counted from 0; exponential with full jitter. */
    [[nodiscard]] std::chrono::nanoseconds backOff(std::uint32_t repetition);

private:
    struct Operation {
        RowWrite write;
        Wanted wanted;
        Callback callback;
        bool ambiguous = false; ///< An earlier transaction with this write may still take effect.
        std::uint32_t failures = 0;
    };
    using Batch = std::vector<Operation>;

    void enqueue(Operation operation);
    void arm();
    void flush();
    [[nodiscard]] Batch takeBatch();
    void refill();
    /** Time until a transaction may be sent. */
    [[nodiscard]] std::chrono::nanoseconds untilToken();
    void send(Batch batch);
    void resolve(Batch batch, const store::TransactResult& result);
    void fail(Batch batch, bool mayHaveTakenEffect);
    void readAgain(Batch batch);
    void reread(Batch batch, const std::vector<store::Row>& rows);
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
    /** Expires with this object; callbacks of the store and timers check it. */
    std::shared_ptr<int> alive = std::make_shared<int>(0);
};

} // namespace chivewinch::claim
