#pragma once

#include "store/client.hpp"

#include <algorithm>
#include <functional>
#include <utility>

namespace chivewinch::store::internal {

template <typename Result> using ResultCallback = std::function<void(std::optional<Result>, const Error&)>;
template <typename Result> using SendFunction = std::function<void(ResultCallback<Result>)>;

enum class OperationKind : std::uint8_t { Read, Write };

/** Operation budget, deadlines and back-off. All operations of a client share it. */
class ClientCore : public std::enable_shared_from_this<ClientCore> {
public:
    ClientCore(Scheduler& scheduler, const base::Clock& clock, base::RandomSource& random, ClientOptions options)
        : scheduler { scheduler }
        , clock { clock }
        , random { random }
        , options { options }
        , tokens { options.operationBurst }
        , refilledAt { clock.now() }
    {
    }

    Scheduler& scheduler;
    const base::Clock& clock;
    base::RandomSource& random;
    const ClientOptions options;
    ClientStats stats;
    /** Incremented at the start and end of each write, so that a read never shares a request sent before the write. */
    std::uint64_t writeEpoch = 0;
    /** Set when the client is destroyed. Pending operations then end without a callback. */
    bool closed = false;

    /** Sends once. Without an answer before the deadline, a read ends as TimedOut and a write as Ambiguous. */
    template <typename Result>
    void attempt(OperationKind kind, const SendFunction<Result>& send, ResultCallback<Result> done)
    {
        if (!this->takeToken()) {
            ++this->stats.budgetRefusals;
            done(std::nullopt,
                { .code = ErrorCode::BudgetExhausted, .detail = "operation budget of this process is spent" });
            return;
        }
        ++(kind == OperationKind::Read ? this->stats.reads : this->stats.writes);
        const auto code = kind == OperationKind::Read ? ErrorCode::TimedOut : ErrorCode::Ambiguous;
        auto settled = std::make_shared<bool>(false);
        const auto weak = this->weak_from_this();
        const auto timer = this->scheduler.after(this->options.deadline, [weak, settled, done, code] {
            const auto self = weak.lock();
            if (!self || self->closed || std::exchange(*settled, true))
                return;
            ++self->stats.timeouts;
            done(std::nullopt, { .code = code, .detail = "no answer before the deadline" });
        });
        send([weak, settled, timer, done](std::optional<Result> result, const Error& error) {
            const auto self = weak.lock();
            if (!self || self->closed || std::exchange(*settled, true))
                return;
            self->scheduler.cancel(timer);
            done(std::move(result), error);
        });
    }

    [[nodiscard]] base::SteadyTime operationEnd() const { return this->clock.now() + this->options.operationDeadline; }

    /** Runs next after a back-off delay. Returns false if the delay would reach the end of the operation. */
    [[nodiscard]] bool retryLater(std::uint32_t failures, base::SteadyTime end, std::function<void()> next)
    {
        const auto delay = backoffDelay(this->options, failures, this->random);
        if (this->clock.now() + delay >= end)
            return false;
        ++this->stats.retries;
        this->scheduler.after(delay, [weak = this->weak_from_this(), next = std::move(next)] {
            if (const auto self = weak.lock(); self && !self->closed)
                next();
        });
        return true;
    }

private:
    double tokens;
    base::SteadyTime refilledAt;

    [[nodiscard]] bool takeToken()
    {
        if (!this->options.limitOperations)
            return true;
        const std::chrono::duration<double> elapsed = this->clock.now() - this->refilledAt;
        this->refilledAt = this->clock.now();
        this->tokens = std::min(
            this->options.operationBurst, this->tokens + elapsed.count() * this->options.operationsPerSecond);
        if (this->tokens < 1)
            return false;
        this->tokens -= 1;
        return true;
    }
};

[[nodiscard]] inline bool isRetryable(ErrorCode code) noexcept
{
    return code == ErrorCode::Unavailable || code == ErrorCode::TimedOut || code == ErrorCode::BudgetExhausted;
}

/** Retries an operation that has no side effects or is safe to repeat after Unavailable. */
template <typename Result> class Retry : public std::enable_shared_from_this<Retry<Result>> {
public:
    Retry(std::shared_ptr<ClientCore> core, OperationKind kind, base::SteadyTime end, SendFunction<Result> send,
        ResultCallback<Result> done)
        : core { std::move(core) }
        , kind { kind }
        , end { end }
        , send { std::move(send) }
        , done { std::move(done) }
    {
    }

    void run()
    {
        this->core->template attempt<Result>(this->kind, this->send,
            [self = this->shared_from_this()](
                std::optional<Result> result, const Error& error) { self->onAnswer(std::move(result), error); });
    }

private:
    std::shared_ptr<ClientCore> core;
    OperationKind kind;
    base::SteadyTime end;
    SendFunction<Result> send;
    ResultCallback<Result> done;
    std::uint32_t failures = 0;

    void onAnswer(std::optional<Result> result, const Error& error)
    {
        // If the budget is spent at the first attempt, the operation fails at once and the caller can drop work early.
        const bool refused = error.code == ErrorCode::BudgetExhausted && this->failures == 0;
        if (!result && isRetryable(error.code) && !refused
            && this->core->retryLater(++this->failures, this->end, [self = this->shared_from_this()] { self->run(); }))
            return;
        this->done(std::move(result), error);
    }
};

template <typename Result>
void retry(const std::shared_ptr<ClientCore>& core, OperationKind kind, base::SteadyTime end, SendFunction<Result> send,
    ResultCallback<Result> done)
{
    std::make_shared<Retry<Result>>(core, kind, end, std::move(send), std::move(done))->run();
}

} // namespace chivewinch::store::internal
