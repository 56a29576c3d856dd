#pragma once

#include "base/random.hpp"
#include "store/scheduler.hpp"
#include "store/table_service.hpp"

#include <chrono>
#include <utility>

namespace chivewinch::claim {

/** Table service that reports some transactions as ambiguous and applies them after a random delay. */
class DelayedTableService final : public store::TableService {
public:
    DelayedTableService(store::TableService& next, store::Scheduler& scheduler, base::RandomSource& random) noexcept
        : next { next }
        , scheduler { scheduler }
        , random { random }
    {
    }

    double delayedShare = 0; ///< Share of delayed transactions, from 0 to 1.

    void get(std::vector<store::RowKey> keys, GetCallback callback) override
    {
        this->next.get(std::move(keys), std::move(callback));
    }

    void scan(std::string table, std::string prefix, std::size_t limit, GetCallback callback) override
    {
        this->next.scan(std::move(table), std::move(prefix), limit, std::move(callback));
    }

    void transact(store::Transaction transaction, TransactCallback callback) override
    {
        if (this->random.unit() >= this->delayedShare) {
            this->next.transact(std::move(transaction), std::move(callback));
            return;
        }
        this->scheduler.after(
            std::chrono::milliseconds { this->random.below(1'000) }, [callback = std::move(callback)] {
                callback(std::nullopt, { .code = store::ErrorCode::Ambiguous, .detail = "no answer in time" });
            });
        this->scheduler.after(std::chrono::milliseconds { 1 + this->random.below(8'000) },
            [this, transaction = std::move(transaction)]() mutable {
                this->next.transact(std::move(transaction), [](const auto&, const store::Error&) {});
            });
    }

private:
    store::TableService& next;
    store::Scheduler& scheduler;
    base::RandomSource& random;
};

} // namespace chivewinch::claim
