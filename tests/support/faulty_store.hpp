#pragma once

#include "base/random.hpp"
#include "store/object_store.hpp"
#include "store/scheduler.hpp"
#include "store/table_service.hpp"

#include <chrono>
#include <memory>
#include <utility>

namespace chivewinch::support {

/** Injected faults of a store. Losses are probabilities in [0, 1]. */
struct StoreFaults {
    bool down = false;
    double lostRequest = 0;
    double lostAcknowledgement = 0;
    std::chrono::nanoseconds minDelay { 0 };
    std::chrono::nanoseconds maxDelay { 0 };
    /** Time after which the caller gets an error for a lost message. */
    std::chrono::nanoseconds lossTimeout { std::chrono::seconds { 1 } };
};

namespace internal {

/** Injects the delays and losses of both faulty services. */
class FaultInjector {
public:
    FaultInjector(store::Scheduler& scheduler, base::RandomSource& random) noexcept
        : scheduler { scheduler }
        , random { random }
    {
    }

    StoreFaults faults;

    /**
     * Runs the operation after a delay unless the request is lost, and passes its result to the callback after another
     * delay. If the request or the acknowledgement is lost, the callback gets lossCode after the loss timeout.
     */
    template <typename Callback, typename Operation>
    void send(store::ErrorCode lossCode, Callback callback, Operation operation)
    {
        if (this->faults.down) {
            this->scheduler.after(this->delay(), [callback = std::move(callback)] {
                callback(std::nullopt, { .code = store::ErrorCode::Unavailable, .detail = "service is down" });
            });
            return;
        }
        auto fail = [callback, lossCode] { callback(std::nullopt, { .code = lossCode, .detail = "no answer" }); };
        if (this->random.unit() < this->faults.lostRequest) {
            this->scheduler.after(this->faults.lossTimeout, std::move(fail));
            return;
        }
        const bool loseAnswer = this->random.unit() < this->faults.lostAcknowledgement;
        const auto answerDelay = this->delay();
        this->scheduler.after(this->delay(), [this, loseAnswer, answerDelay, fail, callback, operation]() mutable {
            operation([this, loseAnswer, answerDelay, fail, callback](auto result, const store::Error& error) {
                if (loseAnswer) {
                    this->scheduler.after(this->faults.lossTimeout, fail);
                    return;
                }
                this->scheduler.after(answerDelay, [callback, result, error] { callback(result, error); });
            });
        });
    }

private:
    store::Scheduler& scheduler;
    base::RandomSource& random;

    [[nodiscard]] std::chrono::nanoseconds delay()
    {
        const auto span = (this->faults.maxDelay - this->faults.minDelay).count();
        const auto extra = span > 0 ? this->random.below(static_cast<std::uint64_t>(span)) : 0;
        return this->faults.minDelay + std::chrono::nanoseconds { extra };
    }
};

} // namespace internal

/** Decorator of a table service that delays and loses requests and acknowledgements. */
class FaultyTableService final : public store::TableService {
public:
    FaultyTableService(store::TableService& next, store::Scheduler& scheduler, base::RandomSource& random) noexcept
        : next { next }
        , injector { scheduler, random }
    {
    }

    [[nodiscard]] StoreFaults& faults() noexcept { return this->injector.faults; }

    void get(std::vector<store::RowKey> keys, GetCallback callback) override
    {
        this->injector.send(store::ErrorCode::TimedOut, std::move(callback),
            [this, keys](auto answer) { this->next.get(keys, answer); });
    }

    void scan(std::string table, std::string prefix, std::size_t limit, GetCallback callback) override
    {
        this->injector.send(store::ErrorCode::TimedOut, std::move(callback),
            [this, table, prefix, limit](auto answer) { this->next.scan(table, prefix, limit, answer); });
    }

    void transact(store::Transaction transaction, TransactCallback callback) override
    {
        this->injector.send(store::ErrorCode::Ambiguous, std::move(callback),
            [this, transaction](auto answer) { this->next.transact(transaction, answer); });
    }

private:
    store::TableService& next;
    internal::FaultInjector injector;
};

/** Decorator of an object store that delays and loses requests and acknowledgements. */
class FaultyObjectStore final : public store::ObjectStore {
public:
    FaultyObjectStore(store::ObjectStore& next, store::Scheduler& scheduler, base::RandomSource& random) noexcept
        : next { next }
        , injector { scheduler, random }
    {
    }

    [[nodiscard]] StoreFaults& faults() noexcept { return this->injector.faults; }

    void putIfAbsent(std::string name, std::string bytes, PutCallback callback) override
    {
        this->injector.send(store::ErrorCode::Ambiguous, std::move(callback),
            [this, name, bytes](auto answer) { this->next.putIfAbsent(name, bytes, answer); });
    }

    void get(std::string name, GetCallback callback) override
    {
        this->injector.send(store::ErrorCode::TimedOut, std::move(callback),
            [this, name](auto answer) { this->next.get(name, answer); });
    }

    void list(std::string prefix, std::string startAfter, std::size_t limit, ListCallback callback) override
    {
        this->injector.send(store::ErrorCode::TimedOut, std::move(callback),
            [this, prefix, startAfter, limit](auto answer) { this->next.list(prefix, startAfter, limit, answer); });
    }

private:
    store::ObjectStore& next;
    internal::FaultInjector injector;
};

} // namespace chivewinch::support
