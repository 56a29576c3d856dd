#include "claim/group_commit.hpp"

#include <algorithm>
#include <map>
#include <utility>

namespace chivewinch::claim {

namespace internal {

constexpr std::uint32_t maxBackOffDoublings = 16;

store::Transaction toTransaction(const std::vector<RowWrite>& writes, bool useConditions)
{
    store::Transaction transaction;
    for (const auto& write : writes) {
        if (useConditions)
            transaction.conditions.push_back({ .key = write.key, .version = write.expectedVersion });
        transaction.writes.push_back({ .key = write.key, .value = write.value });
    }
    return transaction;
}

} // namespace internal

GroupCommit::GroupCommit(const base::Clock& clock, store::TableService& tables, store::Scheduler& scheduler,
    base::RandomSource& random, CommitOptions options)
    : clock { clock }
    , tables { tables }
    , scheduler { scheduler }
    , random { random }
    , options { options }
    , tokens { options.transactionBurst }
    , refilledAt { clock.now() }
{
}

std::chrono::nanoseconds GroupCommit::backOff(std::uint32_t repetition)
{
    const auto factor = std::int64_t { 1 } << std::min(repetition, internal::maxBackOffDoublings);
    const auto limit = std::min(this->options.minBackOff * factor, this->options.maxBackOff);
    return std::chrono::nanoseconds { 1 + this->random.below(static_cast<std::uint64_t>(limit.count())) };
}

void GroupCommit::submit(RowWrite write, IsNeeded isNeeded, Callback callback)
{
    this->enqueue({ .write = std::move(write), .isNeeded = std::move(isNeeded), .callback = std::move(callback) });
}

void GroupCommit::enqueue(Operation operation)
{
    this->queue.push_back(std::move(operation));
    if (this->queue.size() >= this->options.maxBatch && this->timeUntilToken() == std::chrono::nanoseconds { 0 })
        this->flush();
    else
        this->scheduleFlush();
}

void GroupCommit::scheduleFlush()
{
    if (std::exchange(this->timerSet, true))
        return;
    const auto delay = std::max(this->options.interval, this->timeUntilToken());
    this->scheduler.after(delay, [this, guard = std::weak_ptr { this->alive }] {
        if (guard.expired())
            return;
        this->timerSet = false;
        this->flush();
    });
}

void GroupCommit::refill()
{
    const std::chrono::duration<double> elapsed = this->clock.now() - this->refilledAt;
    this->refilledAt = this->clock.now();
    const auto refilled = this->tokens + elapsed.count() * this->options.transactionsPerSecond;
    this->tokens = std::min(refilled, this->options.transactionBurst);
}

std::chrono::nanoseconds GroupCommit::timeUntilToken()
{
    this->refill();
    if (this->tokens >= 1)
        return std::chrono::nanoseconds { 0 };
    const std::chrono::duration<double> wait { (1 - this->tokens) / this->options.transactionsPerSecond };
    return std::chrono::ceil<std::chrono::nanoseconds>(wait);
}

std::chrono::nanoseconds GroupCommit::expectedWait()
{
    const auto batches = this->queue.size() / this->options.maxBatch;
    const std::chrono::duration<double> drain { static_cast<double>(batches) / this->options.transactionsPerSecond };
    return this->timeUntilToken() + std::chrono::ceil<std::chrono::nanoseconds>(drain);
}

/**
 * Takes the oldest writes that are still needed and ends the others. A write that may have taken effect in an earlier
 * transaction is always kept, until its result is known.
 */
GroupCommit::Batch GroupCommit::takeBatch()
{
    Batch batch;
    Batch cancelled;
    auto next = this->queue.begin();
    for (; next != this->queue.end() && batch.size() < this->options.maxBatch; ++next) {
        const bool keep = next->ambiguous || !next->isNeeded || next->isNeeded();
        (keep ? batch : cancelled).push_back(std::move(*next));
    }
    this->queue.erase(this->queue.begin(), next);
    for (auto& operation : cancelled)
        operation.callback({ .status = WriteStatus::Unavailable, .row = { .key = operation.write.key } });
    return batch;
}

void GroupCommit::flush()
{
    if (auto batch = this->takeBatch(); !batch.empty())
        this->send(std::move(batch));
    if (!this->queue.empty())
        this->scheduleFlush();
}

void GroupCommit::send(Batch batch)
{
    std::vector<RowWrite> writes;
    writes.reserve(batch.size());
    for (const auto& operation : batch)
        writes.push_back(operation.write);
    this->refill();
    this->tokens -= 1;
    ++this->counts.transactions;
    this->counts.rowWrites += writes.size();
    auto shared = std::make_shared<Batch>(std::move(batch));
    this->tables.transact(internal::toTransaction(writes, this->options.useConditions),
        [this, guard = std::weak_ptr { this->alive }, shared](const auto& result, const store::Error& error) {
            if (guard.expired())
                return;
            if (result)
                this->resolve(std::move(*shared), *result);
            else
                this->fail(std::move(*shared), error.code == store::ErrorCode::Ambiguous);
        });
}

/** Reports the result of a write. It took effect if the row has its value, which is unique to its writer. */
void GroupCommit::finish(Operation& operation, const store::Row& row)
{
    const bool ours = row.version != store::absentVersion && row.value == operation.write.value;
    operation.callback({ .status = ours ? WriteStatus::Committed : WriteStatus::Conflicted, .row = row });
}

void GroupCommit::resolve(Batch batch, const store::TransactResult& result)
{
    std::map<store::RowKey, const store::Row*> rows;
    for (const auto& row : result.rows)
        rows.emplace(row.key, &row);
    Batch again;
    Batch done;
    for (auto& operation : batch)
        (rows.contains(operation.write.key) ? done : again).push_back(std::move(operation));
    // The service reports neither a commit nor a failed condition. Treat this invalid answer as ambiguous.
    if (!result.committed && done.empty()) {
        this->fail(std::move(again), true);
        return;
    }
    if (!again.empty())
        this->send(std::move(again));
    for (auto& operation : done)
        this->finish(operation, *rows.at(operation.write.key));
}

void GroupCommit::fail(Batch batch, bool mayHaveTakenEffect)
{
    this->counts.ambiguous += mayHaveTakenEffect ? 1 : 0;
    Batch unresolved;
    Batch failed;
    for (auto& operation : batch) {
        operation.ambiguous = operation.ambiguous || (mayHaveTakenEffect && this->options.resolveAmbiguous);
        (operation.ambiguous ? unresolved : failed).push_back(std::move(operation));
    }
    if (!unresolved.empty())
        this->scheduleReread(std::move(unresolved));
    for (auto& operation : failed)
        operation.callback({ .status = WriteStatus::Unavailable, .row = { .key = operation.write.key } });
}

void GroupCommit::scheduleReread(Batch batch)
{
    std::uint32_t failures = 0;
    for (auto& operation : batch)
        failures = std::max(failures, operation.failures++);
    auto shared = std::make_shared<Batch>(std::move(batch));
    this->scheduler.after(this->backOff(failures), [this, guard = std::weak_ptr { this->alive }, shared] {
        if (guard.expired())
            return;
        std::vector<store::RowKey> keys;
        for (const auto& operation : *shared)
            keys.push_back(operation.write.key);
        ++this->counts.reads;
        this->tables.get(std::move(keys), [this, guard, shared](const auto& rows, const store::Error&) {
            if (guard.expired())
                return;
            if (rows)
                this->onReread(std::move(*shared), *rows);
            else
                this->scheduleReread(std::move(*shared));
        });
    });
}

/**
 * An unchanged row does not prove that the earlier transaction will never take effect. The result of sending the same
 * write again does prove it: of two transactions with the same condition, at most one commits.
 */
void GroupCommit::onReread(Batch batch, const std::vector<store::Row>& rows)
{
    std::map<store::RowKey, const store::Row*> found;
    for (const auto& row : rows)
        found.emplace(row.key, &row);
    for (auto& operation : batch) {
        const auto row = found.find(operation.write.key);
        if (row == found.end() || row->second->version == operation.write.expectedVersion)
            this->enqueue(std::move(operation));
        else
            this->finish(operation, *row->second);
    }
}

} // namespace chivewinch::claim
