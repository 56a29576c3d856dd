#include "store/table_client.hpp"

#include <algorithm>
#include <set>

namespace chivewinch::store::internal {

/**
 * Runs one transaction until its outcome is known. After an ambiguous attempt, the rows are read again. A written value
 * in its row proves that the transaction took effect. If all conditions still hold, the same transaction is sent again.
 * This is safe because at most one copy can meet the conditions.
 */
class TransactOperation : public std::enable_shared_from_this<TransactOperation> {
public:
    TransactOperation(TableService& next, std::shared_ptr<ClientCore> core, Transaction transaction,
        TableService::TransactCallback callback)
        : next { next }
        , core { std::move(core) }
        , transaction { std::move(transaction) }
        , callback { std::move(callback) }
        , end { this->core->operationEnd() }
    {
    }

    void run()
    {
        const SendFunction<TransactResult> send
            = [self = this->shared_from_this()](
                  ResultCallback<TransactResult> done) { self->next.transact(self->transaction, std::move(done)); };
        this->core->attempt<TransactResult>(OperationKind::Write, send,
            [self = this->shared_from_this()](std::optional<TransactResult> result, const Error& error) {
                self->onAnswer(std::move(result), error);
            });
    }

private:
    TableService& next;
    std::shared_ptr<ClientCore> core;
    Transaction transaction;
    TableService::TransactCallback callback;
    base::SteadyTime end;
    std::uint32_t failures = 0;
    bool ambiguous = false; ///< An earlier attempt may have taken effect.

    void onAnswer(std::optional<TransactResult> result, const Error& error)
    {
        if (result && (result->committed || !this->ambiguous)) {
            this->finish(std::move(result), {});
        } else if (result || error.code == ErrorCode::Ambiguous) {
            this->ambiguous = true;
            this->resolve();
        } else {
            this->retryOrFinish(error);
        }
    }

    void retryOrFinish(const Error& error)
    {
        const bool refused = error.code == ErrorCode::BudgetExhausted && this->failures == 0;
        if (isRetryable(error.code) && !refused
            && this->core->retryLater(++this->failures, this->end, [self = this->shared_from_this()] { self->run(); }))
            return;
        if (this->ambiguous)
            this->giveUp("the outcome of an earlier attempt is not known");
        else
            this->finish(std::nullopt, error);
    }

    void resolve()
    {
        if (!this->core->options.resolveAmbiguous) {
            this->giveUp("no answer");
            return;
        }
        const SendFunction<std::vector<Row>> send
            = [self = this->shared_from_this()](
                  ResultCallback<std::vector<Row>> done) { self->next.get(self->involvedKeys(), std::move(done)); };
        retry<std::vector<Row>>(this->core, OperationKind::Read, this->end, send,
            [self = this->shared_from_this()](
                const std::optional<std::vector<Row>>& rows, const Error&) { self->onRows(rows); });
    }

    [[nodiscard]] std::vector<RowKey> involvedKeys() const
    {
        std::set<RowKey> keys;
        for (const auto& condition : this->transaction.conditions)
            keys.insert(condition.key);
        for (const auto& write : this->transaction.writes)
            keys.insert(write.key);
        return { keys.begin(), keys.end() };
    }

    void onRows(const std::optional<std::vector<Row>>& rows)
    {
        if (!rows) {
            this->giveUp("the rows could not be re-read");
        } else if (this->tookEffect(*rows)) {
            ++this->core->stats.resolvedCommitted;
            this->finish(TransactResult { .committed = true, .rows = this->writtenRows(*rows) }, {});
        } else if (this->conditionsHold(*rows)) {
            ++this->core->stats.resolvedNotApplied;
            this->retryOrFinish({ .code = ErrorCode::Unavailable, .detail = "an earlier attempt had no effect yet" });
        } else {
            this->giveUp("another writer has changed the rows");
        }
    }

    static const Row& rowOf(const std::vector<Row>& rows, const RowKey& key)
    {
        return *std::ranges::find(rows, key, &Row::key);
    }

    /** One written value proves that the whole transaction took effect, since values contain their writer's nonce. */
    [[nodiscard]] bool tookEffect(const std::vector<Row>& rows) const
    {
        return std::ranges::any_of(this->transaction.writes, [&](const Write& write) {
            return write.value && !write.value->empty() && rowOf(rows, write.key).value == *write.value;
        });
    }

    /**
     * Returns true if all conditions still hold. Returns false for a transaction without conditions: it must not be
     * sent again, since a late copy could overwrite the value of another writer.
     */
    [[nodiscard]] bool conditionsHold(const std::vector<Row>& rows) const
    {
        return !this->transaction.conditions.empty()
            && std::ranges::all_of(this->transaction.conditions,
                [&](const Condition& condition) { return rowOf(rows, condition.key).version == condition.version; });
    }

    [[nodiscard]] std::vector<Row> writtenRows(const std::vector<Row>& rows) const
    {
        std::vector<Row> result;
        for (const auto& write : this->transaction.writes)
            result.push_back(rowOf(rows, write.key));
        return result;
    }

    void giveUp(std::string detail)
    {
        ++this->core->stats.unresolved;
        this->finish(std::nullopt, { .code = ErrorCode::Ambiguous, .detail = std::move(detail) });
    }

    void finish(std::optional<TransactResult> result, const Error& error)
    {
        ++this->core->writeEpoch;
        this->callback(std::move(result), error);
    }
};

TableClient::TableClient(TableService& next, std::shared_ptr<ClientCore> core)
    : next { next }
    , core { std::move(core) }
    , reads { std::make_shared<Coalescer<std::vector<Row>>>(this->core) }
{
}

void TableClient::get(std::vector<RowKey> keys, GetCallback callback)
{
    std::string identity = "get";
    for (const auto& key : keys)
        identity.append(1, '\0').append(key.table).append(1, '\0').append(key.key);
    this->reads->read(
        identity, [&next = this->next, keys = std::move(keys)](auto done) { next.get(keys, std::move(done)); },
        std::move(callback));
}

void TableClient::scan(std::string table, std::string prefix, std::size_t limit, GetCallback callback)
{
    std::string identity = "scan";
    identity.append(1, '\0').append(table).append(1, '\0').append(prefix).append(1, '\0');
    identity += std::to_string(limit);
    this->reads->read(
        identity,
        [&next = this->next, table = std::move(table), prefix = std::move(prefix), limit](
            auto done) { next.scan(table, prefix, limit, std::move(done)); },
        std::move(callback));
}

void TableClient::transact(Transaction transaction, TransactCallback callback)
{
    ++this->core->writeEpoch;
    std::make_shared<TransactOperation>(this->next, this->core, std::move(transaction), std::move(callback))->run();
}

} // namespace chivewinch::store::internal
